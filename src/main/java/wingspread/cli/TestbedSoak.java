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

/** Plays short, dense trials on real softswitch processes. */
@Command(name = "soak", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Plays short trials with real softswitch processes among stand-ins that drain, vanish, hang,"
                + " answer wrongly or give up, and judges the platform's rules by the stand-ins' own records.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:no rule was broken", "1:a rule was broken",
            "2:the command line or a file cannot be taken, or a trial could not be played"})
final class TestbedSoak implements Callable<Integer> {
    private static final int CORES_PER_TRIAL = 4;

    @Option(names = "--seeds", defaultValue = "1", description = "how many trials, a seed each (default: 1)")
    private int seeds;

    @Option(names = "--from", paramLabel = "SEED", defaultValue = "1", description = "the first seed (default: 1)")
    private long from;

    @Option(names = "--seconds", defaultValue = "12",
            description = "for which callers offer calls in each trial (default: 12)")
    private int seconds;

    @Option(names = "--only", paramLabel = "FAULT", split = ",",
            description = "draw from these kinds of faults alone, as in vanish,directory-silent")
    private List<String> only = new ArrayList<>();

    @Option(names = "--schedule", paramLabel = "FILE",
            description = "play this schedule again, as a trial that broke a rule has left it, in place of seeds")
    private Path schedule;

    @Option(names = "--side-by-side", paramLabel = "N",
            description = "trials at a time (default: one for every 4 processors)")
    private int sideBySide = Math.max(1, Runtime.getRuntime().availableProcessors() / CORES_PER_TRIAL);

    @Option(names = "--shrink", paramLabel = "N", defaultValue = "12",
            description = "trials that may be spent to find fewer faults that still break a rule (default: 12)")
    private int shrink;

    @Option(names = "--report", paramLabel = "FILE", description = "write a page of Markdown on all trials")
    private Path report;

    @Option(names = "--folder", paramLabel = "DIR", description = "where trials that break a rule leave their schedule,"
            + " logs and records (default: a new one among temporary files)")
    private Path folder;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        new QuietModules().apply();
        check(seeds >= 1 && seeds <= 100_000, "--seeds: 1 to 100000 was expected");
        check(seconds >= 4 && seconds <= 3_600, "--seconds: 4 to 3600 was expected");
        check(sideBySide >= 1 && sideBySide <= 64, "--side-by-side: 1 to 64 was expected");
        check(shrink >= 0, "--shrink: 0 or more was expected");
        Set<FaultKind> kinds = EnumSet.noneOf(FaultKind.class);
        only.forEach(name -> kinds.add(kind(name)));
        Path where = folder == null ? Files.createTempDirectory("soak") : Files.createDirectories(folder);
        PrintWriter out = spec.commandLine().getOut();
        long begun = System.nanoTime();
        Soak soak = new Soak(new Soak.Plan(from, seeds, seconds, kinds, sideBySide, shrink, List.of()), where,
                outcome -> print(out, SoakReport.describe(outcome)));
        List<Soak.Outcome> outcomes = schedule == null ? soak.play()
                : List.of(soak.play(Schedule.read(schedule)));
        Duration processor = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
        SoakReport page = new SoakReport(outcomes, seconds, Duration.ofNanos(System.nanoTime() - begun), processor);
        if (report != null) {
            Files.writeString(report, page.text());
        }
        long broken = outcomes.stream().filter(o -> o.result() != null && o.result().broken()).count();
        long unplayed = outcomes.stream().filter(Soak.Outcome::bad).count() - broken;
        print(out, outcomes.size() + " trials, " + broken + " broke a rule, " + unplayed + " could not be played");
        return broken > 0 ? 1 : unplayed > 0 ? Cli.USAGE : 0;
    }

    private static void print(PrintWriter out, String line) {
        synchronized (out) {
            out.println(line);
            out.flush();
        }
    }

    private FaultKind kind(String name) {
        return Arrays.stream(FaultKind.values()).filter(kind -> kind.option().equals(name.strip())).findFirst()
                .orElseThrow(() -> usage("--only " + name + ": one of " + Arrays.stream(FaultKind.values())
                        .map(FaultKind::option).collect(Collectors.joining(", ")) + " was expected"));
    }

    private void check(boolean fine, String message) {
        if (!fine) {
            throw usage(message);
        }
    }

    private CommandLine.ParameterException usage(String message) {
        return new CommandLine.ParameterException(spec.commandLine(), message);
    }
}
