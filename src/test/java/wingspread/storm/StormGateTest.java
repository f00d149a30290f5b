package wingspread.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import wingspread.storm.StormGate.Pass;
import wingspread.storm.StormGate.Rejected;
import wingspread.storm.StormGate.Verdict;

/** Tests that the gate rejects redials during a storm, and no other calls. */
class StormGateTest {
    private static final long SECOND_MICROS = 1_000_000;

    private static final StormParameters DEFAULT_PARAMETERS = StormParameters.DEFAULTS;

    private final List<StormEvent> events = new ArrayList<>();
    private final List<Verdict> redialVerdicts = new ArrayList<>();
    private StormGate gate = gate(DEFAULT_PARAMETERS);
    private long nextNumber = 1_000_000;

    private StormGate gate(StormParameters parameters) {
        return new StormGate(0, parameters, List.of(1.0, 3.0), new SplittableRandom(1), events::add);
    }

    private Verdict offerCall(long at, int destination, long number, boolean marked) {
        return gate.decide(at, new CallOffer(destination, 0, number, marked, 1));
    }

    /** Offers a marked redial to a new number; if it passes, it fails. */
    private Verdict offerRedial(long at, int destination) {
        Verdict verdict = offerCall(at, destination, nextNumber++, true);
        if (verdict instanceof Pass pass) {
            gate.onCallFailed(at, pass.classifiedOffer());
        }
        return verdict;
    }

    /**
     * Offers fresh calls and redials toward one destination at the given rates per second, each to a number of its own.
     * Every fresh call has to pass and is established; every redial that passes fails.
     */
    private void offerCalls(long fromSecond, long toSecond, int destination, double freshPerSecond,
            double redialsPerSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (long at = fromSecond * SECOND_MICROS; at < toSecond * SECOND_MICROS; at += 1_000) {
            if (random.nextDouble() < freshPerSecond / 1_000) {
                Verdict verdict = offerCall(at, destination, nextNumber++, false);
                assertTrue(verdict instanceof Pass pass && !pass.classifiedOffer().isRedial());
                gate.onCallEstablished(at, ((Pass) verdict).classifiedOffer());
            }
            if (random.nextDouble() < redialsPerSecond / 1_000) {
                redialVerdicts.add(offerRedial(at, destination));
            }
        }
        gate.update(toSecond * SECOND_MICROS);
    }

    private long rejectedCount() {
        return redialVerdicts.stream().filter(Rejected.class::isInstance).count();
    }

    @Property(tries = 30, seed = "91")
    void flashCrowdIsNotLimited(@ForAll long seed) {
        StormGateTest test = new StormGateTest();
        test.offerCalls(0, 10, 1, 20, 1, seed);
        test.offerCalls(10, 20, 1, 300, 20, seed + 1);
        assertEquals(0, test.rejectedCount());
        assertEquals(List.of(), test.events);
    }

    @Property(tries = 30, seed = "92")
    void stormIsLimitedToBudgetWithWaitsUpToTheMaximum(@ForAll long seed) {
        StormGateTest test = new StormGateTest();
        test.offerCalls(0, 10, 1, 40, 2, seed);
        test.redialVerdicts.clear();
        test.offerCalls(10, 20, 1, 40, 200, seed + 1);
        long admitted = test.redialVerdicts.size() - test.rejectedCount();
        // A share of 0.5 of 40 fresh calls and a floor of 0.5, both per second, admit 205 redials in ten seconds. The
        // rest allows for redials that pass before the storm is detected.
        assertTrue(admitted < 205 + 10 + 100, admitted + " of " + test.redialVerdicts.size() + " redials admitted");
        assertTrue(test.redialVerdicts.stream().allMatch(v -> !(v instanceof Rejected rejection)
                || rejection.advisedWaitMicros() >= 1
                && rejection.advisedWaitMicros() <= DEFAULT_PARAMETERS.retryPolicy().maxWaitMicros()));
        assertEquals(2, test.events.size(), test.events::toString);
    }

    @Test
    void stormOfOneDestinationDoesNotLimitAnother() {
        offerCalls(0, 10, 1, 10, 200, 3);
        assertTrue(rejectedCount() > 0);
        redialVerdicts.clear();
        offerCalls(10, 11, 2, 40, 4, 4);
        assertEquals(0, rejectedCount());
    }

