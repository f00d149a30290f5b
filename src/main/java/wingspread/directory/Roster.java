package wingspread.directory;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.Readiness;
import wingspread.net.InvalidInputException;

/**
 * The list of exchanges, to which the responses of the directory are applied. Exchanges are identified by their uid,
 * since an address may pass from one exchange to another; each uid is assigned a local number. Free of I/O.
 *
 * <p>What a response may change depends on its serial number, which is that of the last event it includes:
 * <ul>
 * <li>Without one, or lower than that of an earlier response: nothing.
 * <li>The same as that of the last complete list: the address and the attributes of hosts that are awaited.
 * <li>Higher: a complete list adds, changes and removes exchanges. A truncated one adds and changes those that it
 *     names, and removes none, except for one whose address has passed to an exchange that it names.
 * </ul>
 * A host whose address or attributes are missing from a complete list is awaited until they have been stated. A known
 * exchange keeps the values last stated meanwhile; a new one is added once both are known.
 */
final class Roster {
    /** The weight of an SRV record is ten times that of the exchange. */
    private static final double WEIGHT_SCALE = 10.0;

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Long> exchangeNumbers = new HashMap<>();
    private final Map<String, DirectoryEntry> entries = new LinkedHashMap<>();
    /** Hosts of the last complete list that are awaited; at most as many as one message of 64 KiB can list. */
    private final Set<String> awaitedHosts = new LinkedHashSet<>();
    /** What queries have returned; has entries for awaited hosts alone. */
    private final Map<String, HostRecords> resolvedHosts = new HashMap<>();
    private long lastNumber;
    /** Serial number of the last complete list. */
    private long serial;
    /** Highest serial number of any response, including truncated ones. */
    private long newestSerial;

    /**
     * The result of applying a response.
     *
     * @param changes exchanges that were added, changed or removed
     * @param incompleteHosts awaited hosts of exchanges that are not known yet
     * @param outdatedHosts awaited hosts of exchanges that are known by what an earlier list stated
     */
    record Update(List<DirectoryEntry> changes, Set<String> incompleteHosts, Set<String> outdatedHosts) {
        /** The result of a response that changes nothing. */
        static final Update NONE = new Update(List.of(), Set.of(), Set.of());
    }

