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
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import wingspread.config.NodeConfig;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.Readiness;
import wingspread.net.InvalidInputException;

/**
 * The list of exchanges, to which the responses of the directory are applied. Exchanges are identified by their uid,
 * since an address may pass from one exchange to another; each uid is assigned a local number. A truncated response
 * adds and changes exchanges but removes none, except for one whose address has passed to an exchange that it names. An
 * SRV record whose address or attributes are missing keeps the values last known for the exchange, or is skipped until
 * they have been queried. Free of I/O.
 */
final class Roster {
    /** Maximum number of individually queried hosts that are kept; the oldest entry is evicted. */
    private static final int MAX_RESOLVED_HOSTS = 4_096;
    /** The weight of an SRV record is ten times that of the exchange. */
    private static final double WEIGHT_SCALE = 10.0;

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Long> exchangeNumbers = new HashMap<>();
    private final Map<String, DirectoryEntry> entries = new LinkedHashMap<>();
    private final Map<String, HostRecords> resolvedHosts = new LinkedHashMap<>();
    private long lastNumber;
    private long serial;
    /** Highest serial number of any response, including truncated and incomplete ones. */
    private long newestSerial;

    /**
     * The result of applying a response.
     *
     * @param changes exchanges that were added, changed or removed
     * @param incompleteHosts hosts whose address or attributes are neither in the response nor known
     */
    record Update(List<DirectoryEntry> changes, Set<String> incompleteHosts) { }