    private List<String> eventLines() {
        return events.stream().map(e -> e.scope() + " " + e.number() + (e.began() ? " began" : " ended")).toList();
    }

    @Test
    void notifiesOfEndOfStormAndPassesRedialsAfterTheRamp() {
        offerCalls(0, 5, 1, 10, 200, 5);
        long at = 5 * SECOND_MICROS;
        while (gate.anyStormActive()) {
            at += StormGate.UPDATE_INTERVAL_MICROS;
            gate.update(at);
        }
        assertEquals(List.of("DESTINATION 1 began", "ALL 0 began", "ALL 0 ended", "DESTINATION 1 ended"),
                eventLines());
        assertTrue(at < 20 * SECOND_MICROS, "ended at " + at);
        for (int i = 0; i < 100; i++) {
            redialVerdicts.add(offerRedial(at, 1));
        }
        assertTrue(redialVerdicts.get(redialVerdicts.size() - 1) instanceof Rejected,
                "the beginning of the ramp admits 100 redials at once");
        long afterRamp = at + DEFAULT_PARAMETERS.damping().rampMicros();
        assertTrue(offerCall(afterRamp, 1, nextNumber++, true) instanceof Pass);
    }

    @Test
    void regionalStormLimitsDestinationsBelowTheirOwnThreshold() {
        StormParameters highThreshold = new StormParameters(new StormParameters.Detection(2 * SECOND_MICROS,
                60 * SECOND_MICROS, 0.5, 0.2, 3, 0.5, 30, SECOND_MICROS),
                DEFAULT_PARAMETERS.damping(), DEFAULT_PARAMETERS.retryPolicy());
        gate = gate(highThreshold);
        for (int destination = 0; destination < 10; destination++) {
            gate.onDestinationListed(0, destination, destination < 5 ? 7 : 8);
        }
        SplittableRandom random = new SplittableRandom(3);
        for (long at = 0; at < 10 * SECOND_MICROS; at += 10_000) {
            redialVerdicts.add(offerRedial(at, random.nextInt(5)));
            assertTrue(offerCall(at, 5 + random.nextInt(5), nextNumber++, false) instanceof Pass);
            assertTrue(offerCall(at, 5 + random.nextInt(5), nextNumber++, false) instanceof Pass);
        }
        assertEquals(List.of("REGION 7 began"),
                eventLines().stream().filter(line -> line.startsWith("REGION")).toList());
        assertTrue(eventLines().stream().noneMatch(line -> line.startsWith("DESTINATION")), eventLines()::toString);
        assertTrue(rejectedCount() > 500, rejectedCount() + " of " + redialVerdicts.size());
    }

    @Test
    void recoveredCircuitsAreLoadedAlongRamp() {
        StormParameters.Damping defaults = DEFAULT_PARAMETERS.damping();
        gate = gate(new StormParameters(DEFAULT_PARAMETERS.detection(), new StormParameters.Damping(defaults.method(),
                0.05, 0.5, 2, 3 * SECOND_MICROS, 1.5, 2, 0.1), DEFAULT_PARAMETERS.retryPolicy()));
        gate.onCircuitsReported(0, 1, 20);
        gate.onCircuitsReported(SECOND_MICROS, 1, 10);
        gate.onCircuitsReported(2 * SECOND_MICROS, 1, 20);
        int[] admitted = new int[4];
        for (long at = 2 * SECOND_MICROS; at < 6 * SECOND_MICROS; at += 50_000) {
            Verdict freshVerdict = offerCall(at, 1, nextNumber++, false);
            gate.onCallEstablished(at, ((Pass) freshVerdict).classifiedOffer());
            // As many more calls, half of them marked as redials: too few for a storm.
            Verdict other = at % 100_000 == 0 ? offerRedial(at, 1) : offerCall(at, 1, nextNumber++, false);
            admitted[(int) (at / SECOND_MICROS) - 2] += other instanceof Pass ? 1 : 0;
        }
        assertTrue(admitted[0] < 20, admitted[0] + " of 20 calls admitted in the first second");
        assertEquals(20, admitted[3], "after the ramp");
        gate.onCircuitsReported(7 * SECOND_MICROS, 1, 21);
        assertTrue(offerCall(7 * SECOND_MICROS, 1, nextNumber++, true) instanceof Pass,
                "one more circuit is not a recovery");
        assertEquals(List.of(), events);
    }