    Roster(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Returns the exchanges in the list. */
    List<DirectoryEntry> entries() {
        return List.copyOf(entries.values());
    }

    /** Returns the serial number of the last complete list. */
    long serial() {
        return serial;
    }

    /** Loads the cached list; if exchanges were left out of it, the directory's list with its number still counts. */
    void loadCached(CachedList cached) {
        for (CachedList.CachedExchange exchange : cached.exchanges()) {
            store(entry(exchange.uid(), exchange.endpoint(), exchange.zone(), exchange.attributes(),
                    exchange.readiness(), exchange.weight()));
        }
        newestSerial = cached.serial();
        serial = cached.faults().isEmpty() ? cached.serial() : 0;
    }

    /** Stores or removes an exchange. Nothing is kept for a removed uid, as endless replacements would leak memory. */
    private void store(DirectoryEntry entry) {
        if (entry.exchange().readiness() == Readiness.GONE) {
            entries.remove(entry.uid());
            exchangeNumbers.remove(entry.uid());
        } else {
            entries.put(entry.uid(), entry);
        }
    }

    private DirectoryEntry entry(String uid, InetSocketAddress endpoint, String zone, HostAttributes attributes,
            Readiness readiness, double weight) {
        long number = exchangeNumbers.computeIfAbsent(uid, u -> ++lastNumber);
        return new DirectoryEntry(uid, endpoint, new Exchange(number, Math.max(0, zones.indexOf(zone)),
                Math.max(0, kinds.indexOf(attributes.kind())), attributes.cell(), readiness, weight,
                attributes.startedMs() * 1_000));
    }

    /**
     * Applies a list; see the class for what it may change.
     *
     * @throws InvalidInputException if a record is malformed; the list is then unchanged
     */
    Update applyResponse(DnsMessage message) throws InvalidInputException {
        long newSerial = message.records().stream().filter(DnsMessage.Soa.class::isInstance)
                .mapToLong(r -> ((DnsMessage.Soa) r).serial()).max().orElse(-1);
        if (newSerial < newestSerial || newSerial <= serial && awaitedHosts.isEmpty()) {
            return Update.NONE;
        }
        Update update = newSerial == serial ? applyAwaitedHosts(message) : applyNewList(message, newSerial);
        newestSerial = newSerial;
        update.changes().forEach(this::store);
        return update;
    }

    /** Applies what a response with the serial number of the last complete list states about awaited hosts. */
    private Update applyAwaitedHosts(DnsMessage message) throws InvalidInputException {
        Map<String, HostRecords> hosts = withResolved(HostRecords.collect(message));
        Set<String> completeHosts = new HashSet<>();
        List<DirectoryEntry> changes = new ArrayList<>();
        for (DnsMessage.Srv srv : serviceRecords(message)) {
            HostRecords host = hosts.getOrDefault(srv.target(), HostRecords.UNKNOWN);
            if (awaitedHosts.contains(srv.target()) && host.isComplete()) {
                addIfChanged(entry(srv, host), changes);
                completeHosts.add(srv.target());
            }
        }
        awaitedHosts.removeAll(completeHosts);
        resolvedHosts.keySet().removeAll(completeHosts);
        return update(changes);
    }

    private Update applyNewList(DnsMessage message, long newSerial) throws InvalidInputException {
        Map<String, HostRecords> stated = HostRecords.collect(message);
        // What was resolved for an earlier list may be outdated; for an unknown exchange it is all there is.
        resolvedHosts.keySet().removeIf(host -> entries.containsKey(uid(host)));
        Map<String, HostRecords> hosts = withResolved(stated);
        Set<String> listedUids = new HashSet<>();
        Set<String> incompleteHosts = new LinkedHashSet<>();
        List<DirectoryEntry> changes = new ArrayList<>();
        for (DnsMessage.Srv srv : serviceRecords(message)) {
            HostRecords host = hosts.getOrDefault(srv.target(), HostRecords.UNKNOWN);
            listedUids.add(uid(srv.target()));
            if (!host.isComplete()) {
                incompleteHosts.add(srv.target());
            }
            if (host.isComplete() || entries.containsKey(uid(srv.target()))) {
                addIfChanged(entry(srv, host), changes);
            }
        }
        if (message.truncated()) {
            changes.addAll(removedPredecessors(changes, listedUids));
            return new Update(changes, Set.of(), Set.of());
        }
        entries.values().stream().filter(old -> !listedUids.contains(old.uid())).map(DirectoryEntry::asRemoved)
                .forEach(changes::add);
        serial = newSerial;
        awaitedHosts.clear();
        awaitedHosts.addAll(incompleteHosts);
        resolvedHosts.keySet().retainAll(awaitedHosts);
        return update(changes);
    }

    /** Returns the records stated by a list, completed by what individual queries have returned. */
    private Map<String, HostRecords> withResolved(Map<String, HostRecords> stated) {
        Map<String, HostRecords> hosts = new HashMap<>(stated);
        resolvedHosts.forEach((host, resolved) -> hosts.merge(host, resolved, HostRecords::orElse));
        return hosts;
    }

    private static List<DnsMessage.Srv> serviceRecords(DnsMessage message) {
        return message.records().stream().filter(DnsMessage.Srv.class::isInstance).map(DnsMessage.Srv.class::cast)
                .toList();
    }

    /** Returns the uid of an exchange, which is the first label of its host name. */
    private static String uid(String host) {
        return host.split("\\.")[0];
    }

    private void addIfChanged(DirectoryEntry entry, List<DirectoryEntry> changes) {
        if (!entry.sameAs(entries.get(entry.uid()))) {
            changes.add(entry);
        }
    }

    /** Returns the update with these changes, before they are stored. */
    private Update update(List<DirectoryEntry> changes) {
        Set<String> incompleteHosts = new LinkedHashSet<>();
        Set<String> outdatedHosts = new LinkedHashSet<>();
        for (String host : awaitedHosts) {
            (entries.containsKey(uid(host)) ? outdatedHosts : incompleteHosts).add(host);
        }
        return new Update(changes, incompleteHosts, outdatedHosts);
    }

    /**
     * Returns as removed the exchanges that a truncated list does not name, and whose address belongs by it to another
     * exchange: two exchanges never have one address at a time.
     */
    private List<DirectoryEntry> removedPredecessors(List<DirectoryEntry> changes, Set<String> listedUids) {
        Set<InetSocketAddress> taken = new HashSet<>();
        changes.forEach(entry -> taken.add(entry.endpoint()));
        return entries.values().stream()
                .filter(old -> !listedUids.contains(old.uid()) && taken.contains(old.endpoint()))
                .map(DirectoryEntry::asRemoved).toList();
    }

    /** Returns the types of the records still unknown for a host that was listed without them. */
    List<Integer> missingRecordTypes(String host) {
        return resolvedHosts.getOrDefault(host, HostRecords.UNKNOWN).missingTypes();
    }

    /**
     * Adds the records from the response to a query for one host, if it is awaited. What the response lacks stays
     * unknown, since it may have been cut short.
     *
     * @throws InvalidInputException if an attribute is malformed; nothing is added then
     */
    void addHostRecords(String host, DnsMessage message) throws InvalidInputException {
        HostRecords stated = HostRecords.collect(message).getOrDefault(host, HostRecords.UNKNOWN);
        if (awaitedHosts.contains(host)) {
            resolvedHosts.merge(host, stated, (known, newer) -> newer.orElse(known));
        }
    }

    /**
     * Returns the exchange of an SRV record. What is unknown of its host is taken from the known exchange.
     *
     * @param host complete, unless the exchange is known
     */
    private DirectoryEntry entry(DnsMessage.Srv srv, HostRecords host) throws InvalidInputException {
        String uid = uid(srv.target());
        DirectoryEntry previous = entries.get(uid);
        Readiness readiness = srv.priority() == 0 ? Readiness.READY : Readiness.DRAINING;
        double weight = srv.weight() / WEIGHT_SCALE;
        byte[] address = host.address() != null ? host.address() : previous.endpoint().getAddress().getAddress();
        InetSocketAddress endpoint = endpoint(address, srv.port());
        if (host.attributes() == null) {
            Exchange exchange = previous.exchange();
            return new DirectoryEntry(uid, endpoint, new Exchange(exchange.address(), exchange.zone(), exchange.kind(),
                    exchange.place(), readiness, weight, exchange.upSince()));
        }
        String[] labels = srv.target().split("\\.");
        return entry(uid, endpoint, labels.length > 1 ? labels[1] : "", host.attributes(), readiness, weight);
    }

    private static InetSocketAddress endpoint(byte[] address, int port) throws InvalidInputException {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(address), port);
        } catch (UnknownHostException e) {
            throw new InvalidInputException("DNS: address of invalid length");
        }
    }
}
