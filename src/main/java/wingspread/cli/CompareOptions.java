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

/** What is compared with what, and how well. */
final class CompareOptions {
    @Option(names = "--a", defaultValue = "usual", paramLabel = "SETTING",
            description = "usual, a TOML file with [figures], or figure=value,figure=value ('lab list --figures')")
    private String a;

    @Option(names = "--b", defaultValue = "usual", paramLabel = "SETTING", description = "the same for B")
    private String b;

    @Option(names = "--jar-a", paramLabel = "JAR",
            description = "another built jar of this program, whose softswitches A runs with")
    private Path jarA;

    @Option(names = "--jar-b", paramLabel = "JAR", description = "the same for B")
    private Path jarB;

    @Option(names = "--storm-a", paramLabel = "STORM", description = "A damps storms by these figures:"
            + " usual, a file as deploy/storm.toml, or damping.method=\"gap\",damping.ramp=\"2s\" (not with --jar-a)")
    private String stormA;

    @Option(names = "--storm-b", paramLabel = "STORM", description = "the same for B")
    private String stormB;

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

    /** Compares; {@code each} hears of every pair of runs. */
    Comparison compare(Experiment experiment, CommandLine line, BiConsumer<Model.Run, Model.Run> each) {
        if (stormA != null && jarA != null || stormB != null && jarB != null) {
            throw new CommandLine.ParameterException(line,
                    "a version by its jar and figures for storms on one side: either was expected");
        }
        Setting settingA = Setting.named(a);
        Setting settingB = Setting.named(b);
        Progress progress = Progress.on(line.getErr());
        try (SoftswitchPool poolA = pool(settingA, jarA, stormA);
                SoftswitchPool poolB = pool(settingB, jarB, stormB)) {
            Comparer comparer = new Comparer(experiment, sampling(line, pilot, budget, width),
                    () -> progress.step(budget, "pairs of days"), each);
            Comparison found = comparer.compare(
                    new Variant(nameA(), poolA, 0),
                    new Variant(nameB(), poolB, freshLuck ? 1 : 0), 0);
            progress.end();
            return found;
        }
    }

    String nameA() {
        return name(Setting.named(a), jarA, stormA);
    }

    String nameB() {
        return name(Setting.named(b), jarB, stormB);
    }

    private static SoftswitchPool pool(Setting setting, Path jar, String storm) {
        if (jar != null) {
            return new SoftswitchPool(() -> RemoteSoftswitches.start(jar, setting.figures()));
        }
        return SoftswitchPool.local(PlannerController.with(setting.figures(),
                storm == null ? null : StormConfig.named(storm).storm()));
    }

    private static String name(Setting setting, Path jar, String storm) {
        return setting.name() + (jar == null ? "" : " on " + jar) + (storm == null ? "" : ", storms: " + storm);
    }

    static Sampling sampling(CommandLine line, int pilot, int budget, double width) {
        try {
            return new Sampling(pilot, budget, width);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(line, e.getMessage());
        }
    }
}
