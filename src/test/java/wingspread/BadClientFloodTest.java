package wingspread;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import wingspread.testing.Wire;

/** Runs the program beside a client that sends small requests at full speed. */
class BadClientFloodTest extends BadClientFixture {
    /** How many requests the client sends; the program takes a few seconds for them. */
    private static final int REQUESTS = 200_000;
    private static final int REQUESTS_PER_WRITE = 1_000;
    /** The time that the usual caller leaves for an answer. */
    private static final long LEFT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private enum Kind { TEST, UNKNOWN_CLASS, REFUSED, UNKNOWN_END }

    static Stream<Kind> kinds() {
        return Stream.of(Kind.values());
    }

    private static String request(Kind kind, int number) {
        String id = String.format("%016x", 1L << 40 | number);
        return switch (kind) {
            case TEST -> "{\"op\":\"test\",\"call\":\"" + id + "\",\"with\":{},\"why\":0}\n";
            case UNKNOWN_CLASS -> refusedOffer(id, "1500", "").replace("plain", "x" + number);
            case REFUSED -> refusedOffer(id, "1500", "").replace("00FF", id)
                    .replace("9999", Integer.toString(10 + number % 9_000));
            case UNKNOWN_END -> "{\"op\":\"end\",\"call\":\"" + id + "\",\"with\":{},\"why\":16}\n";
        };
    }

    /** Sends the requests of a bad client, which reads whatever it is sent; returns when all are written. */
    private static CompletableFuture<Void> flood(Wire<Map<?, ?>> client, Kind kind) {
        CompletableFuture.runAsync(client::readUntilClosed);
        return CompletableFuture.runAsync(() -> {
            for (int sent = 0; sent < REQUESTS; sent += REQUESTS_PER_WRITE) {
                StringBuilder text = new StringBuilder();
                for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
                    text.append(request(kind, sent + i));
                }
                client.sendUnchecked(text.toString());
            }
        });
    }

    /** Guards against answers that come late, and memory that grows, while one client sends at full speed. */
    @ParameterizedTest
    @MethodSource("kinds")
    void answersUsualCallersInTimeBesideClientThatSendsAtFullSpeed(Kind kind) throws Exception {
        try (Wire<Map<?, ?>> client = connect()) {
            CompletableFuture<Void> sent = flood(client, kind);
            int calls = 0;
            do {
                long offeredAt = System.nanoTime();
                caller.send(refusedOffer(String.format("%016x", calls), "1500", ""));
                expectMessage("end");
                assertTrue(System.nanoTime() - offeredAt < LEFT_NANOS, "call " + calls + " was answered late");
                calls++;
            } while (!sent.isDone());
            sent.get(10, TimeUnit.SECONDS);
            assertTrue(calls > 1, "the requests were written before the second call");
            establishCall(CALL_ID);
        }
    }
}
