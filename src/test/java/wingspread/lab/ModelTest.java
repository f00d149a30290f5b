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
import wingspread.lab.StubController.Vice;
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

/** The model against what is known by hand, against itself, and against softswitches that break the rules. */
class ModelTest {
    private static final Controller.Maker PLANNER = PlannerController.with(ControlParameters.DEFAULTS);
    /** One pair of exchanges, circuits the only thing that is scarce. */
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

    private static Model.Run play(Scenario scenario, Controller.Maker maker, long seed) {
        Streams streams = new Streams(seed, 0);
        return new Model(scenario.day(streams), streams, streams, new LocalSoftswitches(maker)).play();
    }

    private static Set<Rule> broken(Vice vice, String scenario) {
        return play(Scenario.named(scenario), StubController.with(vice), 3).breaches().stream().map(Breach::rule)
                .collect(Collectors.toCollection(() -> EnumSet.noneOf(Rule.class)));
    }

    /** Erlang's loss formula by its recursion (Erlang 1917). */
    private static double erlangB(int circuits, double load) {
        double blocked = 1;
        for (int n = 1; n <= circuits; n++) {
            blocked = load * blocked / (n + load * blocked);
        }
        return blocked;
    }

    @Test
    void aGroupAloneLosesWhatErlangSays() {
        Scenario scenario = Scenario.parse(ONE_GROUP, "one group");
        double lost = 0;
        double squares = 0;
        int runs = 12;
        for (int n = 0; n < runs; n++) {
            double one = 1 - play(scenario, StubController.with(Vice.NONE), n).service().whole();
            lost += one / runs;
            squares += one * one / runs;
        }
        double error = Math.sqrt((squares - lost * lost) / (runs - 1));
        // Two-sided 99% of Student's t with 11 degrees of freedom.
        assertEquals(erlangB(20, 20), lost, 3.106 * error);
    }

    @Test
    void theSameSeedGivesTheSameBytesOnOneThreadOrEight() throws JsonProcessingException {
        assertArrayEquals(bytes(1), bytes(8));
    }

    private static byte[] bytes(int threads) throws JsonProcessingException {
        try (Experiment experiment = new Experiment(Scenario.named("surge-slow-late"), 5, threads);
                SoftswitchPool pool = SoftswitchPool.local(PLANNER)) {
            return new ObjectMapper().writeValueAsBytes(
                    experiment.each(0, 8, n -> pool.with(softswitches -> experiment.play(n, softswitches, 0))));
        }
    }

    @Test
    void whereNobodyCallsTheDayEndsAllTheSame() {
        Model.Run run = play(Scenario.named("usual").with("load.level = 0"), PLANNER, 1);
        assertEquals(0, run.calls());
        assertEquals(List.of(), run.breaches());
    }

    /** Two troubles of a kind at once add up, and the end of one leaves the other on. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"circuit-loss | region = 0, keep = 0.5",
        "hot-caller | exchanges = 1, share = 0.3",
        "hot-number | share = 0.3, lines = 3", "slow-processors | share = 1.0, factor = 2"})
    void troublesOfOneKindOverlap(String kind, String figures) {
        String trouble = "{kind = '%s', at = '%s', for = '%s', " + figures + "}";
        String longOne = trouble.formatted(kind, "5s", "20s");
        String shortOne = trouble.formatted(kind, "8s", "2s");
        Scenario base = Scenario.named("usual").with("length = '30s'");
        double[] alone = play(base.with("trouble = [" + longOne + "]"), PLANNER, 6).timeline().busy();
        double[] both = play(base.with("trouble = [" + longOne + ", " + shortOne + "]"), PLANNER, 6).timeline().busy();
        double[] cutShort = play(base.with("trouble = [" + trouble.formatted(kind, "5s", "5s") + "]"), PLANNER, 6)
                .timeline().busy();
        assertArrayEquals(Arrays.copyOf(alone, 7), Arrays.copyOf(both, 7));
        assertTrue(distance(alone, both) < distance(cutShort, both),
                kind + ": " + distance(alone, both) + " from the long one, " + distance(cutShort, both)
                + " from one that ends with the short one");
    }

    /** How far two days lie apart after the short trouble has passed. */
    private static double distance(double[] one, double[] other) {
        double sum = 0;
        for (int i = 14; i < 25; i++) {
            sum += Math.abs(one[i] - other[i]);
        }
        return sum;
    }

