package wingspread.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import wingspread.storm.NumberMemory.Sign;

/** What each way of holding redials back lets through, and what is remembered of numbers and connections. */
class DamperTest {
    private static final long SECOND = 1_000_000;
    private static final long WINDOW = 2 * SECOND;
    private static final StormFigures.Damping FIGURES = StormFigures.USUAL.damping();

    private static FairBudget budget(double... worth) {
        return new FairBudget(0, FIGURES, WINDOW, worth);
    }

    @Property(tries = 100, seed = "83")
    void redialsStayInProportionToWhatGetsThrough(@ForAll long seed, @ForAll @IntRange(min = 1, max = 200) int asked) {
        SplittableRandom random = new SplittableRandom(seed);
        FairBudget budget = budget(1, 3, 1);
        int through = 0;
        int let = 0;
        for (long at = 0; at < 20 * SECOND; at += 10_000) {
            if (random.nextDouble() < 0.3) {
                through++;
                budget.gotThrough(at, false);
            }
            for (int i = 0; i < random.nextInt(asked); i++) {
                let += budget.lets(at, random.nextInt(3), 1) ? 1 : 0;
            }
            assertTrue(budget.balance() >= 0 && budget.balance() <= FIGURES.budgetMost() + 1e-9);
        }
        assertTrue(let <= 1 + FIGURES.budgetShare() * through + FIGURES.budgetFloor() * 20, let + " of " + through);
        assertTrue(let >= (asked == 1 ? 0 : FIGURES.budgetShare() * through - FIGURES.budgetMost()), "starved");
    }

    @Test
    void aDestinationWhereNothingGetsThroughIsTriedStill() {
        FairBudget budget = budget(1);
        int let = 0;
        for (long at = 0; at < 20 * SECOND; at += 100_000) {
            let += budget.lets(at, 0, 1) ? 1 : 0;
        }
        assertEquals(1 + 20 * FIGURES.budgetFloor(), let, 1);
    }

    @Property(tries = 30, seed = "86")
    void aLoudClassDoesNotStarveAQuietOne(@ForAll long seed) {
        FairBudget budget = budget(1, 3);
        int[] let = new int[2];
        SplittableRandom random = new SplittableRandom(seed);
        for (long at = 0; at < 60 * SECOND; at += 10_000) {
            budget.gotThrough(at, false);
            for (int i = 0; i < 20; i++) {
                let[0] += budget.lets(at, 0, 1) ? 1 : 0;
            }
            let[1] += random.nextDouble() < 0.5 && budget.lets(at, 1, 1) ? 1 : 0;
        }
        assertEquals(0.75, let[1] / (double) (let[0] + let[1]), 0.05, let[0] + " and " + let[1]);
    }

    @Property(tries = 30, seed = "87")
    void whatAQuietClassDoesNotAskForTheLoudOneGets(@ForAll long seed) {
        FairBudget budget = budget(1, 3);
        int[] let = new int[2];
        int quietAsked = 0;
        SplittableRandom random = new SplittableRandom(seed);
        for (long at = 0; at < 60 * SECOND; at += 10_000) {
            budget.gotThrough(at, false);
            let[0] += budget.lets(at, 0, 1) ? 1 : 0;
            if (random.nextDouble() < 0.02) {
                quietAsked++;
                let[1] += budget.lets(at, 1, 1) ? 1 : 0;
            }
        }
        double paid = FIGURES.budgetShare() * 6_000 + FIGURES.budgetFloor() * 60;
        assertTrue(let[1] > 0.95 * quietAsked, let[1] + " of " + quietAsked);
        assertEquals(paid, let[0] + let[1], FIGURES.budgetMost() + 2);
    }

    @Test
    void aRedialThatGotThroughPaysForNoOther() {
        FairBudget budget = budget(1);
        for (int i = 0; i < 100; i++) {
            budget.gotThrough(0, true);
        }
        assertEquals(1, budget.balance(), 1e-9);
    }

    @Test
    void aWideCallTakesItsWidth() {
        FairBudget budget = budget(1);
        for (int i = 0; i < 100; i++) {
            budget.gotThrough(0, false);
        }
        assertTrue(budget.lets(0, 0, 6));
        assertEquals(FIGURES.budgetMost() - 6, budget.balance(), 1e-9);
        assertTrue(!budget.lets(0, 0, 6));
        assertEquals(FIGURES.budgetMost() - 6, budget.balance(), 1e-9);
    }

    @Property(tries = 30, seed = "88")
    void theThrottleLetsAMultipleOfWhatGetsThrough(@ForAll long seed) {
        AdaptiveThrottle throttle = new AdaptiveThrottle(0, FIGURES, WINDOW, new SplittableRandom(seed));
        int let = 0;
        for (long at = 0; at < 60 * SECOND; at += 10_000) {
            if (at % 50_000 == 0) {
                throttle.firstTry(at);
                throttle.gotThrough(at, false);
            }
            let += throttle.lets(at, 0, 1) ? 1 : 0;
        }
        // 20 first tries a second get through, 100 redials ask: of the 120 tries 40 may pass, each redial by a third.
        assertEquals(60 * 100 * (1 - (120 - 40) / 121.0), let, 350);
    }

    @Test
    void theGapKeepsItsRateWhateverGetsThroughLater() {
        RateGap gap = new RateGap(0, FIGURES);
        gap.began(0, 50);
        int let = 0;
        for (long at = 0; at < 60 * SECOND; at += 10_000) {
            gap.gotThrough(at, false);
            let += gap.lets(at, 0, 1) ? 1 : 0;
        }
        assertEquals(60 * (FIGURES.budgetFloor() + FIGURES.budgetShare() * 50), let, 4);
    }

