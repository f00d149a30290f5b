package wingspread.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import wingspread.lab.Experiment;
import wingspread.lab.compare.Comparison;
import wingspread.lab.report.Report;

/** Compares two variants as {@link LabCompare} does and writes an HTML page with plots. */
@Command(name = "report", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Compares as 'lab compare' does and writes an HTML page with plots; the exit codes are the same.")
final class LabReport implements Callable<Integer> {
    @Mixin
    private LabOptions options;

    @Mixin
    private CompareOptions compare;

    @Option(names = "--out", defaultValue = "report.html", paramLabel = "FILE",
            description = "file to write the page to (default: report.html)")
    private Path out;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        new LogSilencer().apply();
        // Draws the plots without a display.
        System.setProperty("java.awt.headless", "true");
        try (Experiment experiment = new Experiment(options.scenario(), options.seed(), options.threads())) {
            Report report = new Report(compare.nameA(), compare.nameB());
            Comparison comparison = compare.compare(experiment, spec.commandLine(), report::add);
            Files.writeString(out, report.page(comparison));
            spec.commandLine().getOut().println(comparison.sentence() + " " + out);
            spec.commandLine().getOut().flush();
            return LabCompare.exitCode(comparison.verdict());
        }
    }
}
