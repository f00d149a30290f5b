package wingspread.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import wingspread.lab.Experiment;
import wingspread.lab.compare.Comparison;
import wingspread.lab.compare.Comparison.Verdict;

/** Compares two settings of the control parameters, or two versions of the program, on the same simulated days. */
@Command(name = "compare", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Reports whether B gives better or worse service than A, by how much, and with what confidence.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:no difference found", "1:a rule was broken",
            "2:the command line or a file is invalid", "3:B is better", "4:B is worse",
            "5:undecided, the budget is spent"})
final class LabCompare implements Callable<Integer> {
    private static final int EXIT_BETTER = 3;
    private static final int EXIT_WORSE = 4;
    private static final int EXIT_UNDECIDED = 5;

    @Mixin
    private LabOptions options;

    @Mixin
    private CompareOptions compare;

    @Option(names = "--json", paramLabel = "FILE", description = "write all results to this file")
    private Path json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        new LogSilencer().apply();
        PrintWriter out = spec.commandLine().getOut();
        long startNanos = System.nanoTime();
        try (Experiment experiment = new Experiment(options.scenario(), options.seed(), options.threads())) {
            Comparison comparison = compare.compare(experiment, spec.commandLine(), (runA, runB) -> { });
            print(out, comparison);
            out.printf(Locale.ROOT, "%d pairs in %d stages, %d calls, %.1f s%n", comparison.service().n(),
                    comparison.stages(), comparison.calls(), (System.nanoTime() - startNanos) / 1e9);
            out.println(comparison.sentence());
            out.flush();
            if (json != null) {
                write(comparison);
            }
            return exitCode(comparison.verdict());
        }
    }

    private void write(Comparison comparison) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode tree = mapper.valueToTree(comparison);
        tree.put("verdict", comparison.verdict().name()).put("sentence", comparison.sentence());
        Files.writeString(json, mapper.writerWithDefaultPrettyPrinter().writeValueAsString(tree) + "\n");
    }

    private static void print(PrintWriter out, Comparison comparison) {
        out.printf(Locale.ROOT, "A: %s%nB: %s%nscenario: %s, seed %d%n", comparison.a(), comparison.b(),
                comparison.scenario(), comparison.seed());
        out.printf(Locale.ROOT, "%-18s %9s %9s %10s %10s %10s%n", "", "A", "B", "B less A", "from", "to");
        row(out, new Comparison.Part("service", comparison.meanA(), comparison.meanB(), comparison.service()));
        comparison.parts().forEach(part -> row(out, part));
        comparison.breaches().forEach(breach -> out.println("BROKEN: " + breach));
    }

    private static void row(PrintWriter out, Comparison.Part part) {
        out.printf(Locale.ROOT, "%-18s %9.4f %9.4f %+10.4f %+10.4f %+10.4f%s%n", part.name(), part.meanA(),
                part.meanB(), part.difference().mean(), part.difference().low(), part.difference().high(),
                part.difference().excludesZero() ? " *" : "");
    }

    /** Returns the exit code for a verdict. */
    static int exitCode(Verdict verdict) {
        return switch (verdict) {
            case NO_DIFFERENCE -> 0;
            case RULE_BROKEN -> 1;
            case BETTER -> EXIT_BETTER;
            case WORSE -> EXIT_WORSE;
            case UNDECIDED -> EXIT_UNDECIDED;
        };
    }
}