    @Test
    void earlyRedialKeepsItsRetryTime() {
        offerCalls(0, 5, 1, 10, 200, 6);
        long at = 5 * SECOND_MICROS;
        Verdict verdict = offerRedial(at, 1);
        while (verdict instanceof Pass) {
            verdict = offerRedial(at, 1);
        }
        long number = nextNumber - 1;
        long retryAt = at + ((Rejected) verdict).advisedWaitMicros();
        assertTrue(retryAt > at + 2 * DEFAULT_PARAMETERS.retryPolicy().earlyToleranceMicros(), "retry time " + retryAt);
        Rejected earlyVerdict = (Rejected) offerCall(at + 50_000, 1, number, true);
        assertEquals(new Rejected(retryAt - at - 50_000, StormGate.Reason.EARLY), earlyVerdict);
    }

    @Test
    void recognisesUnmarkedRedialsByTheirNumber() {
        long number = 1;
        for (long at = 0; at < 10 * SECOND_MICROS; at += 50_000) {
            for (int repeat = 0; repeat < 3; repeat++) {
                Verdict verdict = offerCall(at + repeat * 10_000, 1, number, false);
                if (verdict instanceof Pass pass) {
                    assertEquals(repeat > 0, pass.classifiedOffer().isRedial());
                    gate.onCallFailed(at + repeat * 10_000, pass.classifiedOffer());
                } else {
                    redialVerdicts.add(verdict);
                }
            }
            number++;
        }
        assertTrue(rejectedCount() > 100, rejectedCount() + " rejected");
        assertEquals(List.of("DESTINATION 1 began", "ALL 0 began"), eventLines());
    }

    @Property(tries = 20, seed = "93")
    void failingCallsOfManyCallersToOneNumberAreNoStorm(@ForAll long seed) {
        StormGateTest test = new StormGateTest();
        SplittableRandom random = new SplittableRandom(seed);
        for (long at = 0; at < 20 * SECOND_MICROS; at += 1_000) {
            if (random.nextDouble() < 0.02) {
                test.gate.onCallEstablished(at,
                        ((Pass) test.offerCall(at, 1, test.nextNumber++, false)).classifiedOffer());
            }
            if (random.nextDouble() < 0.1 && at > 5 * SECOND_MICROS) {
                Verdict verdict = test.offerCall(at, 1, 1 + random.nextInt(3), false);
                test.gate.onCallFailed(at, ((Pass) verdict).classifiedOffer());
            }
        }
        assertEquals(List.of(), test.events);
    }

    @Test
    void refusalsInStormAreSpreadAndNeverShorterThanTheAdvisedWait() {
        CallOffer freshCall = new CallOffer(1, 0, 0, false, 1);
        assertEquals(0, gate.onCallRefused(0, freshCall, 0));
        offerCalls(0, 5, 1, 10, 200, 6);
        int beyondOneSecond = 0;
        for (int i = 0; i < 100; i++) {
            long wait = gate.onCallRefused(5 * SECOND_MICROS, freshCall, 1_000);
            assertTrue(wait >= 1_000 && wait <= DEFAULT_PARAMETERS.retryPolicy().maxWaitMicros());
            beyondOneSecond += wait > SECOND_MICROS ? 1 : 0;
        }
        assertTrue(beyondOneSecond > 50, beyondOneSecond + " of 100 waits are longer than one second");
    }

    @Property(tries = 30, seed = "94")
    void redialsAreNotLimitedWhileTheyAreEstablished(@ForAll long seed) {
        StormGateTest test = new StormGateTest();
        SplittableRandom random = new SplittableRandom(seed);
        // After a restart of the process all callers redial at once, and all calls are established.
        for (long at = 0; at < 10 * SECOND_MICROS; at += 1_000) {
            if (random.nextDouble() < 0.1) {
                Verdict verdict = test.offerCall(at, 1, test.nextNumber++, true);
                test.gate.onCallEstablished(at + 50_000, ((Pass) verdict).classifiedOffer());
            }
        }
        assertEquals(2, test.events.size(), test.events::toString);
    }

