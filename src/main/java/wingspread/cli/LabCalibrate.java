package wingspread.cli;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import wingspread.control.ControlParameters;
import wingspread.lab.Experiment;
import wingspread.lab.compare.Calibration;
import wingspread.lab.compare.Comparer;
import wingspread.lab.compare.Comparer.Variant;
import wingspread.lab.compare.Comparison;
import wingspread.lab.host.PlannerController;
import wingspread.lab.host.SoftswitchPool;

/** Compares the usual setting with itself, again and again, to see how often a difference is declared. */
@Command(name = "calibrate", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Counts how often A against A, on fresh days and with fresh luck, is declared different.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:one in twenty lies within the interval",
            "1:it does not", "2:the command line or a file cannot be taken"})
final class LabCalibrate implements Callable<Integer> {
    private static final double EXPECTED = 0.05;

    @Mixin
    private LabOptions options;

    @Option(names = "--comparisons", defaultValue = "200", description = "how many (default: 200)")
    private int comparisons;

    @Option(names = "--width", defaultValue = "0.002", description = "as for compare (default: 0.002)")
    private double width;

    @Option(names = "--pilot", defaultValue = "16", description = "as for compare (default: 16)")
    private int pilot;

    @Option(names = "--budget", defaultValue = "200", description = "as for compare (default: 200)")
    private int budget;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        new QuietModules().apply();
        options.atLeastOne("--comparisons", comparisons);
        PrintWriter out = spec.commandLine().getOut();
        long before = System.nanoTime();
        int declared = 0;
        long pairs = 0;
        try (Experiment experiment = new Experiment(options.scenario(), options.seed(), options.threads());
                SoftswitchPool pool = SoftswitchPool.local(PlannerController.with(ControlParameters.DEFAULTS))) {
            Comparer comparer = new Comparer(experiment,
                    CompareOptions.sampling(spec.commandLine(), pilot, budget, width), () -> { });
            for (int i = 0; i < comparisons; i++) {
                Comparison found = comparer.compare(new Variant("A", pool, 0), new Variant("A again", pool, 1),
                        i * budget);
                declared += found.service().excludesZero() ? 1 : 0;
                pairs += found.service().n();
            }
        }
        Calibration found = Calibration.of(comparisons, declared, pairs / (double) comparisons);
        out.printf(Locale.ROOT, "%d of %d comparisons of A with A declared a difference: %.3f, 95%% between %.3f and "
                + "%.3f; %.1f pairs each, %.0f s%n", declared, comparisons, found.share(), found.low(), found.high(),
                found.meanPairs(), (System.nanoTime() - before) / 1e9);
        out.flush();
        return found.low() <= EXPECTED && EXPECTED <= found.high() ? 0 : 1;
    }
}
