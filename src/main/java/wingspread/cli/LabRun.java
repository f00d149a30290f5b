package wingspread.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.DoubleStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import wingspread.control.ControlParameters;
import wingspread.lab.Experiment;
import wingspread.lab.host.PlannerController;
import wingspread.lab.host.SoftswitchPool;
import wingspread.lab.measure.Service;
import wingspread.lab.rules.Breach;
import wingspread.lab.scenario.Scenario;
import wingspread.lab.world.Model;

/** Simulates a scenario and prints the service of each class of call. */
@Command(name = "run", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Simulates a scenario and prints the service of each class of call.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:all rules were kept", "1:a rule was broken",
            "2:the command line or a file is invalid"})
final class LabRun implements Callable<Integer> {
    @Mixin
    private LabOptions options;

    @Option(names = "--replications", defaultValue = "8",
            description = "number of random days to simulate (default: 8)")
    private int replications;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        new LogSilencer().apply();
        Scenario scenario = options.scenario();
        PrintWriter out = spec.commandLine().getOut();
        long startNanos = System.nanoTime();
        try (Experiment experiment = new Experiment(scenario, options.seed(), options.threads());
                SoftswitchPool pool = SoftswitchPool.local(PlannerController.factory(ControlParameters.DEFAULTS))) {
            int days = options.requirePositive("--replications", replications);
            Progress progress = Progress.forConsole(spec.commandLine().getErr());
            List<Model.Run> runs = experiment.mapInParallel(0, days, n -> {
                Model.Run run = pool.with(s -> experiment.runReplication(n, s, 0));
                progress.step(days, "days");
                return run;
            });
            progress.end();
            out.printf(Locale.ROOT, "%s: %s%n", scenario.name(), scenario.about());
            print(out, runs);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            long calls = runs.stream().mapToLong(Model.Run::calls).sum();
            out.printf(Locale.ROOT, "%d replications, %d calls, %.1f events a call, %.1f s, %.0f calls a second%n",
                    runs.size(), calls,
                    runs.stream().mapToLong(Model.Run::processedEvents).sum() / (double) calls, seconds,
                    calls / seconds);
            out.flush();
            return runs.stream().anyMatch(run -> run.breachCount() > 0) ? 1 : 0;
        }
    }

    /** Prints the service by class and in total, and each breach of a rule. */
    static void print(PrintWriter out, List<Model.Run> runs) {
        List<Service> services = runs.stream().map(Model.Run::service).toList();
        out.printf(Locale.ROOT, "%-18s %8s %8s %8s %8s %8s %9s %9s%n", "class", "service", "calls", "in time", "late",
                "cut", "median ms", "p99 ms");
        for (int i = 0; i < services.get(0).classes().size(); i++) {
            int classIndex = i;
            List<Service.ByClass> rows = services.stream().map(s -> s.classes().get(classIndex)).toList();
            out.printf(Locale.ROOT, "%-18s %8.3f %8d %8d %8d %8d %9.0f %9.0f%n", rows.get(0).name(),
                    mean(rows.stream().mapToDouble(Service.ByClass::service).toArray()),
                    rows.stream().mapToLong(Service.ByClass::calls).sum(),
                    rows.stream().mapToLong(Service.ByClass::inAim).sum(),
                    rows.stream().mapToLong(Service.ByClass::late).sum(),
                    rows.stream().mapToLong(Service.ByClass::cut).sum(),
                    mean(rows.stream().mapToDouble(r -> r.median() / 1e3).toArray()),
                    mean(rows.stream().mapToDouble(r -> r.p99() / 1e3).toArray()));
        }
        out.printf(Locale.ROOT,
                "service %.3f (whole %.3f, worst 10 s %.3f, worst class %.3f; less %.3f late, %.3f waste)%n",
                mean(services.stream().mapToDouble(Service::result).toArray()),
                mean(services.stream().mapToDouble(Service::whole).toArray()),
                mean(services.stream().mapToDouble(Service::worstWindow).toArray()),
                mean(services.stream().mapToDouble(Service::worstClass).toArray()),
                mean(services.stream().mapToDouble(Service::lateFail).toArray()),
                mean(services.stream().mapToDouble(Service::waste).toArray()));
        out.printf(Locale.ROOT, "redials %d, given up %d, over a tandem %d%n",
                services.stream().mapToLong(s -> s.counts().redials()).sum(),
                services.stream().mapToLong(s -> s.counts().abandonedOffers()).sum(),
                services.stream().mapToLong(s -> s.counts().viaTandem()).sum());
        for (int i = 0; i < runs.size(); i++) {
            for (Breach breach : runs.get(i).breaches()) {
                out.printf(Locale.ROOT, "BROKEN in replication %d: %s%n", i, breach);
            }
        }
    }

    private static double mean(double[] values) {
        return DoubleStream.of(values).filter(value -> !Double.isNaN(value)).average().orElse(Double.NaN);
    }
}
