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
import wingspread.storm.StormGate.TurnedAway;
import wingspread.storm.StormGate.Verdict;

/** The gate turns away redials in a storm, and nobody else. */
class StormGateTest {
    private static final long SECOND = 1_000_000;

    private final List<String> lines = new ArrayList<>();
    private final StormGate gate = new StormGate(StormFigures.USUAL, new SplittableRandom(1), lines::add);
    private final List<Verdict> again = new ArrayList<>();

    /** Tries toward one destination; so many of the first tries a second get through. */
    private void calls(long from, long to, int destination, double firstTries, double redials, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (long at = from * SECOND; at < to * SECOND; at += 1_000) {
            if (random.nextDouble() < firstTries / 1_000) {
                assertEquals(new Pass(), gate.offered(at, destination, false));
                gate.gotThrough(at, destination);
            }
            if (random.nextDouble() < redials / 1_000) {
                again.add(gate.offered(at, destination, true));
            }
        }
        gate.look(to * SECOND);
    }

    private long turnedAway() {
        return again.stream().filter(TurnedAway.class::isInstance).count();
    }

    @Property(tries = 30, seed = "91")
    void aCrowdLosesNobody(@ForAll long seed) {
        StormGateTest test = new StormGateTest();
        test.calls(0, 10, 1, 20, 1, seed);
        test.calls(10, 20, 1, 300, 20, seed + 1);
        assertEquals(0, test.turnedAway());
        assertEquals(List.of(), test.lines);
    }

    @Property(tries = 30, seed = "92")
    void aStormIsHeldToItsBudgetAndWaitsLieWithinTheLongest(@ForAll long seed) {
        StormGateTest test = new StormGateTest();
        test.calls(0, 10, 1, 40, 2, seed);
        test.again.clear();
        test.calls(10, 20, 1, 40, 200, seed + 1);
        long let = test.again.size() - test.turnedAway();
        // A share of 0.2 of 40 first tries, a floor of 0.5, ten seconds; and what went before the storm was seen.
        assertTrue(let < 85 + 10 + 60, let + " of " + test.again.size() + " let through");
        assertTrue(test.again.stream().allMatch(v -> !(v instanceof TurnedAway away)
                || away.advised() >= 1 && away.advised() <= StormFigures.USUAL.longestWait()));
        assertEquals(1, test.lines.size(), test.lines::toString);
    }

    @Test
    void oneDestinationsStormTouchesNoOther() {
        calls(0, 10, 1, 10, 200, 3);
        assertTrue(turnedAway() > 0);
        again.clear();
        calls(10, 11, 2, 40, 4, 4);
        assertEquals(0, turnedAway());
    }

    @Test
    void aStormThatIsOverIsSaidAndTurnsNobodyAway() {
        calls(0, 5, 1, 10, 200, 5);
        for (long at = 5 * SECOND; at < 40 * SECOND; at += SECOND) {
            gate.look(at);
        }
        assertEquals(2, lines.size(), lines::toString);
        assertTrue(lines.get(0).startsWith("storm toward exchange 1 begins: "), lines.get(0));
        assertTrue(lines.get(1).startsWith("storm toward exchange 1 ends: "), lines.get(1));
        assertEquals(new Pass(), gate.offered(41 * SECOND, 1, true));
    }

    @Test
    void whatIsKnownIsBounded() {
        for (int destination = 0; destination < 5_000; destination++) {
            gate.offered(destination, destination, true);
        }
        assertEquals(StormFigures.USUAL.mostKeys(), gate.known());
    }
}
