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

/** Compares, and writes a page with plots. */
@Command(name = "report", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Compares like 'compare' and writes one page of HTML with plots; the exit codes are the same.")
final class LabReport implements Callable<Integer> {
    @Mixin
    private LabOptions options;

    @Mixin
    private CompareOptions compare;

    @Option(names = "--out", defaultValue = "report.html", paramLabel = "FILE",
            description = "where the page goes (default: report.html)")
    private Path out;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        new QuietModules().apply();
        // The plots are drawn without a screen.
        System.setProperty("java.awt.headless", "true");
        try (Experiment experiment = new Experiment(options.scenario(), options.seed(), options.threads())) {
            Report report = new Report(compare.nameA(), compare.nameB());
            Comparison found = compare.compare(experiment, spec.commandLine(), report::add);
            Files.writeString(out, report.page(found));
            spec.commandLine().getOut().println(found.sentence() + " " + out);
            spec.commandLine().getOut().flush();
            return LabCompare.exitCode(found.verdict());
        }
    }
}
