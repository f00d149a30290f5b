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
import wingspread.net.BadInput;

/**
 * The list of exchanges, and what an answer of the directory changes in it. Exchanges are told apart by their uid,
 * since an address may pass from one to the next; each uid has a number of ours. An answer that is cut short adds and
 * changes, but what it lacks has not gone; a service record without its address or its facts stays as it was known, or
 * is left out until they are learnt. Free of I/O.
 */
final class Roster {
    /** Hosts whose records were asked for one by one, and which are remembered; the oldest is forgotten. */
    private static final int MOST_LEARNT = 4_096;

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<String, Listing> present = new LinkedHashMap<>();
    private final Map<String, Host> learnt = new LinkedHashMap<>();
    private long lastNumber;
    private long serial;
    /** The highest number of any answer, also of one that could not be taken whole. */
    private long newest;

    /** What is known of a host; null where nothing was said. */
    private static final class Host {
        byte[] address;
        Map<String, String> facts;
    }

    /**
     * What an answer changed.
     *
     * @param changes exchanges that came, changed or went
     * @param lacking hosts whose address or facts the answer does not hold and nobody knows
     */
    record Reading(List<Listing> changes, Set<String> lacking) { }

    Roster(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** All that are present. */
    List<Listing> present() {
        return List.copyOf(present.values());
    }

    /** Number of the last event that the list holds. */
    long serial() {
        return serial;
    }

    /** Takes the events of the start, as the configuration keeps them. */
    void known(Map<?, ?> known) {
        if (known.get("notices") instanceof List<?> notices) {
            for (Object notice : notices) {
                if (notice instanceof Map<?, ?> map && map.get("pool") instanceof Map<?, ?> pool) {
                    apply(pool);
                }
            }
        }
        if (known.get("rev") instanceof Double rev) {
            serial = rev.longValue();
        }
    }

    private void apply(Map<?, ?> pool) {
        if (Boolean.TRUE.equals(pool.get("all"))) {
            present.clear();
        }
        if (pool.get("targets") instanceof List<?> targets) {
            for (Object target : targets) {
                if (target instanceof Map<?, ?> map) {
                    note(fromJson(map));
                }
            }
        }
    }

    /** Guards against exchanges that are replaced for ever: nothing is kept of a uid that has gone. */
    private void note(Listing listing) {
        if (listing.exchange().readiness() == Readiness.GONE) {
            present.remove(listing.uid());
            numbers.remove(listing.uid());
        } else {
            present.put(listing.uid(), listing);
        }
    }

    private Listing fromJson(Map<?, ?> map) {
        Readiness readiness = switch (String.valueOf(map.get("state"))) {
            case "up" -> Readiness.READY;
            case "draining" -> Readiness.DRAINING;
            default -> Readiness.GONE;
        };
        return listing(String.valueOf(map.get("uid")).toLowerCase(Locale.ROOT),
                NodeConfig.address(String.valueOf(map.get("endpoint")), "known.endpoint"),
                String.valueOf(map.get("az")), String.valueOf(map.get("model")), number(map.get("pod_group")),
                readiness, number(map.get("capacity_hint")), (long) number(map.get("boot_ms")));
    }

    private static double number(Object value) {
        return value instanceof Double d ? d : 0;
    }

    private Listing listing(String uid, InetSocketAddress endpoint, String zone, String kind, double cell,
            Readiness readiness, double weight, long startedMs) {
        long number = numbers.computeIfAbsent(uid, u -> ++lastNumber);
        return new Listing(uid, endpoint, new Exchange(number, Math.max(0, zones.indexOf(zone)),
                Math.max(0, kinds.indexOf(kind)), (int) cell, readiness, weight, startedMs * 1_000));
    }

    /**
     * Takes a list. Guards against an answer that was overtaken by a later one: its serial number is lower. One that is
     * cut short may lack it, and is then taken as news; but it makes nobody ready who was told to drain, since it may
     * be the older one.
     *
     * @throws BadInput where a record cannot be understood; the list stays as it was
     */
    Reading read(DnsMessage message) throws BadInput {
        long newSerial = message.records().stream().filter(DnsMessage.Soa.class::isInstance)
                .mapToLong(r -> ((DnsMessage.Soa) r).serial()).max().orElse(message.truncated() ? Long.MAX_VALUE : -1);
        boolean numbered = newSerial < Long.MAX_VALUE;
        if (newSerial <= serial || newSerial < newest) {
            return new Reading(List.of(), Set.of());
        }
        Map<String, Host> hosts = new HashMap<>();
        note(message, hosts);
        Set<String> named = new HashSet<>();
        Set<String> lacking = new LinkedHashSet<>();
        List<Listing> changes = new ArrayList<>();
        for (DnsMessage.Record record : message.records()) {
            if (record instanceof DnsMessage.Srv srv) {
                String uid = srv.target().split("\\.")[0];
                named.add(uid);
                Listing listing = listing(uid, srv, hosts);
                if (listing == null) {
                    lacking.add(srv.target());
                } else if (!listing.same(present.get(uid)) && (numbered || !resumes(listing))) {
                    changes.add(listing);
                }
            }
        }
        if (!message.truncated()) {
            for (Listing old : present.values()) {
                if (!named.contains(old.uid())) {
                    changes.add(old.gone());
                }
            }
            // Guards what is lacking: the same list must be read again once that is learnt.
            serial = lacking.isEmpty() ? newSerial : serial;
        }
        newest = numbered ? newSerial : newest;
        changes.forEach(this::note);
        return new Reading(changes, lacking);
    }

    private boolean resumes(Listing listing) {
        Listing before = present.get(listing.uid());
        return before != null && before.exchange().readiness() == Readiness.DRAINING
                && listing.exchange().readiness() == Readiness.READY;
    }

    /** The types of the records that nothing was learnt of, of a host that a list has named without them. */
    List<Integer> missing(String host) {
        Host known = learnt.getOrDefault(host, new Host());
        List<Integer> out = new ArrayList<>();
        if (known.address == null) {
            out.add(DnsMessage.A);
        }
        if (known.facts == null) {
            out.add(DnsMessage.TXT);
        }
        return out;
    }

    /** Takes what was asked about one host. Facts that it has none of are known from then on. */
    void learn(String host, DnsMessage message) {
        while (learnt.size() >= MOST_LEARNT) {
            learnt.remove(learnt.keySet().iterator().next());
        }
        Map<String, Host> hosts = new HashMap<>();
        hosts.put(host, learnt.computeIfAbsent(host, h -> new Host()));
        note(message, hosts);
    }

    /** Notes that a host has no facts, though it was asked for them. */
    void learnNoFacts(String host) {
        Host known = learnt.get(host);
        if (known != null && known.facts == null) {
            known.facts = Map.of();
        }
    }

    private static void note(DnsMessage message, Map<String, Host> hosts) {
        for (DnsMessage.Record record : message.records()) {
            if (record instanceof DnsMessage.Address a) {
                hosts.computeIfAbsent(a.name(), n -> new Host()).address = a.bytes();
            } else if (record instanceof DnsMessage.Text t) {
                Host host = hosts.computeIfAbsent(t.name(), n -> new Host());
                Map<String, String> facts = new HashMap<>(host.facts == null ? Map.of() : host.facts);
                for (String text : t.texts()) {
                    int eq = text.indexOf('=');
                    facts.put(eq < 0 ? text : text.substring(0, eq), text.substring(eq + 1));
                }
                host.facts = facts;
            }
        }
    }

    /** An exchange as a service record tells it, or null where its address or its facts are not known. */
    private Listing listing(String uid, DnsMessage.Srv srv, Map<String, Host> hosts) throws BadInput {
        Host told = hosts.getOrDefault(srv.target(), new Host());
        Host asked = learnt.getOrDefault(srv.target(), new Host());
        Listing before = present.get(uid);
        Readiness readiness = srv.priority() == 0 ? Readiness.READY : Readiness.DRAINING;
        byte[] address = told.address != null ? told.address : asked.address;
        Map<String, String> facts = told.facts != null ? told.facts : asked.facts;
        if (address == null && before != null) {
            address = before.endpoint().getAddress().getAddress();
        }
        if (address == null || facts == null && before == null) {
            return null;
        }
        InetSocketAddress endpoint = endpoint(address, srv.port());
        if (facts == null) {
            Exchange e = before.exchange();
            return new Listing(uid, endpoint, new Exchange(e.address(), e.zone(), e.kind(), e.place(), readiness,
                    srv.weight() / 10.0, e.upSince()));
        }
        String[] labels = srv.target().split("\\.");
        return listing(uid, endpoint, labels.length > 1 ? labels[1] : "", facts.getOrDefault("kind", ""),
                fact(facts, "cell"), readiness, srv.weight() / 10.0, fact(facts, "started"));
    }

    private static long fact(Map<String, String> facts, String name) throws BadInput {
        try {
            return Long.parseLong(facts.getOrDefault(name, "0"));
        } catch (NumberFormatException e) {
            throw new BadInput("DNS: " + name + " is no number");
        }
    }

    private static InetSocketAddress endpoint(byte[] address, int port) throws BadInput {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(address), port);
        } catch (UnknownHostException e) {
            throw new BadInput("DNS: an address of a wrong length");
        }
    }
}
