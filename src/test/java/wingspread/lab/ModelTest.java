package wingspread.lab;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wingspread.control.ControlParameters;
import wingspread.lab.StubController.Defect;
import wingspread.lab.host.Controller;
import wingspread.lab.host.LocalSoftswitches;
import wingspread.lab.host.PlannerController;
import wingspread.lab.host.SoftswitchPool;
import wingspread.lab.measure.Service;
import wingspread.lab.rules.Breach;
import wingspread.lab.rules.Breach.Rule;
import wingspread.lab.scenario.Scenario;
import wingspread.lab.sim.Streams;
import wingspread.lab.world.Model;
import wingspread.storm.StormParameters;

/** Tests the model against analytical results, for reproducibility, and with softswitches that break the rules. */
class ModelTest {
    private static final Controller.Factory PLANNER = PlannerController.factory(ControlParameters.DEFAULTS);
    /** One pair of exchanges where only the circuits are a bottleneck. */
    private static final String ONE_GROUP = """
            length = "2000s"
            tick = "0s"
            fleet = {exchanges = 2, erlangs = 10, spare = 0, pair-spread = 0, missed = 0}
            load = {level = 1, swing = 0, drift-spread = 0, drift-time = "0s"}
            work = {use = 0.0001, faults = 0.0}
            callers = {redials = 0}
            [[class]]
            name = "only"
            part = 1
            aim = "1500ms"
            deadline = "9s"
            worth = 1
            late-worth = 0
            width = 1
            holding = "10s"
            """;

    private static Model.Run play(Scenario scenario, Controller.Factory maker, long seed) {
        Streams streams = new Streams(seed, 0);
        return new Model(scenario.day(streams), streams, streams, new LocalSoftswitches(maker)).run();
    }

    private static Set<Rule> brokenRules(Defect defect, String scenario) {
        return play(Scenario.named(scenario), StubController.with(defect), 3).breaches().stream().map(Breach::rule)
                .collect(Collectors.toCollection(() -> EnumSet.noneOf(Rule.class)));
    }

    /** Returns the blocking probability by the recursion of Erlang's loss formula (Erlang 1917). */
    private static double erlangB(int circuits, double load) {
        double blocked = 1;
        for (int n = 1; n <= circuits; n++) {
            blocked = load * blocked / (n + load * blocked);
        }
        return blocked;
    }

    @Test
    void lossOfSingleGroupMatchesErlangFormula() {
        Scenario scenario = Scenario.parse(ONE_GROUP, "one group");
        double meanLoss = 0;
        double sumOfSquares = 0;
        int runs = 12;
        for (int n = 0; n < runs; n++) {
            double loss = 1 - play(scenario, StubController.with(Defect.NONE), n).service().whole();
            meanLoss += loss / runs;
            sumOfSquares += loss * loss / runs;
        }
        double standardError = Math.sqrt((sumOfSquares - meanLoss * meanLoss) / (runs - 1));
        // Two-sided 99% of Student's t with 11 degrees of freedom.
        assertEquals(erlangB(20, 20), meanLoss, 3.106 * standardError);
    }

    @Test
    void sameSeedGivesSameResultsOnOneOrEightThreads() throws JsonProcessingException {
        assertArrayEquals(bytes(1), bytes(8));
    }

    private static byte[] bytes(int threads) throws JsonProcessingException {
        try (Experiment experiment = new Experiment(Scenario.named("surge-slow-late"), 5, threads);
                SoftswitchPool pool = SoftswitchPool.local(PLANNER)) {
            return new ObjectMapper().writeValueAsBytes(
                    experiment.mapInParallel(0, 8,
                            n -> pool.with(softswitches -> experiment.runReplication(n, softswitches, 0))));
        }
    }

    @Test
    void runWithoutCallsEnds() {
        Model.Run run = play(Scenario.named("usual").with("load.level = 0"), PLANNER, 1);
        assertEquals(0, run.calls());
        assertEquals(List.of(), run.breaches());
    }

    /** Two overlapping faults of the same kind combine, and the end of one leaves the other in effect. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"circuit-loss | region = 0, keep = 0.5",
        "hot-caller | exchanges = 1, share = 0.3",
        "hot-number | share = 0.3, lines = 3", "slow-processors | share = 1.0, factor = 2"})
    void overlappingFaultsOfSameKindCombine(String kind, String parameters) {
        String faultTemplate = "{kind = '%s', at = '%s', for = '%s', " + parameters + "}";
        String longFault = faultTemplate.formatted(kind, "5s", "20s");
        String shortFault = faultTemplate.formatted(kind, "8s", "2s");
        Scenario base = Scenario.named("usual").with("length = '30s'");
        double[] longAlone = play(base.with("trouble = [" + longFault + "]"), PLANNER, 6).timeline().busy();
        double[] both = play(base.with("trouble = [" + longFault + ", " + shortFault + "]"), PLANNER, 6)
                .timeline().busy();
        double[] endsEarly = play(base.with("trouble = [" + faultTemplate.formatted(kind, "5s", "5s") + "]"),
                PLANNER, 6).timeline().busy();
        assertArrayEquals(Arrays.copyOf(longAlone, 7), Arrays.copyOf(both, 7));
        assertTrue(distance(longAlone, both) < distance(endsEarly, both),
                kind + ": " + distance(longAlone, both) + " from the long fault alone, "
                + distance(endsEarly, both) + " from a fault that ends with the short one");
    }

    /** Returns the distance between two runs after the end of the short fault. */
    private static double distance(double[] one, double[] other) {
        double sum = 0;
        for (int i = 14; i < 25; i++) {
            sum += Math.abs(one[i] - other[i]);
        }
        return sum;
    }

