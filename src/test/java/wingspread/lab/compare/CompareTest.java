package wingspread.lab.compare;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wingspread.control.ControlParameters;
import wingspread.lab.Experiment;
import wingspread.lab.compare.Comparer.Variant;
import wingspread.lab.compare.Comparison.Verdict;
import wingspread.lab.host.PlannerController;
import wingspread.lab.host.SoftswitchPool;
import wingspread.lab.scenario.Scenario;
import wingspread.toml.TomlException;

/** Confidence intervals, the stopping rule, and verdicts on pairs of variants whose difference is known. */
class CompareTest {
    private static Variant planner(String setting, int family) {
        return new Variant(setting,
                SoftswitchPool.local(PlannerController.factory(Setting.named(setting).parameters())), family);
    }

    private static Comparison compare(Variant a, Variant b, int budget, double width) {
        Scenario scenario = Scenario.named("usual").with("length = '20s'");
        try (Experiment experiment = new Experiment(scenario, 4, 2)) {
            return new Comparer(experiment, new Sampling(8, budget, width), () -> { }).compare(a, b, 0);
        }
    }

    @Test
    void computesStudentInterval() {
        // Mean 2.5, standard deviation 1.291; the 97.5% quantile of Student's t with 3 degrees of freedom is 3.182.
        Interval interval = Interval.of(new double[] {1, 2, 3, 4}, 0.95);
        assertEquals(2.5, interval.mean(), 1e-9);
        assertEquals(3.182 * 1.291 / 2, interval.half(), 1e-3);
        assertEquals(Double.POSITIVE_INFINITY, Interval.of(new double[] {1}, 0.95).half());
    }

    @Property(tries = 500, seed = "41")
    void samplingStopsWithinBudgetAndReportsWhetherIntervalIsNarrow(@ForAll @IntRange(min = 2, max = 50) int pilot,
            @ForAll @IntRange(max = 500) int more, @ForAll @DoubleRange(min = 0.01, max = 1) double requestedHalfWidth,
            @ForAll @DoubleRange(max = 3) double deviation) {
        Sampling sampling = new Sampling(pilot, pilot + more, requestedHalfWidth);
        Sampling.Step step = sampling.first();
        int n = 0;
        int stages = 0;
        double half = Double.NaN;
        while (step instanceof Sampling.Play play) {
            assertTrue(play.more() > 0 && stages < 70, "stage " + stages + " plays " + play.more());
            n += play.more();
            half = 2 * deviation / Math.sqrt(n);
            step = sampling.next(++stages, new Interval(0, half, deviation, n));
        }
        assertTrue(n <= pilot + more);
        assertEquals(half <= requestedHalfWidth, ((Sampling.Stop) step).narrow());
        assertTrue(half <= requestedHalfWidth || n == pilot + more);
    }

    @Property(tries = 100, seed = "42")
    void sampleSizeDependsOnDeviationOnly(@ForAll @DoubleRange(min = -9, max = 9) double mean,
            @ForAll @DoubleRange(max = 0.1) double half) {
        Sampling sampling = new Sampling(8, 100, 0.01);
        assertEquals(sampling.next(2, new Interval(0, half, 1, 20)), sampling.next(2, new Interval(mean, half, 1, 20)));
    }

    @Test
    void samplingNeverStopsAfterOneStage() {
        assertTrue(new Sampling(8, 100, 1).next(1, new Interval(0, 0.1, 1, 8)) instanceof Sampling.Play);
    }

    @Test
    void findsNoDifferenceOfVariantToItself() {
        Comparison found = compare(planner("usual", 0), planner("usual", 0), 24, 0.01);
        assertEquals(0, found.service().mean());
        assertEquals(Verdict.NO_DIFFERENCE, found.verdict());
    }

    @Test
    void ranksVariantWithLowerServiceInBothOrders() {
        Variant smallWindow = planner("own-window-start=1,window-max=2,window-gain=0", 0);
        Comparison worse = compare(planner("usual", 0), smallWindow, 24, 0.01);
        assertEquals(Verdict.WORSE, worse.verdict());
        assertTrue(worse.sentence().startsWith("B gives worse service"), worse.sentence());
        Comparison better = compare(smallWindow, planner("usual", 0), 24, 0.01);
        assertEquals(Verdict.BETTER, better.verdict());
        assertEquals(-worse.service().mean(), better.service().mean(), 1e-12);
    }

    @Test
    void classWithoutCallsOnSomeDaysKeepsResultsFinite() {
        Scenario scenario = Scenario.named("usual").with("""
                length = "10s"
                [[class]]
                name = "often"
                part = 10000
                aim = "1500ms"
                deadline = "9s"
                worth = 1
                late-worth = 0.25
                width = 1
                holding = "10s"
                [[class]]
                name = "seldom"
                part = 1
                aim = "1500ms"
                deadline = "9s"
                worth = 1
                late-worth = 0.25
                width = 1
                holding = "10s"
                """);
        try (Experiment experiment = new Experiment(scenario, 4, 2)) {
            Comparison found = new Comparer(experiment, new Sampling(4, 6, 0.01), () -> { })
                    .compare(planner("usual", 0), planner("usual", 1), 0);
            assertTrue(Double.isFinite(found.service().half()), found.toString());
            assertTrue(found.parts().stream().filter(part -> part.name().equals("often"))
                    .allMatch(part -> part.difference().n() == found.service().n()), found.toString());
            assertTrue(found.parts().stream().filter(part -> part.name().equals("seldom"))
                    .allMatch(part -> part.difference().n() < found.service().n()), found.toString());
        }
    }

    @Test
    void reportsUndecidedWhenBudgetIsTooSmall() {
        Comparison found = compare(planner("usual", 0), planner("usual", 1), 8, 1e-6);
        assertEquals(Verdict.UNDECIDED, found.verdict());
        assertEquals(8, found.service().n());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "window-begin=3 | no figure 'window-begin'", "window-start=-3 | window-start=-3",
        "silent-gap=500 | a time with its unit", "window-start=3s | a number", "missing.toml | cannot be read"})
    void rejectsInvalidSettingWithReason(String setting, String reason) {
        String message = assertThrows(TomlException.class, () -> Setting.named(setting)).getMessage();
        assertTrue(message.contains(reason) && message.indexOf('\n') < 0, message);
    }

    @Test
    void convertsTimesToMicroseconds() {
        ControlParameters parameters = Setting.named("silent-gap=250ms,silent-gap-max=3s,tandems=1").parameters();
        assertEquals(250_000, value(parameters, "silent-gap"));
        assertEquals(3_000_000, value(parameters, "silent-gap-max"));
        assertEquals(1, value(parameters, "tandems"));
    }

    private static double value(ControlParameters parameters, String name) {
        return parameters.all().stream().filter(f -> f.name().equals(name)).findFirst().orElseThrow().value();
    }

    @Test
    void calibrationComputesClopperPearsonInterval() {
        // Clopper-Pearson interval for 10 of 200.
        Calibration found = Calibration.of(200, 10, 24);
        assertEquals(0.0242, found.low(), 1e-4);
        assertEquals(0.0900, found.high(), 1e-4);
    }
}
