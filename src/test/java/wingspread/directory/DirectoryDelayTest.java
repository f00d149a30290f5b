package wingspread.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import wingspread.control.CallControl.Readiness;
import wingspread.testbed.NameServer;
import wingspread.testbed.NameServer.ListedExchange;
import wingspread.turn.Deadlines;

/**
 * The delay with which a change is reported after an outage of the directory: at most 6 s after the directory has the
 * change and is reachable, whatever the outage was and whatever form the later responses have. Runs on a simulated
 * clock.
 */
class DirectoryDelayTest {
    private static final long START_MICROS = 1_000_000_000;
    private static final long MAX_DELAY_MICROS = 6_000_000;
    private static final int MAX_UDP_BYTES = 8_000;
    private static final int MAX_TCP_BYTES = 65_535;

    /** How the directory fails during the outage. */
    private enum Outage { SILENT, ERROR, CUT_SHORT, OLD_LIST, WRONG_ID, SLOW, TCP_HANGS }

    /** The form of the responses outside the outage. */
    private enum Shape { WHOLE, TRUNCATED, WITHOUT_HOSTS }

    /** A directory, the network to it, and a client, simulated event by event. */
    private static final class Simulation implements DirectoryClient.Transport {
        final Deadlines events = new Deadlines();
        final SplittableRandom random;
        final Shape shape;
        final long latency;
        final Map<String, Long> reportedAt = new HashMap<>();
        final List<ListedExchange> list = new ArrayList<>();
        final DirectoryClient client;
        Outage outage;
        int serial = 1;
        long now = START_MICROS;

        Simulation(Shape shape, int exchanges, long seed) {
            this.shape = shape;
            random = new SplittableRandom(seed);
            latency = random.nextInt(300_000);
            for (int i = 0; i < exchanges; i++) {
                list.add(new ListedExchange("s-" + i, "z", i, 5_000 + i, Readiness.READY, 0));
            }
            client = new DirectoryClient(new Roster(List.of("z"), List.of("std")), random.split(), this,
                    (kind, listings) -> listings.forEach(listing -> reportedAt.putIfAbsent(
                            listing.uid() + " " + listing.exchange().readiness(), now)));
        }

        void run(long until) {
            while (events.next() <= until) {
                now = events.next();
                events.runNext();
            }
            now = until;
        }

        void queryPeriodically() {
            client.queryList(now);
            events.add(now + DirectoryClient.QUERY_INTERVAL_MICROS, this::queryPeriodically);
        }

        @Override
        public void send(byte[] query) {
            // One query in ten is lost, or its response is.
            if (random.nextInt(10) > 0) {
                reply(query, MAX_UDP_BYTES);
            }
        }

        @Override
        public void sendOverTcp(byte[] query) {
            if (outage == null) {
                reply(query, MAX_TCP_BYTES);
            }
        }

        private void reply(byte[] query, int maxBytes) {
            byte[] response = outage == Outage.OLD_LIST ? NameServer.answer(query, 0, List.of(), maxBytes)
                    : shape == Shape.WITHOUT_HOSTS ? withoutHosts(query)
                    : NameServer.answer(query, serial, list, shape == Shape.TRUNCATED ? maxBytes : MAX_TCP_BYTES);
            long delay = latency;
            if (outage != null) {
                switch (outage) {
                    case SILENT -> {
                        return;
                    }
                    case ERROR -> response[3] |= 2;
                    case CUT_SHORT -> response = Arrays.copyOf(response, response.length / 2);
                    case WRONG_ID -> response[0] ^= 0x55;
                    case SLOW -> delay = 4_000_000;
                    default -> { }
                }
            }
            byte[] sent = response;
            events.add(now + delay, () -> client.handleMessage(now, sent));
        }

        /** Returns the list without the records of its hosts, or the records of the one host that is queried. */
        private byte[] withoutHosts(byte[] query) {
            String queriedName = new String(query, 12, query.length - 16, StandardCharsets.ISO_8859_1);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(query, 0, 2);
            if (queriedName.contains("_back")) {
                u16(out, 0x8400, 1, list.size(), 1, 0);
                out.write(query, 12, query.length - 12);
                for (ListedExchange entry : list) {
                    byte[] target = target(entry);
                    u16(out, 0xc00c, 33, 1, 0, 0, 6 + target.length, entry.readiness() == Readiness.READY ? 0 : 1, 10,
                            entry.port());
                    out.writeBytes(target);
                }
                u16(out, 0xc00c, 6, 1, 0, 0, 24, 0xc00c, 0xc00c, 0, serial, 0, 1, 0, 1, 0, 1, 0, 1);
            } else {
                boolean address = query[query.length - 3] == 1;
                u16(out, 0x8400, 1, 1, 0, 0);
                out.write(query, 12, query.length - 12);
                byte[] data = address ? new byte[] {127, 0, 0, 1}
                        : "\u0008kind=std\u0006cell=2\u0009started=7".getBytes(StandardCharsets.US_ASCII);
                u16(out, 0xc00c, address ? 1 : 16, 1, 0, 0, data.length);
                out.writeBytes(data);
            }
            return out.toByteArray();
        }

        private static byte[] target(ListedExchange entry) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (String label : List.of(entry.uid(), entry.zone(), "hosts")) {
                out.write(label.length());
                out.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
            }
            out.write(0);
            return out.toByteArray();
        }

        private static void u16(ByteArrayOutputStream out, int... values) {
            for (int value : values) {
                out.write(value >> 8);
                out.write(value);
            }
        }
    }

    @Property(tries = 400, seed = "41")
    void reportsChangeInTimeAfterAnyOutage(@ForAll long seed, @ForAll Outage outage,
            @ForAll Shape shape, @ForAll @IntRange(min = 0, max = 9_000) int outageMs,
            @ForAll @IntRange(min = 0, max = 10_000) int changeMs) {
        Simulation simulation = new Simulation(shape, shape == Shape.TRUNCATED ? 200 : 12, seed);
        simulation.queryPeriodically();
        simulation.run(START_MICROS + 5_000_000);
        assertEquals(simulation.list.size(), simulation.reportedAt.size());
        long outageAt = START_MICROS + 5_000_000;
        long reachableAt = outageAt + outageMs * 1_000L;
        long changedAt = outageAt + changeMs * 1_000L;
        simulation.outage = outage;
        simulation.events.add(reachableAt, () -> simulation.outage = null);
        simulation.events.add(changedAt, () -> {
            ListedExchange entry = simulation.list.get(0);
            simulation.list.set(0,
                    new ListedExchange(entry.uid(), entry.zone(), entry.place(), entry.port(), Readiness.DRAINING, 0));
            simulation.serial++;
        });
        long deadline = Math.max(changedAt, reachableAt) + MAX_DELAY_MICROS;
        simulation.run(deadline);
        assertTrue(simulation.reportedAt.containsKey("s-0 DRAINING"),
                "not reported " + (deadline - changedAt) + " us after the change");
    }

    /** 1,024 exchanges are added at once, and each host must be queried individually. */
    @Property(tries = 20, seed = "42")
    void resolvesThousandNewHostsInTime(@ForAll long seed) {
        Simulation simulation = new Simulation(Shape.WITHOUT_HOSTS, 1_024, seed);
        simulation.queryPeriodically();
        simulation.run(START_MICROS + MAX_DELAY_MICROS);
        assertEquals(1_024, simulation.reportedAt.size());
    }
}
