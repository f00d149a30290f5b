package wingspread.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.zip.GZIPOutputStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wingspread.config.FeatureToggle;
import wingspread.core.Request;
import wingspread.lab.scenario.RecordedTraffic;
import wingspread.lab.scenario.Scenario;
import wingspread.lab.sim.Streams;
import wingspread.testing.Fuzz;
import wingspread.toml.TomlException;

/** Recordings are read back as written, up to the point of truncation; a slow disk does not delay calls. */
class RecordTest {
    private static final List<String> CLASSES = List.of("catalogue-page", "token-balance", "item-detail");
    private static final long MAX_BYTES = 1 << 20;

    private static List<RecordedCall> calls(long seed, int count) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RecordedCall> out = new ArrayList<>();
        long at = 0;
        for (int i = 0; i < count; i++) {
            at += random.nextInt(50_000);
            out.add(new RecordedCall(at, random.nextInt(3), 1 + random.nextInt(6), 1 + random.nextInt(4),
                    1_000L * random.nextInt(9_000), random.nextBoolean(), random.nextBoolean(), random.nextBoolean(),
                    random.nextLong()));
        }
        return out;
    }

    private static byte[] encode(List<RecordedCall> calls, long maxBytes) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (TrafficWriter writer = new TrafficWriter(out, 77, 0, 7, CLASSES, maxBytes)) {
            writer.dropped(3);
            for (RecordedCall call : calls) {
                writer.write(call);
                writer.flush();
            }
        }
        return out.toByteArray();
    }

    private static Recording read(byte[] bytes) {
        return Recording.read(new ByteArrayInputStream(bytes), "x");
    }

    @Property(tries = 50, seed = "61")
    void readsWhatWasWritten(@ForAll long seed, @ForAll @IntRange(max = 60) int count) throws IOException {
        List<RecordedCall> calls = calls(seed, count);
        Recording found = read(encode(calls, MAX_BYTES));
        assertNull(found.fault());
        assertEquals(calls, found.calls());
        assertEquals(3, found.dropped());
        assertEquals(new Recording(77, 0, 7, CLASSES, calls, found.dropped(), null), found);
    }

    @Test
    void readsTruncatedRecordingUpToTheCut() throws IOException {
        List<RecordedCall> calls = calls(5, 30);
        byte[] whole = encode(calls, MAX_BYTES);
        int maxCalls = 0;
        for (int length = 0; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            try {
                Recording found = read(cut);
                assertEquals(calls.subList(0, found.calls().size()), found.calls());
                assertTrue(found.calls().size() >= maxCalls, "a longer piece gave fewer calls");
                maxCalls = found.calls().size();
                // The compressor's checksum may be cut off although all calls were read.
                assertTrue(found.fault() != null ? found.fault().contains("after " + maxCalls + " calls")
                        : maxCalls == calls.size());
            } catch (Recording.InvalidRecordingException e) {
                assertEquals(0, maxCalls, "the header could be read from a shorter piece");
                assertTrue(e.getMessage().startsWith("x: "), e.getMessage());
            }
        }
        assertEquals(calls.size(), maxCalls);
    }

    @Property(tries = 500, seed = "62")
    void readsCorruptRecordingPartiallyOrRejectsIt(@ForAll long seed) throws IOException {
        byte[] corrupt = Fuzz.mutate(encode(calls(6, 20), MAX_BYTES), seed);
        try {
            Recording found = read(corrupt);
            assertTrue(found.calls().size() <= 20 || found.fault() != null);
        } catch (Recording.InvalidRecordingException e) {
            assertTrue(e.getMessage().indexOf('\n') < 0, e.getMessage());
        }
    }

    @Test
    void fullFileStaysWithinMaxSizeAndCountsMissingCalls() throws IOException {
        long maxBytes = 10_000;
        List<RecordedCall> calls = calls(7, 2_000);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (TrafficWriter writer = new TrafficWriter(out, 77, 0, 7, CLASSES, maxBytes)) {
            writer.dropped(5);
            for (RecordedCall call : calls) {
                writer.write(call);
            }
        }
        Recording found = read(out.toByteArray());
        assertTrue(out.size() <= maxBytes, out.size() + " bytes");
        assertNull(found.fault());
        assertEquals(calls.subList(0, found.calls().size()), found.calls());
        assertTrue(found.calls().size() > 0 && found.calls().size() < calls.size());
        assertEquals(calls.size() + 5, found.calls().size() + found.dropped());
    }

    @Test
    void rejectsOtherFormatVersion() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (OutputStream zip = new GZIPOutputStream(out)) {
            TrafficFormat.mapper().writeValue(zip, new TrafficFormat.Header(TrafficFormat.NAME, 9, 0, 0, 2, CLASSES));
        }
        String message = assertThrows(Recording.InvalidRecordingException.class,
                () -> read(out.toByteArray())).getMessage();
        assertEquals("x: recording has version 9; 1 was expected", message);
    }

    private static Request request(String number) {
        return new Request("00", "plain", 1, number, new byte[0], 5_000_000, 3, 2, -1, true, false, false);
    }

    /** A disk whose writes block until released. */
    private static final class StuckDisk extends OutputStream {
        final CountDownLatch blocked = new CountDownLatch(1);
        final CountDownLatch released = new CountDownLatch(1);
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        boolean stuck;

        @Override
        public void write(int one) {
            if (stuck) {
                blocked.countDown();
                boolean done = false;
                while (!done) {
                    try {
                        released.await();
                        done = true;
                    } catch (InterruptedException e) {
                        // Recorder.close() interrupts its thread, which does not end a blocked write.
                        continue;
                    }
                }
            }
            bytes.write(one);
        }
    }

    @Test
    void hangingDiskDropsCallsWithoutBlocking() throws Exception {
        StuckDisk disk = new StuckDisk();
        TrafficWriter writer = new TrafficWriter(disk, 0, 0, 7, CLASSES, MAX_BYTES);
        disk.stuck = true;
        Recorder recorder = new Recorder(writer, 0, 4, new byte[] {1});
        recorder.offered(1_000, request("ab"));
        disk.blocked.await();
        for (int i = 0; i < 20; i++) {
            recorder.offered(2_000 + i, request("ab"));
        }
        assertEquals(16, recorder.dropped());
        disk.released.countDown();
        recorder.close();
        Recording found = read(disk.bytes.toByteArray());
        assertEquals(5, found.calls().size());
        assertEquals(16, found.dropped());
        assertNull(found.fault());
        assertEquals(21, found.calls().size() + found.dropped());
        assertEquals(new RecordedCall(1_000, 1, 3, 2, 4_999_000, true, false, false, found.calls().get(0).number()),
                found.calls().get(0));
        assertEquals(found.calls().get(0).number(), found.calls().get(4).number());
    }

    @Test
    void queueBoundsCallsAndNumberLength() {
        OfferedCallQueue queue = new OfferedCallQueue(2);
        for (int i = 0; i < 5; i++) {
            queue.offer(i, request("a".repeat(16_000)));
        }
        assertEquals(3, queue.dropped());
        assertEquals(64, queue.poll().number().length());
        queue.offer(9, request("ab"));
        assertEquals(3, queue.dropped());
        assertEquals(1, queue.poll().at());
        assertEquals("ab", queue.poll().number());
        assertNull(queue.poll());
    }

    @Test
    void hashDependsOnKeyAndNumber() {
        NumberHash hash = new NumberHash(new byte[] {1});
        assertEquals(hash.of("ab"), new NumberHash(new byte[] {1}).of("ab"));
        assertNotEquals(hash.of("ab"), new NumberHash(new byte[] {2}).of("ab"));
        assertNotEquals(hash.of("ab"), hash.of("ac"));
        assertEquals(0, hash.of(""));
    }

    @Test
    void recordsWhenEnabledInDeployFile(@TempDir Path folder) throws IOException {
        assertFalse(FeatureToggle.mayBeEnabled(Path.of("deploy/record.toml")));
        assertNull(RecordConfig.read(Path.of("deploy/record.toml")));
        Path config = folder.resolve("record.toml");
        String on = Files.readString(Path.of("deploy/record.toml")).replace("enabled = false", "enabled = true")
                .replace("file = \"traffic\"", "file = \"" + folder.resolve("traffic") + "\"");
        Files.writeString(config, on);
        assertTrue(FeatureToggle.mayBeEnabled(config));
        try (Recorder recorder = RecordConfig.read(config).start(1_000_000, 4, 7, CLASSES)) {
            recorder.offered(1_500_000, request("ab"));
        }
        Path file = folder.resolve("traffic.4.1000000");
        assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(file)));
        Recording found = Recording.read(file);
        assertEquals(500_000, found.calls().get(0).at());
        assertNull(found.fault());
    }

    @Test
    void rejectsInvalidConfigFile(@TempDir Path folder) throws IOException {
        Path config = folder.resolve("record.toml");
        Files.writeString(config, "enabled = true\nfile = \"x\"\nheld-calls = 0\nlongest-megabytes = 1\n");
        assertTrue(assertThrows(TomlException.class, () -> RecordConfig.read(config)).getMessage()
                .contains("held-calls"));
    }

    @Test
    void modelPlaysOnlyFreshCallsOfRecordings() {
        List<RecordedCall> all = calls(9, 40);
        Recording recording = new Recording(0, 0, 7, CLASSES, all, 0, null);
        List<RecordedTraffic.Call> played = Scenario.named("usual").with(List.of(recording)).day(new Streams(1, 0))
                .recorded().calls();
        assertEquals(all.stream().filter(c -> !c.redial() && !c.transit() && !c.cut()).map(RecordedCall::number)
                .toList(), played.stream().map(RecordedTraffic.Call::number).toList());
    }

    @Test
    void rejectsRecordingThatDoesNotFitScenario() {
        Recording otherFleet = new Recording(0, 9, 12, CLASSES, calls(9, 4), 0, null);
        assertTrue(assertThrows(TomlException.class, () -> Scenario.named("usual").with(List.of(otherFleet)))
                .getMessage().contains("place 9"));
    }
}