    Roster(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Returns the exchanges in the list. */
    List<DirectoryEntry> entries() {
        return List.copyOf(entries.values());
    }

    /** Returns the serial number of the last list that was applied completely. */
    long serial() {
        return serial;
    }

    /** Loads the cached list from the configuration. */
    void loadCached(Map<?, ?> cached) {
        if (cached.get("notices") instanceof List<?> notices) {
            for (Object notice : notices) {
                if (notice instanceof Map<?, ?> map && map.get("pool") instanceof Map<?, ?> pool) {
                    applyCached(pool);
                }
            }
        }
        if (cached.get("rev") instanceof Double rev) {
            serial = rev.longValue();
        }
    }

    private void applyCached(Map<?, ?> pool) {
        if (Boolean.TRUE.equals(pool.get("all"))) {
            entries.clear();
        }
        if (pool.get("targets") instanceof List<?> targets) {
            for (Object target : targets) {
                if (target instanceof Map<?, ?> map) {
                    store(fromJson(map));
                }
            }
        }
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

    private DirectoryEntry fromJson(Map<?, ?> map) {
        Readiness readiness = switch (String.valueOf(map.get("state"))) {
            case "up" -> Readiness.READY;
            case "draining" -> Readiness.DRAINING;
            default -> Readiness.GONE;
        };
        return entry(String.valueOf(map.get("uid")).toLowerCase(Locale.ROOT),
                NodeConfig.address(String.valueOf(map.get("endpoint")), "known.endpoint"),
                String.valueOf(map.get("az")), new HostAttributes(String.valueOf(map.get("model")),
                        (int) numberOrZero(map.get("pod_group")), (long) numberOrZero(map.get("boot_ms"))),
                readiness, numberOrZero(map.get("capacity_hint")));
    }

    private static double numberOrZero(Object value) {
        return value instanceof Double d ? d : 0;
    }

    private DirectoryEntry entry(String uid, InetSocketAddress endpoint, String zone, HostAttributes attributes,
            Readiness readiness, double weight) {
        long number = exchangeNumbers.computeIfAbsent(uid, u -> ++lastNumber);
        return new DirectoryEntry(uid, endpoint, new Exchange(number, Math.max(0, zones.indexOf(zone)),
                Math.max(0, kinds.indexOf(attributes.kind())), attributes.cell(), readiness, weight,
                attributes.startedMs() * 1_000));
    }

    /**
     * Applies a list. A response that was overtaken by a later one is ignored: its serial number is lower. So is one
     * without a serial number, which a truncated response may lack, since it may be the older one.
     *
     * @throws InvalidInputException if a record is malformed; the list is then unchanged
     */
    Update applyResponse(DnsMessage message) throws InvalidInputException {
        long newSerial = message.records().stream().filter(DnsMessage.Soa.class::isInstance)
                .mapToLong(r -> ((DnsMessage.Soa) r).serial()).max().orElse(-1);
        if (newSerial <= serial || newSerial < newestSerial) {
            return new Update(List.of(), Set.of());
        }
        Map<String, HostRecords> hosts = HostRecords.collect(message);
        Set<String> listedUids = new HashSet<>();
        Set<String> incompleteHosts = new LinkedHashSet<>();
        List<DirectoryEntry> changes = new ArrayList<>();
        for (DnsMessage.Record record : message.records()) {
            if (record instanceof DnsMessage.Srv srv) {
                String uid = srv.target().split("\\.")[0];
                listedUids.add(uid);
                DirectoryEntry entry = entry(uid, srv, hosts);
                if (entry == null) {
                    incompleteHosts.add(srv.target());
                } else if (!entry.sameAs(entries.get(uid))) {
                    changes.add(entry);
                }
            }
        }
        if (message.truncated()) {
            changes.addAll(removedPredecessors(changes, listedUids));
        } else {
            for (DirectoryEntry old : entries.values()) {
                if (!listedUids.contains(old.uid())) {
                    changes.add(old.asRemoved());
                }
            }
            // While hosts are incomplete, the serial number is kept so that the same list is applied again.
            serial = incompleteHosts.isEmpty() ? newSerial : serial;
        }
        newestSerial = newSerial;
        changes.forEach(this::store);
        return new Update(changes, incompleteHosts);
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
     * Adds the records from the response to a query for one host. What the response lacks stays unknown, since it may
     * have been cut short.
     *
     * @throws InvalidInputException if an attribute is malformed; nothing is added then
     */
    void addHostRecords(String host, DnsMessage message) throws InvalidInputException {
        HostRecords stated = HostRecords.collect(message).getOrDefault(host, HostRecords.UNKNOWN);
        HostRecords known = resolvedHosts.getOrDefault(host, HostRecords.UNKNOWN);
        while (resolvedHosts.size() >= MAX_RESOLVED_HOSTS) {
            resolvedHosts.remove(resolvedHosts.keySet().iterator().next());
        }
        resolvedHosts.put(host, stated.orElse(known));
    }

    /** Returns the exchange of an SRV record, or null if its address or attributes are unknown. */
    private DirectoryEntry entry(String uid, DnsMessage.Srv srv, Map<String, HostRecords> hosts)
            throws InvalidInputException {
        HostRecords stated = hosts.getOrDefault(srv.target(), HostRecords.UNKNOWN)
                .orElse(resolvedHosts.getOrDefault(srv.target(), HostRecords.UNKNOWN));
        DirectoryEntry previous = entries.get(uid);
        if (!stated.isComplete() && previous == null) {
            return null;
        }
        Readiness readiness = srv.priority() == 0 ? Readiness.READY : Readiness.DRAINING;
        double weight = srv.weight() / WEIGHT_SCALE;
        byte[] address = stated.address() != null ? stated.address() : previous.endpoint().getAddress().getAddress();
        InetSocketAddress endpoint = endpoint(address, srv.port());
        if (stated.attributes() == null) {
            Exchange exchange = previous.exchange();
            return new DirectoryEntry(uid, endpoint, new Exchange(exchange.address(), exchange.zone(), exchange.kind(),
                    exchange.place(), readiness, weight, exchange.upSince()));
        }
        String[] labels = srv.target().split("\\.");
        return entry(uid, endpoint, labels.length > 1 ? labels[1] : "", stated.attributes(), readiness, weight);
    }

    private static InetSocketAddress endpoint(byte[] address, int port) throws InvalidInputException {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(address), port);
        } catch (UnknownHostException e) {
            throw new InvalidInputException("DNS: address of invalid length");
        }
    }
}
