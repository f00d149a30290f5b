package wingspread.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wingspread.core.PlannedEnd.Step;

class PlannedEndTest {
    private static final long MS = 1_000;
    private static final long TERM = 1_000_000_000;

    private static PlannedEnd end(long longestDeadline) {
        return new PlannedEnd(TERM, longestDeadline * MS);
    }

    /**
     * Looks every 20 ms until the program leaves, in milliseconds after SIGTERM; calls stand until a time, and callers
     * hold a connection until another. Each change of step is noted with its time.
     */
    private static List<String> play(PlannedEnd end, long standingUntil, long connectedUntil) {
        return play(end, 0, standingUntil, connectedUntil);
    }

    private static List<String> play(PlannedEnd end, long unansweredUntil, long standingUntil, long connectedUntil) {
        List<String> out = new ArrayList<>();
        Step before = Step.SERVE;
        for (long at = 0; before != Step.LEAVE; at += 20) {
            Step step = end.next(TERM + at * MS, at < unansweredUntil ? 1 : 0, at < standingUntil ? 1 : 0,
                    at < connectedUntil ? 1 : 0);
            if (step != before) {
                out.add(step + " " + at);
            }
            before = step;
        }
        return out;
    }

    @Test
    void connectionsAndTheirRequestsAreTakenForAsLongAsThePlatformSendsThem() {
        assertEquals(List.of("STOP_LISTENING 500", "SERVE 520", "HAND_OVER 700", "LEAVE 720"), play(end(9_000), 0, 0));
    }

    @Test
    void whileCallersHoldConnectionsTheyAreServedAndNobodyLeaves() {
        assertEquals(List.of("STOP_LISTENING 500", "SERVE 520", "HAND_OVER 700", "CLOSE_IDLE 720", "LEAVE 2500"),
                play(end(9_000), 0, 2_500));
    }

    /** A caller over UDP holds no connection and is owed its answer all the same. */
    @Test
    void withoutAConnectionAnswersAreOwedToo() {
        assertEquals(List.of("STOP_LISTENING 500", "SERVE 520", "HAND_OVER 2000", "LEAVE 2020"),
                play(end(9_000), 2_000, 0, 0));
    }

    @Test
    void whatStandsRunsOnForAWhile() {
        assertEquals(List.of("STOP_LISTENING 500", "SERVE 520", "CLOSE_UNUSED 700", "HAND_OVER 1700",
                "CLOSE_IDLE 1720", "LEAVE 2000"), play(end(9_000), 10_000, 2_000));
    }

    /** With short deadlines SIGKILL comes soon, and every wait is cut to what is left. */
    @Test
    void withShortDeadlinesEachStepComesSooner() {
        assertEquals(List.of("STOP_LISTENING 300", "SERVE 320", "HAND_OVER 500", "CLOSE_IDLE 520", "LEAVE 700"),
                play(end(100), 10_000, 10_000));
        assertEquals(List.of("STOP_LISTENING 500", "SERVE 520", "HAND_OVER 700", "CLOSE_IDLE 720", "LEAVE 900"),
                play(end(300), 10_000, 10_000));
        assertEquals(List.of("STOP_LISTENING 500", "SERVE 520", "CLOSE_UNUSED 700", "HAND_OVER 1200",
                "CLOSE_IDLE 1220", "LEAVE 1600"), play(end(1_000), 10_000, 10_000));
    }

    @Test
    void allIsAnsweredAndLeftBeforeSigkillWhateverTheDeadlines() {
        for (long deadline : new long[] {100, 300, 400, 1_000, 1_500, 3_000, 4_630, 9_000}) {
            long kill = Math.min(3_000, deadline) + 700;
            PlannedEnd end = end(deadline);
            assertTrue(end.lastAnswer() < TERM + (kill - 200) * MS, () -> "deadline " + deadline);
            List<String> steps = play(end, 10_000, 10_000);
            assertEquals("LEAVE " + (kill - 100), steps.get(steps.size() - 1));
        }
    }
}
