package wingspread.cli;

import java.nio.file.Path;
import java.util.function.BiConsumer;
import picocli.CommandLine;
import picocli.CommandLine.Option;
import wingspread.config.StormConfig;
import wingspread.lab.Experiment;
import wingspread.lab.compare.Comparer;
import wingspread.lab.compare.Comparer.Variant;
import wingspread.lab.compare.Comparison;
import wingspread.lab.compare.Sampling;
import wingspread.lab.compare.Setting;
import wingspread.lab.host.PlannerController;
import wingspread.lab.host.RemoteSoftswitches;
import wingspread.lab.host.SoftswitchPool;
import wingspread.lab.world.Model;

/** The options of a comparison: the two variants, A and B, and the precision of the result. */
final class CompareOptions {
    @Option(names = "--a", defaultValue = "usual", paramLabel = "SETTING",
            description =
            "parameters of A: usual, a TOML file with [figures], or name=value,name=value ('lab list --figures')")
    private String settingA;

    @Option(names = "--b", defaultValue = "usual", paramLabel = "SETTING", description = "the same for B")
    private String settingB;

    @Option(names = "--jar-a", paramLabel = "JAR",
            description = "jar of another version of this program, which hosts the softswitches of A")
    private Path jarA;

    @Option(names = "--jar-b", paramLabel = "JAR", description = "the same for B")
    private Path jarB;

    @Option(names = "--storm-a", paramLabel = "STORM", description = "storm control of A: usual, a file"
            + " such as deploy/storm.toml, or damping.method=\"gap\",damping.ramp=\"2s\" (not with --jar-a)")
    private String stormA;

    @Option(names = "--storm-b", paramLabel = "STORM", description = "the same for B")
    private String stormB;

    @Option(names = "--width", defaultValue = "0.005", paramLabel = "SHARE",
            description = "target half-width of the 95%% confidence interval (default: 0.005)")
    private double width;

    @Option(names = "--pilot", defaultValue = "16", description = "pairs of days in the first stage (default: 16)")
    private int pilot;

    @Option(names = "--budget", defaultValue = "400", description = "maximum number of pairs of days (default: 400)")
    private int budget;

    @Option(names = "--fresh-luck",
            description = "the softswitches of B draw random numbers independently of A, as to compare A with itself")
    private boolean independentRandom;

    /**
     * Runs the comparison.
     *
     * @param onPair called for each pair of runs, that of A first
     */
    Comparison compare(Experiment experiment, CommandLine line, BiConsumer<Model.Run, Model.Run> onPair) {
        if (stormA != null && jarA != null || stormB != null && jarB != null) {
            throw new CommandLine.ParameterException(line,
                    "a jar and storm parameters were given for the same variant; expected only one of them");
        }
        Setting parsedA = Setting.named(settingA);
        Setting parsedB = Setting.named(settingB);
        Progress progress = Progress.forConsole(line.getErr());
        try (SoftswitchPool poolA = pool(parsedA, jarA, stormA);
                SoftswitchPool poolB = pool(parsedB, jarB, stormB)) {
            Comparer comparer = new Comparer(experiment, sampling(line, pilot, budget, width),
                    () -> progress.step(budget, "pairs of days"), onPair);
            Comparison comparison = comparer.compare(
                    new Variant(nameA(), poolA, 0),
                    new Variant(nameB(), poolB, independentRandom ? 1 : 0), 0);
            progress.end();
            return comparison;
        }
    }

    /** Returns the name of A for display. */
    String nameA() {
        return name(Setting.named(settingA), jarA, stormA);
    }

    /** Returns the name of B for display. */
    String nameB() {
        return name(Setting.named(settingB), jarB, stormB);
    }

    private static SoftswitchPool pool(Setting setting, Path jar, String storm) {
        if (jar != null) {
            return new SoftswitchPool(() -> RemoteSoftswitches.start(jar, setting.parameters()));
        }
        return SoftswitchPool.local(PlannerController.factory(setting.parameters(),
                storm == null ? null : StormConfig.parse(storm).storm()));
    }

    private static String name(Setting setting, Path jar, String storm) {
        return setting.name() + (jar == null ? "" : " on " + jar) + (storm == null ? "" : ", storms: " + storm);
    }

    /**
     * Returns the sampling plan of a comparison.
     *
     * @throws CommandLine.ParameterException if the numbers are invalid
     */
    static Sampling sampling(CommandLine line, int pilot, int budget, double width) {
        try {
            return new Sampling(pilot, budget, width);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(line, e.getMessage());
        }
    }
}