    @Test
    void theRampGrowsEvenlyAndThenIsOver() {
        Ramp ramp = new Ramp(FIGURES);
        assertTrue(!ramp.on(0));
        ramp.begin(10 * SECOND);
        assertEquals(FIGURES.budgetShare(), ramp.share(10 * SECOND), 1e-9);
        assertEquals((FIGURES.budgetShare() + FIGURES.rampShare()) / 2,
                ramp.share(10 * SECOND + FIGURES.ramp() / 2), 1e-9);
        assertTrue(ramp.on(10 * SECOND + FIGURES.ramp() - 1));
        assertTrue(!ramp.on(10 * SECOND + FIGURES.ramp()));
    }

    @Test
    void aNumberThatFailedAndComesAgainDialsAgainUntilItsTimeIsOver() {
        NumberMemory memory = new NumberMemory(StormFigures.USUAL.returns());
        long time = StormFigures.USUAL.returns().redialTime();
        assertEquals(Sign.NONE, memory.tried(0, 5));
        memory.failed(0, 5, 0);
        assertEquals(Sign.NONE, memory.tried(0, 6), "another's");
        assertEquals(Sign.REDIAL, memory.tried(time, 5));
        memory.failed(time, 5, 3 * time);
        assertEquals(Sign.EARLY, memory.tried(time + 1, 5));
        memory.failed(time + 1, 5, 0);
        assertEquals(Sign.NONE, memory.tried(2 * time + 2, 5), "long after");
        assertEquals(Sign.NONE, memory.tried(2 * time + 3, 5), "while the one before is open");
        memory.stood(5);
        memory.stood(5);
        assertEquals(Sign.NONE, memory.tried(2 * time + 4, 5), "after a call that stood");
        assertEquals(Sign.NONE, memory.tried(0, 0), "no number");
    }

    @Test
    void theNumberHeardOfLongestAgoIsForgotten() {
        NumberMemory memory = new NumberMemory(new StormFigures.Returns(SECOND, true, SECOND, 4, 0, 3, 1));
        for (long number = 1; number <= 4; number++) {
            memory.tried(0, number);
            memory.failed(0, number, 0);
        }
        assertEquals(3, memory.size());
        assertEquals(Sign.NONE, memory.tried(1, 1));
        assertEquals(Sign.REDIAL, memory.tried(1, 4));
    }

    @Property(tries = 100, seed = "89")
    void waitsBeforeAReconnectLieAnywhereBelowABoundThatDoubles(@ForAll long seed) {
        Backoff backoff = ReconnectFigures.USUAL.backoff(new SplittableRandom(seed));
        long bound = ReconnectFigures.USUAL.firstBackoff();
        for (int i = 0; i < 10; i++) {
            long wait = backoff.next();
            assertTrue(wait >= 1 && wait <= bound, wait + " of " + bound);
            bound = Math.min(2 * bound, ReconnectFigures.USUAL.longestBackoff());
        }
        backoff.reset();
        assertTrue(backoff.next() <= ReconnectFigures.USUAL.firstBackoff());
    }

    @Test
    void withFullJitterManyDoNotKnockTogether() {
        int[] byTenth = new int[10];
        for (int i = 0; i < 2_000; i++) {
            Backoff backoff = ReconnectFigures.USUAL.backoff(new SplittableRandom(i));
            byTenth[(int) ((backoff.next() - 1) * 10 / ReconnectFigures.USUAL.firstBackoff())]++;
        }
        for (int tenth : byTenth) {
            assertEquals(200, tenth, 60);
        }
        Backoff steady = ReconnectFigures.OFF.backoff(new SplittableRandom(1));
        assertEquals(100_000, steady.next());
        assertEquals(200_000, steady.next());
    }

    @Test
    void aSurgeOfNewcomersIsToldOnceAndItsEndOnce() {
        SurgeDetector surges = ReconnectFigures.USUAL.surges(0);
        int changes = 0;
        for (long at = 0; at < 90 * SECOND; at += 1_000) {
            // Twenty a second, and in the second minute half a second of a thousand.
            boolean crowd = at >= 60 * SECOND && at < 60.5 * SECOND;
            changes += (crowd || at % 50_000 == 0 ? surges.arrived(at) : surges.look(at)) ? 1 : 0;
            if (at == 60_400_000) {
                assertTrue(surges.surge() && surges.perSecond(at) > 300, "seen at " + surges.perSecond(at));
                assertEquals(20, surges.usualPerSecond(at), 2);
            }
        }
        assertEquals(2, changes);
    }

    @Property(tries = 50, seed = "90")
    void newcomersTakeTheirShareOfTheLoopAndNoMore(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LoopBudget budget = new LoopBudget(0, 0.25, 20_000, 200);
        double spent = 0;
        double dearest = 0;
        long at = 0;
        while (at < 10 * SECOND) {
            if (budget.allows(at)) {
                double cost = 100 + random.nextInt(3_000);
                dearest = Math.max(dearest, cost);
                spent += cost;
                at += (long) cost;
                budget.spent(at, cost);
            } else {
                assertTrue(budget.opensAt(at) > at);
                at = budget.opensAt(at);
                assertTrue(budget.allows(at), "opens when it says");
            }
        }
        assertTrue(spent <= 0.25 * at + 20_000 + dearest, spent + " of " + at);
        assertTrue(spent >= 0.2 * at, spent + " of " + at);
        assertEquals(1_600, budget.cost(), 700);
    }
}