    @Property(tries = 20, seed = "95")
    void detectsStormWithinFlashCrowdAndPassesAllFreshCalls(@ForAll long seed) {
        StormGateTest test = new StormGateTest();
        test.offerCalls(0, 20, 1, 20, 1, seed);
        test.offerCalls(20, 30, 1, 200, 10, seed + 1);
        assertEquals(List.of(), test.events);
        // offerCalls asserts that every fresh call passes.
        test.offerCalls(30, 40, 1, 200, 300, seed + 2);
        assertTrue(test.eventLines().contains("DESTINATION 1 began"), test.eventLines()::toString);
        assertTrue(test.rejectedCount() > 1_000, test.rejectedCount() + " of " + test.redialVerdicts.size());
    }

    @Test
    void overlappingStormsBeginAndEndIndependently() {
        for (int second = 0; second < 60; second++) {
            offerCalls(second, second + 1, 1, 40, second >= 20 && second < 30 ? 150 : 2, second);
            offerCalls(second, second + 1, 2, 40, second >= 25 && second < 40 ? 150 : 2, 100 + second);
        }
        assertEquals(List.of("DESTINATION 1 began", "DESTINATION 2 began", "DESTINATION 1 ended",
                "DESTINATION 2 ended"),
                eventLines().stream().filter(line -> line.startsWith("DESTINATION")).toList());
    }

    @Test
    void clockStepOfAnHourKeepsWaitsWithinBounds() {
        long hour = 3_600 * SECOND_MICROS;
        offerCalls(7_200, 7_205, 1, 10, 200, 8);
        for (long at : List.of(7_205 * SECOND_MICROS - hour, 7_206 * SECOND_MICROS, 7_206 * SECOND_MICROS + hour)) {
            redialVerdicts.clear();
            for (int i = 0; i < 50; i++) {
                // Redials to numbers of the previous round as well, which may count as early.
                redialVerdicts.add(offerRedial(at + i, 1));
                redialVerdicts.add(offerCall(at + i, 1, nextNumber - 60, true));
            }
            assertTrue(rejectedCount() > 0, "at " + at);
            assertTrue(redialVerdicts.stream().allMatch(v -> !(v instanceof Rejected rejection)
                    || rejection.advisedWaitMicros() >= 1
                    && rejection.advisedWaitMicros() <= DEFAULT_PARAMETERS.retryPolicy().maxWaitMicros()), "at " + at);
        }
        for (int second = 0; second < 30; second++) {
            gate.update((7_206 + second) * SECOND_MICROS + hour);
        }
        assertTrue(!gate.anyStormActive(), "storm is still active after 30 s");
    }

    @Test
    void spreadMethodRejectsNoCalls() {
        gate = gate(DEFAULT_PARAMETERS.withMethod(StormParameters.Method.SPREAD));
        offerCalls(0, 5, 1, 10, 200, 6);
        assertEquals(0, rejectedCount());
        assertTrue(gate.onCallRefused(5 * SECOND_MICROS, new CallOffer(1, 0, 0, false, 1), 0) > 0);
    }

    @Test
    void boundsNumberOfTrackedDestinations() {
        for (int destination = 0; destination < 5_000; destination++) {
            offerCall(destination, destination, destination, true);
            gate.onDestinationListed(destination, destination, destination);
        }
        assertEquals(DEFAULT_PARAMETERS.retryPolicy().maxDestinations(), gate.destinationCount());
    }

    /** Guards against counting the storm of an evicted destination as active forever. */
    @Test
    void evictedDestinationLeavesNoActiveStorm() {
        offerCalls(0, 5, 1, 10, 200, 5);
        assertTrue(gate.anyStormActive());
        for (int destination = 2; destination < 2 + DEFAULT_PARAMETERS.retryPolicy().maxDestinations(); destination++) {
            offerCall(5 * SECOND_MICROS, destination, 0, false);
        }
        for (int second = 5; second < 60; second++) {
            gate.update(second * SECOND_MICROS);
        }
        assertTrue(!gate.anyStormActive(), eventLines()::toString);
    }
}
