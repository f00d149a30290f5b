package wingspread.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import wingspread.testbed.soak.FaultKind;
import wingspread.testbed.soak.Schedule;
import wingspread.testbed.soak.Soak;
import wingspread.testbed.soak.SoakReport;

/** Runs soak trials: short runs of real softswitch processes with many injected faults. */
@Command(name = "soak", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Runs short trials of real softswitch processes with stand-ins that drain, vanish, hang, send"
                + " invalid answers or cancel calls, and checks the platform's rules against the stand-ins' records.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:all rules were kept", "1:a rule was broken",
            "2:the command line or a file is invalid, or a trial could not be run"})
final class TestbedSoak implements Callable<Integer> {
    private static final int CORES_PER_TRIAL = 4;

    @Option(names = "--seeds", defaultValue = "1",
            description = "number of trials, each with its own seed (default: 1)")
    private int seeds;

    @Option(names = "--from", paramLabel = "SEED", defaultValue = "1", description = "the first seed (default: 1)")
    private long firstSeed;

    @Option(names = "--seconds", defaultValue = "12",
            description = "time for which callers offer calls in each trial (default: 12)")
    private int seconds;

    @Option(names = "--only", paramLabel = "FAULT", split = ",",
            description = "inject only these kinds of faults, as in vanish,directory-silent")
    private List<String> kindNames = new ArrayList<>();

    @Option(names = "--schedule", paramLabel = "FILE",
            description = "replay this schedule, as written by a trial that broke a rule, in place of seeds")
    private Path schedule;

    @Option(names = "--side-by-side", paramLabel = "N",
            description = "trials run in parallel (default: one for every 4 processors)")
    private int parallelTrials = Math.max(1, Runtime.getRuntime().availableProcessors() / CORES_PER_TRIAL);

    @Option(names = "--shrink", paramLabel = "N", defaultValue = "12",
            description = "maximum trials to reduce a schedule to fewer faults that still break a rule (default: 12)")
    private int maxShrinkTrials;

    @Option(names = "--report", paramLabel = "FILE", description = "write a Markdown report on all trials")
    private Path reportFile;

    @Option(names = "--folder", paramLabel = "DIR", description = "directory for the schedules, logs and records"
            + " of trials that break a rule (default: a new temporary directory)")
    private Path folder;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        new LogSilencer().apply();
        check(seeds >= 1 && seeds <= 100_000, "--seeds: expected 1 to 100000");
        check(seconds >= 4 && seconds <= 3_600, "--seconds: expected 4 to 3600");
        check(parallelTrials >= 1 && parallelTrials <= 64, "--side-by-side: expected 1 to 64");
        check(maxShrinkTrials >= 0, "--shrink: expected 0 or more");
        Set<FaultKind> kinds = EnumSet.noneOf(FaultKind.class);
        kindNames.forEach(name -> kinds.add(kind(name)));
        Path directory = folder == null ? Files.createTempDirectory("soak") : Files.createDirectories(folder);
        PrintWriter out = spec.commandLine().getOut();
        long startNanos = System.nanoTime();
        Soak soak = new Soak(
                new Soak.Plan(firstSeed, seeds, seconds, kinds, parallelTrials, maxShrinkTrials, List.of()), directory,
                outcome -> print(out, SoakReport.describe(outcome)));
        List<Soak.Outcome> outcomes = schedule == null ? soak.run()
                : List.of(soak.run(Schedule.read(schedule)));
        Duration cpuTime = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
        SoakReport report = new SoakReport(outcomes, seconds,
                Duration.ofNanos(System.nanoTime() - startNanos), cpuTime);
        if (reportFile != null) {
            Files.writeString(reportFile, report.text());
        }
        long failedTrials = outcomes.stream().filter(o -> o.result() != null && o.result().broken()).count();
        long errorTrials = outcomes.stream().filter(Soak.Outcome::hasFailed).count() - failedTrials;
        print(out, outcomes.size() + " trials, " + failedTrials + " broke a rule, " + errorTrials
                + " could not be played");
        return failedTrials > 0 ? 1 : errorTrials > 0 ? Cli.USAGE_ERROR : 0;
    }

    private static void print(PrintWriter out, String line) {
        synchronized (out) {
            out.println(line);
            out.flush();
        }
    }

    private FaultKind kind(String name) {
        return Arrays.stream(FaultKind.values()).filter(kind -> kind.option().equals(name.strip())).findFirst()
                .orElseThrow(() -> usageError("--only " + name + ": expected one of ("
                        + Arrays.stream(FaultKind.values()).map(FaultKind::option)
                        .collect(Collectors.joining(", ")) + ")"));
    }

    private void check(boolean valid, String message) {
        if (!valid) {
            throw usageError(message);
        }
    }

    private CommandLine.ParameterException usageError(String message) {
        return new CommandLine.ParameterException(spec.commandLine(), message);
    }
}
