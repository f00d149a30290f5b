package wingspread.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import wingspread.control.ExchangeLiveness.Step;

/** Tests the failure detector of one exchange on a simulated clock. */
class ExchangeLivenessTest {
    private static final long START = 1_000_000_000;
    /** The protocol's limit for notifying callers of the end of their call: 'within 8 s of its end'. */
    private static final long NOTIFICATION_LIMIT_MICROS = 8_000_000;

    /** Carries out the steps until the exchange is down, and returns that time, or -1 if it is not by {@code until}. */
    private static long downAt(ExchangeLiveness liveness, long from, long until, long lateBy) {
        for (long now = from; now <= until; now = Math.max(now + 1_000, liveness.nextStepAt(now) + lateBy)) {
            Step step = liveness.nextStep(now);
            if (step == Step.DOWN) {
                return now;
            }
            if (step == Step.CHECK) {
                liveness.checkStarted(now);
            }
        }
        return -1;
    }

    /** Holds however long after its last message the exchange fails, and even if a slow core delays each step. */
    @Property(tries = 200, seed = "20")
    void detectsFailedExchangeInTimeToNotifyCallers(@ForAll @LongRange(min = 0, max = 150_000) long lateBy) {
        long down = downAt(new ExchangeLiveness(START), START, START + 20_000_000, lateBy);
        assertTrue(down >= START + ExchangeLiveness.DOWN_AFTER_MICROS, "down after " + (down - START));
        assertTrue(down <= START + NOTIFICATION_LIMIT_MICROS, "down after " + (down - START));
    }

    @Property(tries = 200, seed = "21")
    void doesNotReportExchangeDownThatAnswersChecks(@ForAll @LongRange(min = 0, max = 1_000_000) long answerTakes) {
        ExchangeLiveness liveness = new ExchangeLiveness(START);
        for (long now = START; now < START + 60_000_000; now = Math.max(now + 1_000, liveness.nextStepAt(now))) {
            assertFalse(liveness.nextStep(now) == Step.DOWN);
            if (liveness.nextStep(now) == Step.CHECK) {
                liveness.checkStarted(now);
                liveness.messageReceived(now + answerTakes);
                now += answerTakes;
            }
        }
    }

    @Test
    void toleratesPartitionOfSixSeconds() {
        ExchangeLiveness liveness = new ExchangeLiveness(START);
        assertEquals(-1, downAt(liveness, START, START + 7_000_000, 0));
        liveness.messageReceived(START + 7_000_000);
        assertEquals(Step.WAIT, liveness.nextStep(START + 7_500_000));
    }

    /** A host that did not run for some time must not conclude from its own pause that the exchange is down. */
    @Test
    void doesNotReportDownWithoutTimedOutChecks() {
        ExchangeLiveness liveness = new ExchangeLiveness(START);
        assertEquals(Step.CHECK, liveness.nextStep(START + 30_000_000));
        for (int i = 0; i < 20; i++) {
            liveness.checkSkipped(START + 30_000_000 + i * ExchangeLiveness.CHECK_INTERVAL_MICROS);
            assertFalse(liveness.nextStep(START + 40_000_000) == Step.DOWN);
        }
        long later = START + 50_000_000;
        for (int i = 0; i < ExchangeLiveness.MIN_CHECKS; i++) {
            liveness.checkStarted(later);
        }
        assertFalse(liveness.nextStep(later + ExchangeLiveness.CHECK_TIMEOUT_MICROS - 1) == Step.DOWN);
        assertEquals(Step.DOWN, liveness.nextStep(later + ExchangeLiveness.CHECK_TIMEOUT_MICROS));
    }

    @Test
    void checksSoonerDuringShutdown() {
        ExchangeLiveness liveness = new ExchangeLiveness(START);
        assertEquals(Step.WAIT, liveness.nextStep(START + 300_000));
        liveness.beginShutdown();
        assertEquals(Step.CHECK, liveness.nextStep(START + 300_000));
        assertFalse(liveness.isUnresponsive(START + 300_000));
        liveness.checkStarted(START + 300_000);
        assertFalse(liveness.isUnresponsive(START + 599_999));
        assertTrue(liveness.isUnresponsive(START + 600_000));
        liveness.messageReceived(START + 710_000);
        assertFalse(liveness.isUnresponsive(START + 800_000));
    }
}