    @Test
    void dayDependsOnSeedAndReplication() {
        Scenario usual = Scenario.named("usual");
        assertFalse(usual.day(new Streams(1, 0)).equals(usual.day(new Streams(1, 1))));
        assertFalse(usual.day(new Streams(1, 0)).equals(usual.day(new Streams(2, 0))));
        assertEquals(usual.day(new Streams(1, 0)), usual.day(new Streams(1, 0)));
    }

    @Test
    void variantsReceiveSameFreshCalls() {
        Scenario scenario = Scenario.named("usual");
        Service.Counts planner = play(scenario, PLANNER, 9).service().counts();
        Service.Counts stub = play(scenario, StubController.with(Defect.NONE), 9).service().counts();
        assertEquals(planner.freshCalls(), stub.freshCalls());
        assertTrue(planner.redials() != stub.redials());
    }

    @ParameterizedTest
    @CsvSource({"NO_ANSWER, ONE_ANSWER, usual", "TWO_ANSWERS, ONE_ANSWER, usual",
        "CONCURRENT_ATTEMPTS, ONE_ATTEMPT, usual", "IMMEDIATE_RETRY, RELEASE_FIRST, usual",
        "IGNORES_DRAINS, CLEAN_DRAIN, rolling-release", "ROUTES_TO_ITSELF, ROUTE, usual",
        "MISROUTES_TRANSIT, ROUTE, usual"})
    void detectsSoftswitchThatBreaksRule(Defect defect, Rule rule, String scenario) {
        assertTrue(brokenRules(defect, scenario).contains(rule));
    }

    @Test
    void detectsOverloadOfColdExchange() {
        Scenario overload = Scenario.named("crash-and-return").with("""
                load.level = 3.0
                work.use = 0.9
                cold = {from = 0.3, time = "14s"}
                news.start = "0.21s"
                """);
        assertTrue(play(overload, StubController.with(Defect.FLOOD), 3).breaches().stream()
                .anyMatch(breach -> breach.rule() == Rule.FAIL_BACK));
        assertEquals(List.of(), play(overload, PLANNER, 3).breaches());
    }

    @Test
    void breachTextContainsCallExchangeAndTime() {
        Breach first = play(Scenario.named("usual"), StubController.with(Defect.ROUTES_TO_ITSELF), 3).breaches().get(0);
        assertTrue(first.toString().matches("ROUTE: call [0-9a-f]{16} at exchange \\d after \\d+\\.\\d{3} s: .+"),
                first.toString());
    }

    @ParameterizedTest
    @CsvSource({"usual", "surge-slow-late", "regional-loss", "crash-and-return", "rolling-release", "event-day"})
    void plannerKeepsRulesInAllShippedScenarios(String name) {
        for (long seed = 0; seed < 3; seed++) {
            assertEquals(List.of(), play(Scenario.named(name), PLANNER, seed).breaches());
            assertEquals(List.of(), play(Scenario.named(name).with("callers.redials = 3"),
                    PlannerController.factory(ControlParameters.DEFAULTS, StormParameters.DEFAULTS), seed).breaches());
        }
    }

    @Property(tries = 60, seed = "31", shrinking = ShrinkingMode.OFF)
    void everyCallEndsOnceAndAllCircuitsAreReleased(@ForAll("days") String toml, @ForAll long seed) {
        Scenario scenario = Scenario.parse(toml, "drawn");
        Streams streams = new Streams(seed, 0);
        Model model = new Model(scenario.day(streams), streams, streams, new LocalSoftswitches(PLANNER));
        Model.Run run = model.run();
        assertEquals(List.of(), run.breaches(), toml);
        Service service = run.service();
        long ended = service.classes().stream().mapToLong(c -> c.inAim() + c.late() + c.cut()).sum();
        assertEquals(run.calls(), ended + service.counts().lost(), toml);
        assertEquals(0, model.countBusyCircuitsAfterLastCall(), toml);
    }

    @Provide
    Arbitrary<String> days() {
        return Arbitraries.longs().map(RandomDay::toml);
    }
}
