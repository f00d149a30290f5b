package wingspread.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.junit.jupiter.api.Test;
import wingspread.lab.sim.Streams;
import wingspread.lab.sim.VirtualTime;

/** Tests the processor against the formula of a single-server queue, and its order of jobs. */
class ProcessorTest {
    private static final double WORK_MICROS = 10_000;

    private final VirtualTime time = new VirtualTime(0);
    private final Processor processor = new Processor(time, true, work -> { });
    private final List<String> done = new ArrayList<>();

    /** Returns the mean time from arrival to completion with Poisson arrivals at this load. */
    private static double meanSojournTime(double load, long seed) {
        VirtualTime clock = new VirtualTime(0);
        Processor queue = new Processor(clock, true, work -> { });
        UniformRandomProvider random = new Streams(seed, 0).stream("arrivals");
        ZigguratSampler.Exponential interarrivalTime = ZigguratSampler.Exponential.of(random, WORK_MICROS / load);
        int jobs = 40_000;
        double[] totalSojournTime = new double[1];
        double at = 0;
        for (int i = 0; i < jobs; i++) {
            at += interarrivalTime.sample();
            long arrival = Math.round(at);
            clock.scheduleAt(arrival,
                    () -> queue.submitSetUp(WORK_MICROS, () -> totalSojournTime[0] += clock.getAsLong() - arrival));
        }
        clock.runUntil(Long.MAX_VALUE - 1);
        return totalSojournTime[0] / jobs;
    }

    @Test
    void meanSojournTimeMatchesPollaczekKhinchineFormula() {
        double load = 0.7;
        double expected = WORK_MICROS + WORK_MICROS * load / (2 * (1 - load));
        double mean = 0;
        double sumOfSquares = 0;
        int runs = 12;
        for (int seed = 0; seed < runs; seed++) {
            double runMean = meanSojournTime(load, seed);
            mean += runMean / runs;
            sumOfSquares += runMean * runMean / runs;
        }
        double standardError = Math.sqrt((sumOfSquares - mean * mean) / (runs - 1));
        // Two-sided 99% of Student's t with 11 degrees of freedom.
        assertEquals(expected, mean, 3.106 * standardError);
    }

    private void setUp(String name) {
        processor.submitSetUp(WORK_MICROS, () -> done.add(name + "@" + time.getAsLong()));
    }

    private void answer(String name) {
        processor.submitAnswer(WORK_MICROS, () -> done.add(name + "@" + time.getAsLong()));
    }

    @Test
    void answersTakePriorityOverQueuedSetUps() {
        setUp("first");
        setUp("second");
        answer("answer");
        time.runUntil(100_000);
        assertEquals(List.of("first@10000", "answer@20000", "second@30000"), done);
    }

    @Test
    void slownessAndColdStartLengthenJobs() {
        processor.setSlowness(2);
        setUp("slow");
        time.runUntil(20_000);
        processor.setSlowness(1);
        processor.stop();
        processor.start(0.5, 1_000_000_000);
        setUp("cold");
        time.runUntil(100_000);
        assertEquals(List.of("slow@20000", "cold@40000"), done);
    }

    @Test
    void stoppedProcessDiscardsJobsAndHungProcessKeepsThem() {
        setUp("lost");
        setUp("lost too");
        processor.stop();
        time.runUntil(100_000);
        processor.start(1, 0);
        setUp("under way");
        setUp("kept");
        processor.setHung(true);
        time.runUntil(500_000);
        assertEquals(List.of("under way@110000"), done);
        processor.setHung(false);
        time.runUntil(600_000);
        assertEquals(List.of("under way@110000", "kept@510000"), done);
    }

    @Test
    void waitTimeIncludesCurrentAndQueuedJobs() {
        setUp("first");
        setUp("second");
        time.runUntil(4_000);
        assertEquals(6_000 + WORK_MICROS, processor.waitTime(), 1);
        assertEquals(1, processor.queued());
    }
}
