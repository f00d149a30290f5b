package wingspread.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import wingspread.config.StormConfig;
import wingspread.control.ControlParameters;
import wingspread.lab.Experiment;
import wingspread.lab.compare.Interval;
import wingspread.lab.compare.Outage;
import wingspread.lab.host.PlannerController;
import wingspread.lab.host.SoftswitchPool;
import wingspread.lab.measure.Service;
import wingspread.lab.scenario.Day;
import wingspread.lab.scenario.Scenario;
import wingspread.lab.scenario.ScenarioFault;
import wingspread.lab.sim.Streams;
import wingspread.lab.world.Model;
import wingspread.metrics.Metrics;

/**
 * Simulates an outage with and without storm control, and the same days without the outage as a baseline, and prints
 * how long redials take to return to the baseline rate.
 */
@Command(name = "outage", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Measures when redials return to the baseline after an outage, with and without storm control.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:all rules were kept", "1:a rule was broken",
            "2:the command line or a file is invalid"})
final class LabOutage implements Callable<Integer> {
    private static final int MICROS_PER_SECOND = 1_000_000;
    private static final double CONFIDENCE = 0.95;
    private static final int SECONDS_SHOWN_AFTER_END = 12;

    @Mixin
    private LabOptions options;

    @Option(names = "--storm", defaultValue = "usual", paramLabel = "STORM", description = "storm control:"
            + " usual, a file such as deploy/storm.toml, or damping.method=\"gap\" (default: usual)")
    private String storm;

    @Option(names = "--replications", defaultValue = "24",
            description = "number of random days to simulate (default: 24)")
    private int replications;

    @Spec
    private CommandSpec spec;

    /**
     * The runs of one day.
     *
     * @param baseline without the outage and without storm control
     * @param plain with the outage, without storm control
     * @param damped with the outage and with storm control
     */
    private record Triple(Model.Run baseline, Model.Run plain, Model.Run damped) { }

    @Override
    public Integer call() {
        new LogSilencer().apply();
        Scenario scenario = options.scenario();
        Day day = scenario.day(new Streams(options.seed(), 0));
        int endSecond = (int) (day.troubles().stream().mapToLong(ScenarioFault::until).max().orElseThrow(() ->
                new CommandLine.ParameterException(spec.commandLine(),
                        scenario.name() + ": scenario has no [[trouble]] entries"))
                / MICROS_PER_SECOND);
        int days = options.requirePositive("--replications", replications);
        Queue<Metrics> counters = new ConcurrentLinkedQueue<>();
        Progress progress = Progress.forConsole(spec.commandLine().getErr());
        try (Experiment outage = new Experiment(scenario, options.seed(), options.threads());
                Experiment undisturbed = new Experiment(scenario.with("trouble = []"), options.seed(), 1);
                SoftswitchPool plain = SoftswitchPool.local(PlannerController.factory(ControlParameters.DEFAULTS));
                SoftswitchPool damped = SoftswitchPool.local(PlannerController.factory(ControlParameters.DEFAULTS,
                        StormConfig.parse(storm).storm(), () -> {
                            Metrics metrics = new Metrics();
                            counters.add(metrics);
                            return metrics;
                        }))) {
            List<Triple> triples = outage.mapInParallel(0, days, n -> {
                Triple triple = new Triple(plain.with(s -> undisturbed.runReplication(n, s, 0)),
                        plain.with(s -> outage.runReplication(n, s, 0)),
                        damped.with(s -> outage.runReplication(n, s, 0)));
                progress.step(days, "days");
                return triple;
            });
            progress.end();
            PrintWriter out = spec.commandLine().getOut();
            out.printf(Locale.ROOT, "%s: %s%n", scenario.name(), scenario.about());
            printRedials(out, triples, endSecond, day.length() / (double) MICROS_PER_SECOND);
            printService(out, triples, endSecond);
            printCounters(out, counters);
            out.flush();
            return triples.stream().anyMatch(t -> t.plain().breachCount() + t.damped().breachCount() > 0) ? 1 : 0;
        }
    }

