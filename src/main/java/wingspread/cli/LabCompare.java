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

    @Mixin
    private CompareOptions compare;

    @Option(names = "--json", paramLabel = "FILE", description = "writes all figures there")
    private Path json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        new QuietModules().apply();
        PrintWriter out = spec.commandLine().getOut();
        long before = System.nanoTime();
        try (Experiment experiment = new Experiment(options.scenario(), options.seed(), options.threads())) {
            Comparison found = compare.compare(experiment, spec.commandLine(), (runA, runB) -> { });
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

    private void write(Comparison found) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode tree = mapper.valueToTree(found);
        tree.put("verdict", found.verdict().name()).put("sentence", found.sentence());
        Files.writeString(json, mapper.writerWithDefaultPrettyPrinter().writeValueAsString(tree) + "\n");
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

    static int exitCode(Verdict verdict) {
        return switch (verdict) {
            case NO_DIFFERENCE -> 0;
            case RULE_BROKEN -> 1;
            case BETTER -> BETTER;
            case WORSE -> WORSE;
            case UNDECIDED -> UNDECIDED;
        };
    }
}
