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
import wingspread.lab.scenario.Trouble;
import wingspread.lab.sim.Streams;
import wingspread.lab.world.Model;
import wingspread.metrics.Metrics;

/** Plays an outage without and with damping of storms, and beside both the same days without the outage. */
@Command(name = "outage", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Says how soon redials are back to usual after an outage, with and without storms damped.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:played, all rules kept", "1:a rule was broken",
            "2:the command line or a file cannot be taken"})
final class LabOutage implements Callable<Integer> {
    private static final int SECOND = 1_000_000;
    private static final double CONFIDENCE = 0.95;
    private static final int SHOWN_AFTER = 12;

    @Mixin
    private LabOptions options;

    @Option(names = "--storm", defaultValue = "usual", paramLabel = "STORM", description = "figures of the damping:"
            + " usual, a file as deploy/storm.toml, or damping.method=\"gap\" (default: usual)")
    private String storm;

    @Option(names = "--replications", defaultValue = "24", description = "days that are drawn (default: 24)")
    private int replications;

    @Spec
    private CommandSpec spec;

    private record Triple(Model.Run usual, Model.Run plain, Model.Run damped) { }

    @Override
    public Integer call() {
        new QuietModules().apply();
        Scenario scenario = options.scenario();
        Day day = scenario.day(new Streams(options.seed(), 0));
        int endsAt = (int) (day.troubles().stream().mapToLong(Trouble::until).max().orElseThrow(() ->
                new CommandLine.ParameterException(spec.commandLine(), scenario.name() + ": has no trouble"))
                / SECOND);
        int days = options.atLeastOne("--replications", replications);
        Queue<Metrics> counters = new ConcurrentLinkedQueue<>();
        Progress progress = Progress.on(spec.commandLine().getErr());
        try (Experiment struck = new Experiment(scenario, options.seed(), options.threads());
                Experiment calm = new Experiment(scenario.with("trouble = []"), options.seed(), 1);
                SoftswitchPool plain = SoftswitchPool.local(PlannerController.with(ControlParameters.DEFAULTS));
                SoftswitchPool damped = SoftswitchPool.local(PlannerController.with(ControlParameters.DEFAULTS,
                        StormConfig.named(storm).storm(), () -> {
                            Metrics one = new Metrics();
                            counters.add(one);
                            return one;
                        }))) {
            List<Triple> all = struck.each(0, days, n -> {
                Triple triple = new Triple(plain.with(s -> calm.play(n, s, 0)), plain.with(s -> struck.play(n, s, 0)),
                        damped.with(s -> struck.play(n, s, 0)));
                progress.step(days, "days");
                return triple;
            });
            progress.end();
            PrintWriter out = spec.commandLine().getOut();
            out.printf(Locale.ROOT, "%s: %s%n", scenario.name(), scenario.about());
            printRedials(out, all, endsAt, day.length() / (double) SECOND);
            printService(out, all, endsAt);
            printCounters(out, counters);
            out.flush();
            return all.stream().anyMatch(t -> t.plain().breachCount() + t.damped().breachCount() > 0) ? 1 : 0;
        }
    }

    private void printRedials(PrintWriter out, List<Triple> all, int endsAt, double length) {
        List<double[]> usual = redials(all, Triple::usual);
        List<double[]> plain = redials(all, Triple::plain);
        List<double[]> damped = redials(all, Triple::damped);
        double firstTries = all.stream().mapToLong(t -> t.usual().calls()).average().orElse(0) / length;
        Outage outage = new Outage(endsAt, firstTries);
        out.printf(Locale.ROOT, "first tries a second: %.1f%nredials a second, by seconds after the end%n", firstTries);
        out.printf(Locale.ROOT, "%8s %9s %9s %9s%n", "second", "usual", "plain", "damped");
        double[][] means = {Outage.mean(usual), Outage.mean(plain), Outage.mean(damped)};
        int last = Math.min(endsAt + SHOWN_AFTER, means[0].length - 1);
        for (int i = Math.max(0, endsAt - 2); i < last; i++) {
            out.printf(Locale.ROOT, "%8d %9.1f %9.1f %9.1f%n", i - endsAt, means[0][i], means[1][i], means[2][i]);
        }
        printBack(out, "plain", outage.back(usual, plain, options.seed()));
        printBack(out, "damped", outage.back(usual, damped, options.seed()));
    }