    private void printRedials(PrintWriter out, List<Triple> triples, int endSecond, double seconds) {
        List<double[]> baseline = redials(triples, Triple::baseline);
        List<double[]> plain = redials(triples, Triple::plain);
        List<double[]> damped = redials(triples, Triple::damped);
        double freshCallsPerSecond = triples.stream().mapToLong(t -> t.baseline().calls()).average().orElse(0)
                / seconds;
        Outage outage = new Outage(endSecond, freshCallsPerSecond);
        out.printf(Locale.ROOT, "first tries a second: %.1f%nredials a second, by seconds after the end%n",
                freshCallsPerSecond);
        out.printf(Locale.ROOT, "%8s %9s %9s %9s%n", "second", "usual", "plain", "damped");
        double[][] means = {Outage.mean(baseline), Outage.mean(plain), Outage.mean(damped)};
        int last = Math.min(endSecond + SECONDS_SHOWN_AFTER_END, means[0].length - 1);
        for (int i = Math.max(0, endSecond - 2); i < last; i++) {
            out.printf(Locale.ROOT, "%8d %9.1f %9.1f %9.1f%n", i - endSecond, means[0][i], means[1][i], means[2][i]);
        }
        printRecovery(out, "plain", outage.recovery(baseline, plain, options.seed()));
        printRecovery(out, "damped", outage.recovery(baseline, damped, options.seed()));
    }

    private static List<double[]> redials(List<Triple> triples, Function<Triple, Model.Run> side) {
        return triples.stream().map(t -> side.apply(t).timeline().redials()).toList();
    }

    private static void printRecovery(PrintWriter out, String name, Outage.Recovery recovery) {
        out.printf(Locale.ROOT, "%s: redials are back after %.0f s (95%%: %.0f to %.0f)%n", name, recovery.seconds(),
                recovery.low(), recovery.high());
    }

    private static void printService(PrintWriter out, List<Triple> triples, int endSecond) {
        out.printf(Locale.ROOT, "%-22s %8s %8s %8s %9s %9s %9s%n", "service", "usual", "plain", "damped", "difference",
                "from", "to");
        printRow(out, "in all", triples, run -> run.service().result());
        printRow(out, "the 10 s before", triples, run -> mean(run.service().bySecond(), endSecond - 10, endSecond));
        printRow(out, "the 10 s after", triples, run -> mean(run.service().bySecond(), endSecond, endSecond + 10));
        List<Service.ByClass> classes = triples.get(0).plain().service().classes();
        IntStream.range(0, classes.size()).forEach(i -> printRow(out, classes.get(i).name(), triples,
                run -> run.service().classes().get(i).service()));
        long lostPlain = triples.stream().mapToLong(t -> t.plain().service().counts().lost()).sum();
        long lostDamped = triples.stream().mapToLong(t -> t.damped().service().counts().lost()).sum();
        out.printf(Locale.ROOT, "calls %d, lost %d plain, %d damped; redials %d plain, %d damped%n",
                triples.stream().mapToLong(t -> t.plain().calls()).sum(), lostPlain, lostDamped,
                triples.stream().mapToLong(t -> t.plain().service().counts().redials()).sum(),
                triples.stream().mapToLong(t -> t.damped().service().counts().redials()).sum());
    }

    private static void printCounters(PrintWriter out, Queue<Metrics> counters) {
        out.printf(Locale.ROOT, "the gate: %d storms, %d redials turned away, %d of them early; of %d tries %d unmarked"
                + " ones were taken for redials%n", count(counters, "storms.began"),
                count(counters, "answered.storm") + count(counters, "answered.storm-early"),
                count(counters, "answered.storm-early"), count(counters, "taken.calls"),
                count(counters, "taken.unmarked-redials"));
    }

    private static long count(Queue<Metrics> counters, String name) {
        return counters.stream().mapToLong(metrics -> metrics.value(name)).sum();
    }

    private static void printRow(PrintWriter out, String name, List<Triple> triples,
            Function<Model.Run, Double> measure) {
        Interval difference = Interval.of(triples.stream()
                .mapToDouble(t -> measure.apply(t.damped()) - measure.apply(t.plain()))
                .filter(value -> !Double.isNaN(value)).toArray(), CONFIDENCE);
        out.printf(Locale.ROOT, "%-22s %8.4f %8.4f %8.4f %+9.4f %+9.4f %+9.4f%s%n", name,
                mean(triples, t -> measure.apply(t.baseline())), mean(triples, t -> measure.apply(t.plain())),
                mean(triples, t -> measure.apply(t.damped())), difference.mean(), difference.low(), difference.high(),
                difference.excludesZero() ? " *" : "");
    }

    private static double mean(List<Triple> triples, Function<Triple, Double> value) {
        return triples.stream().mapToDouble(value::apply).filter(v -> !Double.isNaN(v)).average().orElse(Double.NaN);
    }

    private static double mean(double[] values, int from, int to) {
        return IntStream.range(Math.max(0, from), Math.min(to, values.length)).mapToDouble(i -> values[i])
                .filter(v -> !Double.isNaN(v)).average().orElse(Double.NaN);
    }
}
