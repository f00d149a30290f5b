package wingspread.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import wingspread.storm.StormDetector.Change;

/** Tests storm detection, the schedule of retry times and the checks of the parameters. */
class StormTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final StormParameters.Detection DETECTION = StormParameters.DEFAULTS.detection();

    private final List<Change> changes = new ArrayList<>();
    private long lastChangeAt;
    private final StormDetector detector = new StormDetector(0, DETECTION);

    /** Offers fresh calls and redials at the given rates per second, at random times. */
    private void offerCalls(long fromSecond, long toSecond, double freshPerSecond, double redialsPerSecond,
            long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (long at = fromSecond * SECOND_MICROS; at < toSecond * SECOND_MICROS; at += 1_000) {
            if (random.nextDouble() < freshPerSecond / 1_000) {
                recordChange(at, detector.recordCall(at, false));
            }
            if (random.nextDouble() < redialsPerSecond / 1_000) {
                recordChange(at, detector.recordCall(at, true));
            }
            recordChange(at, detector.update(at));
        }
    }

    private void recordChange(long at, Change change) {
        if (change != Change.NONE) {
            changes.add(change);
            lastChangeAt = at;
        }
    }

    @Property(tries = 50, seed = "81")
    void flashCrowdOfFreshCallsIsNoStorm(@ForAll long seed) {
        StormTest test = new StormTest();
        test.offerCalls(0, 10, 20, 1, seed);
        test.offerCalls(10, 20, 200, 12, seed + 1);
        test.offerCalls(20, 30, 20, 1, seed + 2);
        assertEquals(List.of(), test.changes);
    }

    @Property(tries = 50, seed = "82")
    void stormBeginsOnceAndEndsOnce(@ForAll long seed) {
        StormTest test = new StormTest();
        test.offerCalls(0, 10, 60, 3, seed);
        test.offerCalls(10, 20, 60, 120, seed + 1);
        assertTrue(test.detector.isActive());
        assertTrue(test.lastChangeAt < 11.5 * SECOND_MICROS, "began at " + test.lastChangeAt);
        test.offerCalls(20, 40, 60, 3, seed + 2);
        assertEquals(List.of(Change.BEGAN, Change.ENDED), test.changes);
    }

    @Test
    void fewRedialsAtLowLoadAreNoStorm() {
        offerCalls(0, 60, 0.2, 0.5, 7);
        assertEquals(List.of(), changes);
    }

    @Test
    void stormEndsWithoutFurtherCalls() {
        offerCalls(0, 5, 10, 100, 8);
        assertTrue(detector.isActive());
        for (long at = 5 * SECOND_MICROS; at < 40 * SECOND_MICROS; at += 100_000) {
            recordChange(at, detector.update(at));
        }
        assertEquals(List.of(Change.BEGAN, Change.ENDED), changes);
    }

    @Test
    void backwardClockStepChangesNothing() {
        offerCalls(0, 10, 10, 100, 9);
        double before = detector.redialsPerSecond(10 * SECOND_MICROS);
        assertEquals(before, detector.redialsPerSecond(3 * SECOND_MICROS), 1e-9);
        assertEquals(Change.NONE, detector.update(0));
        assertTrue(detector.isActive());
    }

    @Test
    void rateIsAccurateFromTheFirstSecondOn() {
        DecayingRate rate = new DecayingRate(0, 2 * SECOND_MICROS);
        for (long at = 0; at < 10 * SECOND_MICROS; at += 10_000) {
            rate.add(at, 1);
            if (at >= SECOND_MICROS) {
                assertEquals(100, rate.perSecond(at), 2);
            }
        }
    }

    @Property(tries = 50, seed = "83")
    void stormHasToExceedBaselineRatio(@ForAll long seed) {
        StormTest test = new StormTest();
        // A high baseline: two redials per five fresh calls.
        test.offerCalls(0, 60, 50, 20, seed);
        test.offerCalls(60, 70, 50, 45, seed + 1);
        assertEquals(List.of(), test.changes);
        test.offerCalls(70, 80, 50, 120, seed + 2);
        test.offerCalls(80, 100, 50, 20, seed + 3);
        assertEquals(List.of(Change.BEGAN, Change.ENDED), test.changes);
    }

    @Test
    void detectsStormThatBeganBeforeTheStart() {
        offerCalls(0, 5, 20, 60, 10);
        assertTrue(detector.isActive());
    }

    @Property(tries = 50, seed = "84")
    void rejectedCallersReturnNoFasterThanTheAvailableRate(@ForAll long seed) {
        double freePerSecond = 50;
        RetrySchedule schedule = new RetrySchedule(0, 20 * SECOND_MICROS, new SplittableRandom(seed));
        int[] countBySecond = new int[22];
        for (int i = 0; i < 500; i++) {
            countBySecond[(int) (schedule.waitFor(0, freePerSecond) / SECOND_MICROS)]++;
        }
        for (int second = 0; second < 10; second++) {
            assertEquals(freePerSecond, countBySecond[second], 2, "second " + second);
        }
    }

    @Property(tries = 50, seed = "85")
    void fullScheduleSpreadsCallersOverTheMaximumWait(@ForAll long seed) {
        RetrySchedule schedule = new RetrySchedule(0, 10 * SECOND_MICROS, new SplittableRandom(seed));
        int inLastSecond = 0;
        for (int i = 0; i < 5_000; i++) {
            long wait = schedule.waitFor(0, 10);
            assertTrue(wait >= 1 && wait <= 10 * SECOND_MICROS);
            inLastSecond += wait > 9 * SECOND_MICROS ? 1 : 0;
        }
        assertTrue(inLastSecond < 700, inLastSecond + " of 5000 callers return in the last of ten seconds");
    }

    @Test
    void rejectsInconsistentParameters() {
        assertThrows(IllegalArgumentException.class,
                () -> new StormParameters.Detection(SECOND_MICROS, 60 * SECOND_MICROS, 0.2, 0.5, 3, 0.5, 2,
                        SECOND_MICROS));
        assertThrows(IllegalArgumentException.class,
                () -> new StormParameters.Detection(SECOND_MICROS, SECOND_MICROS, 0.5, 0.2, 3, 0.5, 2, SECOND_MICROS));
        assertThrows(IllegalArgumentException.class,
                () -> new StormParameters.Damping(StormParameters.Method.BUDGET, 0.2, 0.5, 10, SECOND_MICROS, 0.1, 2,
                        0));
        assertThrows(IllegalArgumentException.class,
                () -> new StormParameters.RetryPolicy(SECOND_MICROS, true, SECOND_MICROS, 0, 0, 1, 1));
        assertFalse(new StormDetector(0, DETECTION).isActive());
    }
}
