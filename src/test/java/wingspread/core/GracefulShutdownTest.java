package wingspread.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wingspread.core.GracefulShutdown.Step;

class GracefulShutdownTest {
    private static final long MICROS_PER_MS = 1_000;
    private static final long SIGTERM_AT = 1_000_000_000;

    private static GracefulShutdown withMaxDeadline(long deadlineMs) {
        return new GracefulShutdown(SIGTERM_AT, deadlineMs * MICROS_PER_MS);
    }

    /**
     * Queries the next step every 20 ms until the process exits, and returns each change of step with its time. Times
     * are milliseconds after SIGTERM; one call is established until the first one, and one caller connection is open
     * until the second one.
     */
    private static List<String> runShutdown(GracefulShutdown shutdown, long establishedUntil, long connectedUntil) {
        return runShutdown(shutdown, 0, establishedUntil, connectedUntil);
    }

    private static List<String> runShutdown(GracefulShutdown shutdown, long unansweredUntil, long establishedUntil,
            long connectedUntil) {
        List<String> steps = new ArrayList<>();
        Step previous = Step.SERVE;
        for (long atMs = 0; previous != Step.LEAVE; atMs += 20) {
            Step step = shutdown.next(SIGTERM_AT + atMs * MICROS_PER_MS, atMs < unansweredUntil ? 1 : 0,
                    atMs < establishedUntil ? 1 : 0, atMs < connectedUntil ? 1 : 0);
            if (step != previous) {
                steps.add(step + " " + atMs);
            }
            previous = step;
        }
        return steps;
    }

    @Test
    void servesConnectionsAndRequestsForAsLongAsTheyMayArrive() {
        assertEquals(List.of("STOP_LISTENING 500", "SERVE 520", "HAND_OVER 700", "LEAVE 720"),
                runShutdown(withMaxDeadline(9_000), 0, 0));
    }

    @Test
    void exitsOnlyAfterCallersHaveClosedTheirConnections() {
        assertEquals(List.of("STOP_LISTENING 500", "SERVE 520", "HAND_OVER 700", "CLOSE_IDLE 720", "LEAVE 2500"),
                runShutdown(withMaxDeadline(9_000), 0, 2_500));
    }

    /** A caller over UDP holds no connection but still waits for its answer. */
    @Test
    void waitsForUnansweredCallsOfCallersWithoutConnection() {
        assertEquals(List.of("STOP_LISTENING 500", "SERVE 520", "HAND_OVER 2000", "LEAVE 2020"),
                runShutdown(withMaxDeadline(9_000), 2_000, 0, 0));
    }

    @Test
    void keepsServingEstablishedCallsForTheGracePeriod() {
        assertEquals(List.of("STOP_LISTENING 500", "SERVE 520", "CLOSE_UNUSED 700", "HAND_OVER 1700",
                "CLOSE_IDLE 1720", "LEAVE 2000"), runShutdown(withMaxDeadline(9_000), 10_000, 2_000));
    }

    /** With short call deadlines SIGKILL comes early, and every wait is limited to the time left. */
    @Test
    void shortensEachStepForShortDeadlines() {
        assertEquals(List.of("STOP_LISTENING 300", "SERVE 320", "HAND_OVER 500", "CLOSE_IDLE 520", "LEAVE 700"),
                runShutdown(withMaxDeadline(100), 10_000, 10_000));
        assertEquals(List.of("STOP_LISTENING 500", "SERVE 520", "HAND_OVER 700", "CLOSE_IDLE 720", "LEAVE 900"),
                runShutdown(withMaxDeadline(300), 10_000, 10_000));
        assertEquals(List.of("STOP_LISTENING 500", "SERVE 520", "CLOSE_UNUSED 700", "HAND_OVER 1200",
                "CLOSE_IDLE 1220", "LEAVE 1600"), runShutdown(withMaxDeadline(1_000), 10_000, 10_000));
    }

    @Test
    void answersAllCallsAndExitsBeforeSigkillForAnyDeadline() {
        for (long deadline : new long[] {100, 300, 400, 1_000, 1_500, 3_000, 4_630, 9_000}) {
            long killMs = Math.min(3_000, deadline) + 700;
            GracefulShutdown shutdown = withMaxDeadline(deadline);
            assertTrue(shutdown.answerDeadline() < SIGTERM_AT + (killMs - 200) * MICROS_PER_MS,
                    () -> "deadline " + deadline);
            List<String> steps = runShutdown(shutdown, 10_000, 10_000);
            assertEquals("LEAVE " + (killMs - 100), steps.get(steps.size() - 1));
        }
    }
}
