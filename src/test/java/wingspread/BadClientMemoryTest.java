package wingspread;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import wingspread.testing.Wire;

/** Runs the program with the heap of the deploy file, against clients that send far more than it holds. */
class BadClientMemoryTest extends BadClientFixture {
    private static final double REFUSED_CAUSE = 42;
    private static final double INVALID_CAUSE = 100;
    private static final int BATCHES = 240;
    /** The answers to one batch, which repeat the ids, stay below the 1 MiB that a connection may have unsent. */
    private static final int CALLS_PER_BATCH = 50;
    /** All batches together hold 144 MB, nearly twice the heap. */
    private static final int PADDING_CHARS = 12_000;

    /** A burst of all clients together holds 108 MB, more than the heap. */
    private static final int BURST_CLIENTS = 100;
    private static final int BURST_CALLS = 900;
    private static final int BURST_PADDING_CHARS = 1_000;
    /** Half a request, as long as one may be. */
    private static final int INCOMPLETE_CHARS = 16_000;
    private static final int SLOW_CLIENTS = 500;

    private long nextCall = 1;

    private void offerFailingCalls(Wire<Map<?, ?>> client, String remainingMs, String idPadding, String description,
            double cause) throws Exception {
        for (int batch = 0; batch < BATCHES; batch++) {
            StringBuilder offers = new StringBuilder();
            for (int i = 0; i < CALLS_PER_BATCH; i++) {
                String id = idPadding + String.format("%016x", nextCall++);
                offers.append(refusedOffer(id, remainingMs, description));
            }
            client.send(offers.toString());
            for (int i = 0; i < CALLS_PER_BATCH; i++) {
                assertEquals(cause, client.next().get("why"));
            }
        }
    }

    /** Guards against an OutOfMemoryError by refused calls that were kept until the deadline their client named. */
    @Test
    void servesUsualCallersAfterManyRefusedCallsWithFarDeadlines() throws Exception {
        try (Wire<Map<?, ?>> client = connect()) {
            offerFailingCalls(client, "1000000000000", "", "x".repeat(PADDING_CHARS), REFUSED_CAUSE);
            establishCall(CALL_ID);
        }
    }

    /**
     * Guards against an OutOfMemoryError by a burst of requests: everything that had arrived was read and queued before
     * the first of it was processed.
     */
    @Test
    void servesUsualCallersAfterBurstOfRequestsOnManyConnections() throws Exception {
        ExecutorService senders = Executors.newCachedThreadPool();
        List<Wire<Map<?, ?>>> clients = new ArrayList<>();
        try {
            List<Future<?>> sent = new ArrayList<>();
            for (int i = 0; i < BURST_CLIENTS; i++) {
                Wire<Map<?, ?>> client = connect();
                clients.add(client);
                String burst = burst();
                sent.add(senders.submit(() -> {
                    client.send(burst);
                    return null;
                }));
            }
            for (Future<?> future : sent) {
                future.get(30, TimeUnit.SECONDS);
            }
            for (Wire<Map<?, ?>> client : clients) {
                assertEquals("end", client.next().get("op"));
            }
            establishCall(CALL_ID);
        } finally {
            senders.shutdownNow();
            for (Wire<Map<?, ?>> client : clients) {
                client.close();
            }
        }
    }

    private String burst() {
        StringBuilder offers = new StringBuilder();
        for (int i = 0; i < BURST_CALLS; i++) {
            offers.append(refusedOffer(String.format("%016x", nextCall++), "1500", "x".repeat(BURST_PADDING_CHARS)));
        }
        return offers.toString();
    }

    /** Guards against an OutOfMemoryError by hundreds of clients that stop within a request as long as it may be. */
    @Test
    void servesUsualCallersBesideHundredsOfClientsThatStopWithinALargeRequest() throws Exception {
        List<Wire<Map<?, ?>>> clients = new ArrayList<>();
        try {
            for (int i = 0; i < SLOW_CLIENTS; i++) {
                Wire<Map<?, ?>> client = connect();
                clients.add(client);
                client.send(refusedOffer("00000000000000ff", "1500", "") + "{\"op\":\"" + "x".repeat(INCOMPLETE_CHARS));
            }
            establishCall(CALL_ID);
        } finally {
            for (Wire<Map<?, ?>> client : clients) {
                client.close();
            }
        }
    }

    /**
     * Guards against an OutOfMemoryError by ids that a client makes as long as a message; they are invalid, and nothing
     * of them may be kept. {@code EndedCallIdsTest} holds the bound for ids that are not.
     */
    @Test
    void servesUsualCallersAfterManyInvalidCallsWithLongIds() throws Exception {
        try (Wire<Map<?, ?>> client = connect()) {
            offerFailingCalls(client, "1", "x".repeat(PADDING_CHARS), "", INVALID_CAUSE);
            establishCall(CALL_ID);
        }
    }
}
