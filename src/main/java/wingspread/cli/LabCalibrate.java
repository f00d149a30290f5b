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

/** Compares the default parameters with themselves repeatedly, to measure how often a difference is declared. */
@Command(name = "calibrate", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Measures how often a comparison of A with itself, on new random days, declares a difference.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {
            "0:the expected share of 1 in 20 lies within the interval", "1:it does not",
            "2:the command line or a file is invalid"})
final class LabCalibrate implements Callable<Integer> {
    private static final double EXPECTED_SHARE = 0.05;

    @Mixin
    private LabOptions options;

    @Option(names = "--comparisons", defaultValue = "200", description = "number of comparisons (default: 200)")
    private int comparisons;

    @Option(names = "--width", defaultValue = "0.002", description = "as for 'lab compare' (default: 0.002)")
    private double width;

    @Option(names = "--pilot", defaultValue = "16", description = "as for 'lab compare' (default: 16)")
    private int pilot;

    @Option(names = "--budget", defaultValue = "200", description = "as for 'lab compare' (default: 200)")
    private int budget;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        new LogSilencer().apply();
        options.requirePositive("--comparisons", comparisons);
        PrintWriter out = spec.commandLine().getOut();
        long startNanos = System.nanoTime();
        int declared = 0;
        long pairs = 0;
        try (Experiment experiment = new Experiment(options.scenario(), options.seed(), options.threads());
                SoftswitchPool pool = SoftswitchPool.local(PlannerController.factory(ControlParameters.DEFAULTS))) {
            Comparer comparer = new Comparer(experiment,
                    CompareOptions.sampling(spec.commandLine(), pilot, budget, width), () -> { });
            for (int i = 0; i < comparisons; i++) {
                Comparison comparison = comparer.compare(new Variant("A", pool, 0), new Variant("A again", pool, 1),
                        i * budget);
                declared += comparison.service().excludesZero() ? 1 : 0;
                pairs += comparison.service().n();
            }
        }
        Calibration calibration = Calibration.of(comparisons, declared, pairs / (double) comparisons);
        out.printf(Locale.ROOT, "%d of %d comparisons of A with A declared a difference: %.3f, 95%% between %.3f and "
                + "%.3f; %.1f pairs each, %.0f s%n", declared, comparisons, calibration.share(),
                calibration.low(), calibration.high(), calibration.meanPairs(), (System.nanoTime() - startNanos) / 1e9);
        out.flush();
        return calibration.low() <= EXPECTED_SHARE && EXPECTED_SHARE <= calibration.high() ? 0 : 1;
    }
}
