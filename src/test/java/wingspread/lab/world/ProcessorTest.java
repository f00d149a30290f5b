package wingspread.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.junit.jupiter.api.Test;
import wingspread.lab.sim.Streams;
import wingspread.lab.sim.VirtualTime;

/** The processor against the formula of a queue with one line, and its order of work. */
class ProcessorTest {
    private static final double WORK = 10_000;

    private final VirtualTime time = new VirtualTime(0);
    private final Processor processor = new Processor(time, true, work -> { });
    private final List<String> done = new ArrayList<>();

    /** Mean time from arrival to end with Poisson arrivals at this load. */
    private static double meanStay(double load, long seed) {
        VirtualTime clock = new VirtualTime(0);
        Processor queue = new Processor(clock, true, work -> { });
        UniformRandomProvider random = new Streams(seed, 0).stream("arrivals");
        ZigguratSampler.Exponential gap = ZigguratSampler.Exponential.of(random, WORK / load);
        int jobs = 40_000;
        double[] stay = new double[1];
        double at = 0;
        for (int i = 0; i < jobs; i++) {
            at += gap.sample();
            long arrival = Math.round(at);
            clock.at(arrival, () -> queue.setUp(WORK, () -> stay[0] += clock.getAsLong() - arrival));
        }
        clock.runUntil(Long.MAX_VALUE - 1);
        return stay[0] / jobs;
    }

    @Test
    void itWaitsAsLongAsPollaczekAndKhinchinSay() {
        double load = 0.7;
        double expected = WORK + WORK * load / (2 * (1 - load));
        double mean = 0;
        double squares = 0;
        int runs = 12;
        for (int seed = 0; seed < runs; seed++) {
            double one = meanStay(load, seed);
            mean += one / runs;
            squares += one * one / runs;
        }
        double error = Math.sqrt((squares - mean * mean) / (runs - 1));
        // Two-sided 99% of Student's t with 11 degrees of freedom.
        assertEquals(expected, mean, 3.106 * error);
    }

    private void setUp(String name) {
        processor.setUp(WORK, () -> done.add(name + "@" + time.getAsLong()));
    }

    private void answer(String name) {
        processor.answer(WORK, () -> done.add(name + "@" + time.getAsLong()));
    }

    @Test
    void answersGoAheadOfSetUpsThatWait() {
        setUp("first");
        setUp("second");
        answer("answer");
        time.runUntil(100_000);
        assertEquals(List.of("first@10000", "answer@20000", "second@30000"), done);
    }

    @Test
    void slownessAndAColdStartStretchWork() {
        processor.slow(2);
        setUp("slow");
        time.runUntil(20_000);
        processor.slow(1);
        processor.die();
        processor.start(0.5, 1_000_000_000);
        setUp("cold");
        time.runUntil(100_000);
        assertEquals(List.of("slow@20000", "cold@40000"), done);
    }

    @Test
    void aProcessThatDiesForgetsItsWorkAndOneThatHangsKeepsIt() {
        setUp("lost");
        setUp("lost too");
        processor.die();
        time.runUntil(100_000);
        processor.start(1, 0);
        setUp("under way");
        setUp("kept");
        processor.hang(true);
        time.runUntil(500_000);
        assertEquals(List.of("under way@110000"), done);
        processor.hang(false);
        time.runUntil(600_000);
        assertEquals(List.of("under way@110000", "kept@510000"), done);
    }

    @Test
    void theWaitCountsWhatIsUnderWayAndWhatWaits() {
        setUp("first");
        setUp("second");
        time.runUntil(4_000);
        assertEquals(6_000 + WORK, processor.waitTime(), 1);
        assertEquals(1, processor.queued());
    }
}