    private static List<double[]> redials(List<Triple> all, Function<Triple, Model.Run> side) {
        return all.stream().map(t -> side.apply(t).timeline().redials()).toList();
    }

    private static void printBack(PrintWriter out, String name, Outage.Back back) {
        out.printf(Locale.ROOT, "%s: redials are back after %.0f s (95%%: %.0f to %.0f)%n", name, back.seconds(),
                back.low(), back.high());
    }

    private static void printService(PrintWriter out, List<Triple> all, int endsAt) {
        out.printf(Locale.ROOT, "%-22s %8s %8s %8s %9s %9s %9s%n", "service", "usual", "plain", "damped", "difference",
                "from", "to");
        printRow(out, "in all", all, run -> run.service().result());
        printRow(out, "the 10 s before", all, run -> mean(run.service().bySecond(), endsAt - 10, endsAt));
        printRow(out, "the 10 s after", all, run -> mean(run.service().bySecond(), endsAt, endsAt + 10));
        List<Service.ByClass> classes = all.get(0).plain().service().classes();
        IntStream.range(0, classes.size()).forEach(i -> printRow(out, classes.get(i).name(), all,
                run -> run.service().classes().get(i).service()));
        long lost = all.stream().mapToLong(t -> t.plain().service().counts().lost()).sum();
        long lostDamped = all.stream().mapToLong(t -> t.damped().service().counts().lost()).sum();
        out.printf(Locale.ROOT, "calls %d, lost %d plain, %d damped; redials %d plain, %d damped%n",
                all.stream().mapToLong(t -> t.plain().calls()).sum(), lost, lostDamped,
                all.stream().mapToLong(t -> t.plain().service().counts().redials()).sum(),
                all.stream().mapToLong(t -> t.damped().service().counts().redials()).sum());
    }

    private static void printCounters(PrintWriter out, Queue<Metrics> counters) {
        out.printf(Locale.ROOT, "the gate: %d storms, %d redials turned away, %d of them early; of %d tries %d unmarked"
                + " ones were taken for redials%n", count(counters, "storms.began"),
                count(counters, "answered.storm") + count(counters, "answered.storm-early"),
                count(counters, "answered.storm-early"), count(counters, "taken.calls"),
                count(counters, "taken.unmarked-redials"));
    }

    private static long count(Queue<Metrics> counters, String name) {
        return counters.stream().mapToLong(one -> one.value(name)).sum();
    }

    private static void printRow(PrintWriter out, String name, List<Triple> all, Function<Model.Run, Double> part) {
        Interval difference = Interval.of(all.stream().mapToDouble(t -> part.apply(t.damped()) - part.apply(t.plain()))
                .filter(value -> !Double.isNaN(value)).toArray(), CONFIDENCE);
        out.printf(Locale.ROOT, "%-22s %8.4f %8.4f %8.4f %+9.4f %+9.4f %+9.4f%s%n", name,
                mean(all, t -> part.apply(t.usual())), mean(all, t -> part.apply(t.plain())),
                mean(all, t -> part.apply(t.damped())), difference.mean(), difference.low(), difference.high(),
                difference.excludesZero() ? " *" : "");
    }

    private static double mean(List<Triple> all, Function<Triple, Double> value) {
        return all.stream().mapToDouble(value::apply).filter(v -> !Double.isNaN(v)).average().orElse(Double.NaN);
    }

    private static double mean(double[] values, int from, int to) {
        return IntStream.range(Math.max(0, from), Math.min(to, values.length)).mapToDouble(i -> values[i])
                .filter(v -> !Double.isNaN(v)).average().orElse(Double.NaN);
    }
}
