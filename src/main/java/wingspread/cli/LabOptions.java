package wingspread.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import wingspread.lab.scenario.Scenario;
import wingspread.record.Recording;

/** The options that the commands of the laboratory share. */
final class LabOptions {
    @Option(names = "--scenario", defaultValue = "usual", paramLabel = "NAME|FILE",
            description = "a built-in scenario (see 'lab list') or a TOML file (default: ${DEFAULT-VALUE})")
    private String scenario;

    @Option(names = "--set", paramLabel = "TOML",
            description = "a line of TOML that overrides the scenario, as in --set 'load.level = 1.2'")
    private String[] overrides = new String[0];

    @Option(names = "--recorded", paramLabel = "FILE", arity = "1..*",
            description = "recordings, one for each exchange, whose fresh calls are replayed in place of random ones")
    private List<Path> recorded = new ArrayList<>();

    @Option(names = "--seed", defaultValue = "1", description = "seed of the random numbers (default: 1)")
    private long seed;

    @Option(names = "--threads", description = "replications run in parallel (default: one for each processor)")
    private int threads = Runtime.getRuntime().availableProcessors();

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    /** Returns the scenario with its overrides and recorded traffic. */
    Scenario scenario() {
        Scenario base = Scenario.named(scenario);
        Scenario overridden = overrides.length == 0 ? base : base.with(String.join("\n", overrides));
        return recorded.isEmpty() ? overridden : overridden.with(recorded.stream().map(this::read).toList());
    }

    /** Reads a recording; prints a warning if the file is truncated or damaged, and uses the calls before that. */
    private Recording read(Path file) {
        Recording recording = Recording.read(file);
        if (recording.fault() != null) {
            PrintWriter err = spec.commandLine().getErr();
            err.println("wingspread: " + file + ": " + recording.fault());
            err.flush();
        }
        return recording;
    }

    long seed() {
        return seed;
    }

    int threads() {
        return requirePositive("--threads", threads);
    }

    /**
     * Returns the count that was given for an option.
     *
     * @throws CommandLine.ParameterException if it is less than 1
     */
    int requirePositive(String option, int count) {
        if (count < 1) {
            throw new CommandLine.ParameterException(spec.commandLine(),
                    option + " = " + count + ": expected 1 or more");
        }
        return count;
    }
}