    @Test
    void anotherSeedOrReplicationGivesAnotherDay() {
        Scenario usual = Scenario.named("usual");
        assertFalse(usual.day(new Streams(1, 0)).equals(usual.day(new Streams(1, 1))));
        assertFalse(usual.day(new Streams(1, 0)).equals(usual.day(new Streams(2, 0))));
        assertEquals(usual.day(new Streams(1, 0)), usual.day(new Streams(1, 0)));
    }

    @Test
    void twoVariantsMeetTheSameCalls() {
        Scenario scenario = Scenario.named("usual");
        Service.Counts one = play(scenario, PLANNER, 9).service().counts();
        Service.Counts other = play(scenario, StubController.with(Vice.NONE), 9).service().counts();
        assertEquals(one.firstTries(), other.firstTries());
        assertTrue(one.redials() != other.redials());
    }

    @ParameterizedTest
    @CsvSource({"MUTE, ONE_ANSWER, usual", "TWO_ANSWERS, ONE_ANSWER, usual", "TWO_AT_ONCE, ONE_ATTEMPT, usual",
        "AGAIN_AT_ONCE, RELEASE_FIRST, usual", "DEAF_TO_DRAINS, CLEAN_DRAIN, rolling-release",
        "TO_ITSELF, ROUTE, usual", "TRANSIT_ASTRAY, ROUTE, usual"})
    void aSoftswitchThatBreaksARuleIsCaught(Vice vice, Rule rule, String scenario) {
        assertTrue(broken(vice, scenario).contains(rule));
    }

    @Test
    void aColdExchangeThatIsPushedOverIsCaught() {
        Scenario crowd = Scenario.named("crash-and-return").with("""
                load.level = 3.0
                work.use = 0.9
                cold = {from = 0.3, time = "14s"}
                news.start = "0.21s"
                """);
        assertTrue(play(crowd, StubController.with(Vice.FLOOD), 3).breaches().stream()
                .anyMatch(breach -> breach.rule() == Rule.FAIL_BACK));
        assertEquals(List.of(), play(crowd, PLANNER, 3).breaches());
    }

    @Test
    void aBreachNamesCallExchangeAndTime() {
        Breach first = play(Scenario.named("usual"), StubController.with(Vice.TO_ITSELF), 3).breaches().get(0);
        assertTrue(first.toString().matches("ROUTE: call [0-9a-f]{16} at exchange \\d after \\d+\\.\\d{3} s: .+"),
                first.toString());
    }

    @ParameterizedTest
    @CsvSource({"usual", "surge-slow-late", "regional-loss", "crash-and-return", "rolling-release", "event-day"})
    void theProgramKeepsItsRulesInEveryShippedScenario(String name) {
        for (long seed = 0; seed < 3; seed++) {
            assertEquals(List.of(), play(Scenario.named(name), PLANNER, seed).breaches());
            assertEquals(List.of(), play(Scenario.named(name).with("callers.redials = 3"),
                    PlannerController.with(ControlParameters.DEFAULTS, StormParameters.DEFAULTS), seed).breaches());
        }
    }

    @Property(tries = 60, seed = "31", shrinking = ShrinkingMode.OFF)
    void everyCallEndsOnceAndEveryCircuitComesBack(@ForAll("days") String toml, @ForAll long seed) {
        Scenario scenario = Scenario.parse(toml, "drawn");
        Streams streams = new Streams(seed, 0);
        Model model = new Model(scenario.day(streams), streams, streams, new LocalSoftswitches(PLANNER));
        Model.Run run = model.play();
        assertEquals(List.of(), run.breaches(), toml);
        Service service = run.service();
        long ended = service.classes().stream().mapToLong(c -> c.inAim() + c.late() + c.cut()).sum();
        assertEquals(run.calls(), ended + service.counts().lost(), toml);
        assertEquals(0, model.busyAfterAll(), toml);
    }

    @Provide
    Arbitrary<String> days() {
        return Arbitraries.longs().map(RandomDay::toml);
    }
}
