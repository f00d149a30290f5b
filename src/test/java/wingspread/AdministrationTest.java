package wingspread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import wingspread.json.Json;
import wingspread.sip.SipMessage;
import wingspread.testbed.Ports;
import wingspread.testing.HttpCall;
import wingspread.testing.Wire;

/** Operates the program through its second address, in a separate process. */
class AdministrationTest extends ServeFixture {
    private static final int NOT_LISTENING = -1;

    private int controlPort = freePort();

    private static int freePort() {
        try {
            return Ports.findFreePort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    Map<String, String> environment() {
        return Map.of("LB_CONTROL", "127.0.0.1:" + controlPort);
    }

    private int call(String method, String path) throws IOException {
        return HttpCall.request(controlPort, method, path).status();
    }

    /** Asks again and again until the answer is the expected one, for ten seconds at most; returns the last answer. */
    private static <T> T awaitEqual(T expected, Callable<? extends T> question) throws Exception {
        long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        T answer = question.call();
        while (!answer.equals(expected) && System.nanoTime() < giveUpAt) {
            answer = question.call();
        }
        return answer;
    }

    private void assertHealthBecomes(int status) throws Exception {
        assertEquals(status, awaitEqual(status, () -> {
            try {
                return call("GET", "/admin/health");
            } catch (ConnectException e) {
                return NOT_LISTENING;
            }
        }));
    }

    private Map<String, ?> statistics() throws Exception {
        Map<String, Object> figures = new HashMap<>();
        byte[] json = HttpCall.request(controlPort, "GET", "/admin/stats").body().getBytes(StandardCharsets.UTF_8);
        ((Map<?, ?>) Json.parse(json)).forEach((name, figure) -> figures.put(name.toString(), figure));
        return figures;
    }

    @Test
    void countsCallsByClassAndResult() throws Exception {
        establishCall(CALL_ID);
        offer("b".repeat(16));
        expectRequest("INVITE");
        Map<String, ?> expected = Map.of("completed", Map.of("plain", 1.0), "rejected", Map.of("plain", 0.0),
                "failed", Map.of("plain", 1.0), "upstream_requests", 2.0, "pending", 1.0, "members", 1.0,
                "members_unavailable", 0.0);
        // A repeated id on another connection fails without ending the call that is out.
        Wire<Map<?, ?>> first = caller;
        caller = connect();
        offer("b".repeat(16));
        expectMessage("end");
        assertEquals(expected, awaitEqual(expected, this::statistics));
        first.close();
    }

    @Test
    void sendsCallersAwayUntilResumedAndKeepsCalls() throws Exception {
        establishCall(CALL_ID);
        assertHealthBecomes(200);
        try (Wire<Map<?, ?>> idle = connect()) {
            assertEquals(200, call("POST", "/admin/quiesce"));
            assertEquals(503, call("GET", "/admin/health"));
            awaitTestResult(caller, 0);
            assertTrue(idle.awaitClose());
            offer("b".repeat(16));
            assertEquals(42.0, expectMessage("end").get("why"));
        }
        exchange.send(bye(CALL_ID, 16).encode());
        assertEquals(CALL_ID, expectMessage("end").get("call"));
        assertTrue(caller.awaitClose());
        assertEquals(200, call("POST", "/admin/resume"));
        caller = connect();
        awaitTestResult(caller, 1);
        assertHealthBecomes(200);
    }

    @Test
    void nextProcessServesOnTheSameAddressBesideThisOne() throws Exception {
        Process earlier = process;
        controlPort = freePort();
        process = serve(config.toString());
        Wire<SipMessage> exchangeOfNext = nextExchangeConnection();
        assertHealthBecomes(200);
        establishCall(CALL_ID);
        earlier.destroy();
        assertTrue(earlier.waitFor(10, TimeUnit.SECONDS));
        caller.close();
        caller = connect();
        exchange = exchangeOfNext;
        establishCall("b".repeat(16));
    }
}
