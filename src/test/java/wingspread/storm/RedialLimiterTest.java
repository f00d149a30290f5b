package wingspread.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import wingspread.storm.RedialHistory.Classification;

/** Tests the redial limiters, the ramp, the history of called numbers, and the pacing of connections. */
class RedialLimiterTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long WINDOW_MICROS = 2 * SECOND_MICROS;
    private static final StormParameters.Damping DAMPING = StormParameters.DEFAULTS.damping();

    private static FairBudget budget(double... classValues) {
        return new FairBudget(0, DAMPING, WINDOW_MICROS, classValues);
    }

    @Property(tries = 100, seed = "83")
    void budgetAdmitsRedialsInProportionToEstablishedFreshCalls(@ForAll long seed,
            @ForAll @IntRange(min = 1, max = 200) int maxOffered) {
        SplittableRandom random = new SplittableRandom(seed);
        FairBudget budget = budget(1, 3, 1);
        int established = 0;
        int admitted = 0;
        for (long at = 0; at < 20 * SECOND_MICROS; at += 10_000) {
            if (random.nextDouble() < 0.3) {
                established++;
                budget.onCallEstablished(at, false);
            }
            for (int i = 0; i < random.nextInt(maxOffered); i++) {
                admitted += budget.tryAcquire(at, random.nextInt(3), 1) ? 1 : 0;
            }
            assertTrue(budget.totalBalance() >= 0 && budget.totalBalance() <= DAMPING.maxBudget() + 1e-9);
        }
        assertTrue(admitted <= 1 + DAMPING.budgetShare() * established + DAMPING.budgetFloor() * 20,
                admitted + " redials admitted, fresh calls established: " + established);
        assertTrue(admitted >= (maxOffered == 1 ? 0 : DAMPING.budgetShare() * established - DAMPING.maxBudget()),
                "fewer redials admitted than the budget covers");
    }

    @Test
    void budgetProbesDestinationWithoutEstablishedCalls() {
        FairBudget budget = budget(1);
        int admitted = 0;
        for (long at = 0; at < 20 * SECOND_MICROS; at += 100_000) {
            admitted += budget.tryAcquire(at, 0, 1) ? 1 : 0;
        }
        assertEquals(1 + 20 * DAMPING.budgetFloor(), admitted, 1);
    }

    @Property(tries = 30, seed = "86")
    void budgetProtectsClassWithFewRedialsFromClassWithMany(@ForAll long seed) {
        FairBudget budget = budget(1, 3);
        int[] admitted = new int[2];
        SplittableRandom random = new SplittableRandom(seed);
        for (long at = 0; at < 60 * SECOND_MICROS; at += 10_000) {
            budget.onCallEstablished(at, false);
            for (int i = 0; i < 20; i++) {
                admitted[0] += budget.tryAcquire(at, 0, 1) ? 1 : 0;
            }
            admitted[1] += random.nextDouble() < 0.5 && budget.tryAcquire(at, 1, 1) ? 1 : 0;
        }
        assertEquals(0.75, admitted[1] / (double) (admitted[0] + admitted[1]), 0.05,
                admitted[0] + " and " + admitted[1]);
    }

    @Property(tries = 30, seed = "87")
    void budgetUnusedByOneClassIsAvailableToAnother(@ForAll long seed) {
        FairBudget budget = budget(1, 3);
        int[] admitted = new int[2];
        int offeredByClass1 = 0;
        SplittableRandom random = new SplittableRandom(seed);
        for (long at = 0; at < 60 * SECOND_MICROS; at += 10_000) {
            budget.onCallEstablished(at, false);
            admitted[0] += budget.tryAcquire(at, 0, 1) ? 1 : 0;
            if (random.nextDouble() < 0.02) {
                offeredByClass1++;
                admitted[1] += budget.tryAcquire(at, 1, 1) ? 1 : 0;
            }
        }
        double refilled = DAMPING.budgetShare() * 6_000 + DAMPING.budgetFloor() * 60;
        assertTrue(admitted[1] > 0.95 * offeredByClass1, admitted[1] + " of " + offeredByClass1);
        assertEquals(refilled, admitted[0] + admitted[1], DAMPING.maxBudget() + 2);
    }

    @Test
    void establishedRedialsAddNothingToBudget() {
        FairBudget budget = budget(1);
        for (int i = 0; i < 100; i++) {
            budget.onCallEstablished(0, true);
        }
        assertEquals(1, budget.totalBalance(), 1e-9);
    }

    @Test
    void wideCallIsChargedItsWidth() {
        FairBudget budget = budget(1);
        for (int i = 0; i < 100; i++) {
            budget.onCallEstablished(0, false);
        }
        assertTrue(budget.tryAcquire(0, 0, 6));
        assertEquals(DAMPING.maxBudget() - 6, budget.totalBalance(), 1e-9);
        assertTrue(!budget.tryAcquire(0, 0, 6));
        assertEquals(DAMPING.maxBudget() - 6, budget.totalBalance(), 1e-9);
    }

    @Property(tries = 30, seed = "88")
    void throttleAdmitsMultipleOfEstablishedCalls(@ForAll long seed) {
        AdaptiveThrottle throttle = new AdaptiveThrottle(0, DAMPING, WINDOW_MICROS, new SplittableRandom(seed));
        int admitted = 0;
        for (long at = 0; at < 60 * SECOND_MICROS; at += 10_000) {
            if (at % 50_000 == 0) {
                throttle.onFreshCall(at);
                throttle.onCallEstablished(at, false);
            }
            admitted += throttle.tryAcquire(at, 0, 1) ? 1 : 0;
        }
        // Per second 20 fresh calls are established and 100 redials offered. Of these 120 calls the throttle accepts
        // 40, so that it admits each redial with a probability of about one third.
        assertEquals(60 * 100 * (1 - (120 - 40) / 121.0), admitted, 350);
    }

    @Test
    void rateGapKeepsRateOfStormOnset() {
        RateGap gap = new RateGap(0, DAMPING);
        gap.onStormBegan(0, 50);
        int admitted = 0;
        for (long at = 0; at < 60 * SECOND_MICROS; at += 10_000) {
            gap.onCallEstablished(at, false);
            admitted += gap.tryAcquire(at, 0, 1) ? 1 : 0;
        }
        assertEquals(60 * (DAMPING.budgetFloor() + DAMPING.budgetShare() * 50), admitted, 4);
    }

    @Test
    void rampGrowsLinearlyAndThenEnds() {
        Ramp shareRamp = new Ramp(DAMPING);
        assertTrue(!shareRamp.isActive(0));
        shareRamp.begin(10 * SECOND_MICROS);
        assertEquals(DAMPING.budgetShare(), shareRamp.share(10 * SECOND_MICROS), 1e-9);
        assertEquals((DAMPING.budgetShare() + DAMPING.rampShare()) / 2,
                shareRamp.share(10 * SECOND_MICROS + DAMPING.rampMicros() / 2), 1e-9);
        assertTrue(shareRamp.isActive(10 * SECOND_MICROS + DAMPING.rampMicros() - 1));
        assertTrue(!shareRamp.isActive(10 * SECOND_MICROS + DAMPING.rampMicros()));
    }

    @Test
    void historyClassifiesCallToFailedNumberAsRedialForLimitedTime() {
        RedialHistory history = new RedialHistory(StormParameters.DEFAULTS.retryPolicy());
        long redialWindow = StormParameters.DEFAULTS.retryPolicy().redialWindowMicros();
        assertEquals(Classification.NONE, history.classify(0, 5));
        history.onCallFailed(0, 5, 0);
        assertEquals(Classification.NONE, history.classify(0, 6), "call to another number");
        assertEquals(Classification.REDIAL, history.classify(redialWindow, 5));
        history.onCallFailed(redialWindow, 5, 3 * redialWindow);
        assertEquals(Classification.EARLY, history.classify(redialWindow + 1, 5));
        history.onCallFailed(redialWindow + 1, 5, 0);
        assertEquals(Classification.NONE, history.classify(2 * redialWindow + 2, 5), "after the redial window");
        assertEquals(Classification.NONE, history.classify(2 * redialWindow + 3, 5), "previous call is still pending");
        history.onCallEstablished(5);
        history.onCallEstablished(5);
        assertEquals(Classification.NONE, history.classify(2 * redialWindow + 4, 5), "after an established call");
        assertEquals(Classification.NONE, history.classify(0, 0), "no number");
    }

    @Test
    void historyEvictsLeastRecentlyUsedNumber() {
        RedialHistory history = new RedialHistory(
                new StormParameters.RetryPolicy(SECOND_MICROS, true, SECOND_MICROS, 4, 0, 3, 1));
        for (long number = 1; number <= 4; number++) {
            history.classify(0, number);
            history.onCallFailed(0, number, 0);
        }
        assertEquals(3, history.size());
        assertEquals(Classification.NONE, history.classify(1, 1));
        assertEquals(Classification.REDIAL, history.classify(1, 4));
    }

    @Property(tries = 100, seed = "89")
    void backoffStaysBelowDoublingBound(@ForAll long seed) {
        Backoff backoff = ReconnectParameters.DEFAULTS.backoff(new SplittableRandom(seed));
        long bound = ReconnectParameters.DEFAULTS.initialBackoffMicros();
        for (int i = 0; i < 10; i++) {
            long wait = backoff.next();
            assertTrue(wait >= 1 && wait <= bound, wait + " of " + bound);
            bound = Math.min(2 * bound, ReconnectParameters.DEFAULTS.maxBackoffMicros());
        }
        backoff.reset();
        assertTrue(backoff.next() <= ReconnectParameters.DEFAULTS.initialBackoffMicros());
    }

    @Test
    void fullJitterSpreadsWaitsEvenly() {
        int[] countByTenth = new int[10];
        for (int i = 0; i < 2_000; i++) {
            Backoff backoff = ReconnectParameters.DEFAULTS.backoff(new SplittableRandom(i));
            countByTenth[(int) ((backoff.next() - 1) * 10 / ReconnectParameters.DEFAULTS.initialBackoffMicros())]++;
        }
        for (int count : countByTenth) {
            assertEquals(200, count, 60);
        }
        Backoff withoutJitter = ReconnectParameters.OFF.backoff(new SplittableRandom(1));
        assertEquals(100_000, withoutJitter.next());
        assertEquals(200_000, withoutJitter.next());
    }

    @Test
    void surgeDetectorReportsBeginningAndEndOnceEach() {
        SurgeDetector detector = ReconnectParameters.DEFAULTS.surgeDetector(0);
        int changes = 0;
        for (long at = 0; at < 90 * SECOND_MICROS; at += 1_000) {
            // 20 connections per second, and after one minute 1000 per second for half a second.
            boolean inSurge = at >= 60 * SECOND_MICROS && at < 60.5 * SECOND_MICROS;
            changes += (inSurge || at % 50_000 == 0 ? detector.recordConnection(at) : detector.update(at)) ? 1 : 0;
            if (at == 60_400_000) {
                assertTrue(detector.surgeActive() && detector.perSecond(at) > 300,
                        "connections per second at 60.4 s: " + detector.perSecond(at));
                assertEquals(20, detector.baselinePerSecond(at), 2);
            }
        }
        assertEquals(2, changes);
    }

    @Property(tries = 50, seed = "90")
    void connectionsTakeTheirShareOfTheLoopAndNoMore(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LoopBudget budget = new LoopBudget(0, 0.25, 20_000, 200);
        double totalCost = 0;
        double maxCost = 0;
        long at = 0;
        while (at < 10 * SECOND_MICROS) {
            if (budget.allowsConnection(at)) {
                double cost = 100 + random.nextInt(3_000);
                maxCost = Math.max(maxCost, cost);
                totalCost += cost;
                at += (long) cost;
                budget.debit(at, cost);
            } else {
                assertTrue(budget.nextAllowedAt(at) > at);
                at = budget.nextAllowedAt(at);
                assertTrue(budget.allowsConnection(at), "no connection allowed at the announced time");
            }
        }
        assertTrue(totalCost <= 0.25 * at + 20_000 + maxCost, totalCost + " of " + at);
        assertTrue(totalCost >= 0.2 * at, totalCost + " of " + at);
        assertEquals(1_600, budget.averageCostMicros(), 700);
    }
}
