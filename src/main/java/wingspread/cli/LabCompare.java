package wingspread.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import wingspread.lab.Experiment;
import wingspread.lab.compare.Comparer;
import wingspread.lab.compare.Comparer.Variant;
import wingspread.lab.compare.Comparison;
import wingspread.lab.compare.Comparison.Verdict;
import wingspread.lab.compare.Interval;
import wingspread.lab.compare.Sampling;
import wingspread.lab.compare.Setting;
import wingspread.lab.host.PlannerController;
import wingspread.lab.host.RemoteSoftswitches;
import wingspread.lab.host.SoftswitchPool;

/** Compares two settings, or two versions, on the same days. */
@Command(name = "compare", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Says whether service gets better or worse from A to B, by how much, and how sure that is.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:no difference found", "1:a rule was broken",
            "2:the command line or a file cannot be taken", "3:B is better", "4:B is worse",
            "5:undecided, the budget was spent"})
final class LabCompare implements Callable<Integer> {
    private static final int BETTER = 3;
    private static final int WORSE = 4;
    private static final int UNDECIDED = 5;

    @Mixin
    private LabOptions options;

    @Option(names = "--a", defaultValue = "usual", paramLabel = "SETTING",
            description = "usual, a TOML file with [figures], or figure=value,figure=value (default: usual)")
    private String a;

    @Option(names = "--b", defaultValue = "usual", paramLabel = "SETTING", description = "the same for B")
    private String b;

    @Option(names = "--jar-a", paramLabel = "JAR",
            description = "another built jar of this program, whose softswitches A runs with")
    private Path jarA;

    @Option(names = "--jar-b", paramLabel = "JAR", description = "the same for B")
    private Path jarB;

    @Option(names = "--width", defaultValue = "0.005", paramLabel = "SHARE",
            description = "half the width of the 95%% interval that is asked for (default: 0.005)")
    private double width;

    @Option(names = "--pilot", defaultValue = "16", description = "pairs of days played first (default: 16)")
    private int pilot;

    @Option(names = "--budget", defaultValue = "400", description = "the most pairs of days (default: 400)")
    private int budget;

    @Option(names = "--fresh-luck",
            description = "the softswitches of B draw random numbers of their own, as in A against A")
    private boolean freshLuck;

    @Option(names = "--json", paramLabel = "FILE", description = "writes all figures there")
    private Path json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        new QuietModules().apply();
        Setting settingA = Setting.named(a);
        Setting settingB = Setting.named(b);
        PrintWriter out = spec.commandLine().getOut();
        long before = System.nanoTime();
        try (Experiment experiment = new Experiment(options.scenario(), options.seed(), options.threads());
                SoftswitchPool poolA = pool(settingA, jarA);
                SoftswitchPool poolB = pool(settingB, jarB)) {
            Comparison found = new Comparer(experiment, sampling(), this::progress).compare(
                    new Variant(name(settingA, jarA), poolA, 0),
                    new Variant(name(settingB, jarB), poolB, freshLuck ? 1 : 0), 0);
            print(out, found);
            out.printf(Locale.ROOT, "%d pairs in %d stages, %d calls, %.1f s%n", found.service().n(), found.stages(),
                    found.calls(), (System.nanoTime() - before) / 1e9);
            out.println(found.sentence());
            out.flush();
            if (json != null) {
                write(found);
            }
            return exitCode(found.verdict());
        }
    }

    private static SoftswitchPool pool(Setting setting, Path jar) {
        return jar == null ? SoftswitchPool.local(PlannerController.with(setting.figures()))
                : new SoftswitchPool(() -> RemoteSoftswitches.start(jar, setting.figures()));
    }

    private static String name(Setting setting, Path jar) {
        return setting.name() + (jar == null ? "" : " on " + jar);
    }

    private void write(Comparison found) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode tree = mapper.valueToTree(found);
        tree.put("verdict", found.verdict().name()).put("sentence", found.sentence());
        Files.writeString(json, mapper.writerWithDefaultPrettyPrinter().writeValueAsString(tree) + "\n");
    }

    private Sampling sampling() {
        try {
            return new Sampling(pilot, budget, width);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    /** Told only where somebody sits before a terminal. */
    private void progress(Interval sofar) {
        if (System.console() != null) {
            PrintWriter err = spec.commandLine().getErr();
            err.printf(Locale.ROOT, "%d of at most %d pairs: %+.4f within %.4f%n", sofar.n(), budget, sofar.mean(),
                    sofar.half());
            err.flush();
        }
    }

    private static void print(PrintWriter out, Comparison found) {
        out.printf(Locale.ROOT, "A: %s%nB: %s%nscenario: %s, seed %d%n", found.a(), found.b(), found.scenario(),
                found.seed());
        out.printf(Locale.ROOT, "%-18s %9s %9s %10s %10s %10s%n", "", "A", "B", "B less A", "from", "to");
        row(out, new Comparison.Part("service", found.meanA(), found.meanB(), found.service()));
        found.parts().forEach(part -> row(out, part));
        found.breaches().forEach(breach -> out.println("BROKEN: " + breach));
    }

    private static void row(PrintWriter out, Comparison.Part part) {
        out.printf(Locale.ROOT, "%-18s %9.4f %9.4f %+10.4f %+10.4f %+10.4f%s%n", part.name(), part.meanA(),
                part.meanB(), part.difference().mean(), part.difference().low(), part.difference().high(),
                part.difference().excludesZero() ? " *" : "");
    }

    private static int exitCode(Verdict verdict) {
        return switch (verdict) {
            case NO_DIFFERENCE -> 0;
            case RULE_BROKEN -> 1;
            case BETTER -> BETTER;
            case WORSE -> WORSE;
            case UNDECIDED -> UNDECIDED;
        };
    }
}
