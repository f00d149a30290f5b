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
import wingspread.testbed.NameServer.Named;
import wingspread.turn.Deadlines;

/**
 * How late a change is told after the directory was out of reach: at the latest 6 s after the directory had it and
 * could be reached, whatever the directory did before and however it answers afterwards. On a clock of the test's own.
 */
class DirectoryDelayTest {
    private static final long START = 1_000_000_000;
    private static final long TERM = 6_000_000;
    private static final int MOST_UDP = 8_000;
    private static final int LONGEST = 65_535;

    /** What the directory does while it cannot be reached properly. */
    private enum Outage { SILENT, ERROR, CUT, OLD, WRONG_ID, SLOW, TCP_HANGS }

    /** How it answers in good order. */
    private enum Shape { WHOLE, TRUNCATED, WITHOUT_HOSTS }

    /** A directory, the way to it, and a client, in a time that jumps from one event to the next. */
    private static final class World implements DirectoryClient.Transport {
        final Deadlines events = new Deadlines();
        final SplittableRandom random;
        final Shape shape;
        final long latency;
        final Map<String, Long> toldAt = new HashMap<>();
        final List<Named> list = new ArrayList<>();
        final DirectoryClient client;
        Outage outage;
        int serial = 1;
        long now = START;

        World(Shape shape, int exchanges, long seed) {
            this.shape = shape;
            random = new SplittableRandom(seed);
            latency = random.nextInt(300_000);
            for (int i = 0; i < exchanges; i++) {
                list.add(new Named("s-" + i, "z", i, 5_000 + i, Readiness.READY, 0));
            }
            client = new DirectoryClient(new Roster(List.of("z"), List.of("std")), random.split(), this,
                    (kind, listings) -> listings.forEach(l -> toldAt.putIfAbsent(
                            l.uid() + " " + l.exchange().readiness(), now)));
        }

        void run(long until) {
            while (events.next() <= until) {
                now = events.next();
                events.playOne();
            }
            now = until;
        }

        void askForEver() {
            client.ask(now);
            events.add(now + DirectoryClient.ASK_EVERY, this::askForEver);
        }

        @Override
        public void send(byte[] question) {
            // One datagram in ten is lost, either way.
            if (random.nextInt(10) > 0) {
                reply(question, MOST_UDP);
            }
        }

        @Override
        public void sendOverTcp(byte[] question) {
            if (outage == null) {
                reply(question, LONGEST);
            }
        }

        private void reply(byte[] question, int most) {
            byte[] answer = outage == Outage.OLD ? NameServer.answer(question, 0, List.of(), most)
                    : shape == Shape.WITHOUT_HOSTS ? withoutHosts(question)
                    : NameServer.answer(question, serial, list, shape == Shape.TRUNCATED ? most : LONGEST);
            long takes = latency;
            if (outage != null) {
                switch (outage) {
                    case SILENT -> {
                        return;
                    }
                    case ERROR -> answer[3] |= 2;
                    case CUT -> answer = Arrays.copyOf(answer, answer.length / 2);
                    case WRONG_ID -> answer[0] ^= 0x55;
                    case SLOW -> takes = 4_000_000;
                    default -> { }
                }
            }
            byte[] sent = answer;
            events.add(now + takes, () -> client.heard(now, sent));
        }

        /** The list without the records of its hosts, or the records of the one host that is asked for. */
        private byte[] withoutHosts(byte[] question) {
            String asked = new String(question, 12, question.length - 16, StandardCharsets.ISO_8859_1);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(question, 0, 2);
            if (asked.contains("_back")) {
                u16(out, 0x8400, 1, list.size(), 1, 0);
                out.write(question, 12, question.length - 12);
                for (Named one : list) {
                    byte[] target = target(one);
                    u16(out, 0xc00c, 33, 1, 0, 0, 6 + target.length, one.readiness() == Readiness.READY ? 0 : 1, 10,
                            one.port());
                    out.writeBytes(target);
                }
                u16(out, 0xc00c, 6, 1, 0, 0, 24, 0xc00c, 0xc00c, 0, serial, 0, 1, 0, 1, 0, 1, 0, 1);
            } else {
                boolean address = question[question.length - 3] == 1;
                u16(out, 0x8400, 1, 1, 0, 0);
                out.write(question, 12, question.length - 12);
                u16(out, 0xc00c, address ? 1 : 16, 1, 0, 0, address ? 4 : 9);
                out.writeBytes(address ? new byte[] {127, 0, 0, 1}
                        : "\u0008kind=std".getBytes(StandardCharsets.US_ASCII));
            }
            return out.toByteArray();
        }

        private static byte[] target(Named one) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (String label : List.of(one.uid(), one.zone(), "hosts")) {
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
    void aChangeIsToldInTimeHoweverTheDirectoryFailedBefore(@ForAll long seed, @ForAll Outage outage,
            @ForAll Shape shape, @ForAll @IntRange(min = 0, max = 9_000) int outageMs,
            @ForAll @IntRange(min = 0, max = 10_000) int changeMs) {
        World world = new World(shape, shape == Shape.TRUNCATED ? 200 : 12, seed);
        world.askForEver();
        world.run(START + 5_000_000);
        assertEquals(world.list.size(), world.toldAt.size());
        long outageAt = START + 5_000_000;
        long reachableAt = outageAt + outageMs * 1_000L;
        long changedAt = outageAt + changeMs * 1_000L;
        world.outage = outage;
        world.events.add(reachableAt, () -> world.outage = null);
        world.events.add(changedAt, () -> {
            Named one = world.list.get(0);
            world.list.set(0, new Named(one.uid(), one.zone(), one.place(), one.port(), Readiness.DRAINING, 0));
            world.serial++;
        });
        long due = Math.max(changedAt, reachableAt) + TERM;
        world.run(due);
        assertTrue(world.toldAt.containsKey("s-0 DRAINING"), "not told " + (due - changedAt) + " us after it happened");
    }

    /** 1,024 exchanges come at once, and each host has to be asked for by itself. */
    @Property(tries = 20, seed = "42")
    void aThousandNewHostsAreLearntInTime(@ForAll long seed) {
        World world = new World(Shape.WITHOUT_HOSTS, 1_024, seed);
        world.askForEver();
        world.run(START + TERM);
        assertEquals(1_024, world.toldAt.size());
    }
}
