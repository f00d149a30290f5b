package wingspread.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import wingspread.net.Loop;

class LostReleaseRecoveryTest {
    private static final long AFTER_CONFIRMATION_MS = 1_200;

    private final Loop loop = new Loop(() -> 1_000_000_000);
    private final AtomicInteger reconnects = new AtomicInteger();
    private final LostReleaseRecovery recovery =
            new LostReleaseRecovery(loop, () -> true, calls -> reconnects.incrementAndGet());

    @AfterEach
    void stop() {
        loop.stop();
    }

    private int reconnectsAfter(Runnable events) throws Exception {
        loop.execute(events);
        return loop.group().schedule(reconnects::get, AFTER_CONFIRMATION_MS, TimeUnit.MILLISECONDS)
                .get(10, TimeUnit.SECONDS);
    }

    @Test
    void reconnectsWhileCallsHaveNoConnection() throws Exception {
        assertEquals(1, reconnectsAfter(() -> recovery.connectionClosed(List.of("a", "b"))));
    }

    @Test
    void doesNotReconnectForCallsThatHaveEnded() throws Exception {
        assertEquals(0, reconnectsAfter(() -> {
            recovery.connectionClosed(List.of("a"));
            recovery.callEnded("a");
        }));
    }

    /** Guards against a timer that kept a removed link for good, as no end of its calls reached it any more. */
    @Test
    void keepsNothingAfterStop() throws Exception {
        assertEquals(0, reconnectsAfter(() -> {
            recovery.connectionLost();
            recovery.connectionClosed(List.of("a"));
            recovery.stop();
            recovery.connectionClosed(List.of("b"));
        }));
    }
}
