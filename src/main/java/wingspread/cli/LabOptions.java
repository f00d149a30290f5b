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

/** What all commands of the laboratory take. */
final class LabOptions {
    @Option(names = "--scenario", defaultValue = "usual", paramLabel = "NAME|FILE",
            description = "a shipped scenario ('lab list' has them) or a TOML file (default: ${DEFAULT-VALUE})")
    private String scenario;

    @Option(names = "--set", paramLabel = "TOML",
            description = "one more line of TOML over the scenario, as in --set 'load.level = 1.2'")
    private String[] more = new String[0];

    @Option(names = "--recorded", paramLabel = "FILE", arity = "1..*",
            description = "recordings whose first tries are played in place of drawn calls, one for each exchange")
    private List<Path> recorded = new ArrayList<>();

    @Option(names = "--seed", defaultValue = "1", description = "where all randomness comes from (default: 1)")
    private long seed;

    @Option(names = "--threads", description = "replications played side by side (default: one for each core)")
    private int threads = Runtime.getRuntime().availableProcessors();

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    Scenario scenario() {
        Scenario read = Scenario.named(scenario);
        Scenario whole = more.length == 0 ? read : read.with(String.join("\n", more));
        return recorded.isEmpty() ? whole : whole.with(recorded.stream().map(this::read).toList());
    }

    /** Whoever plays a file that was cut off is told so. */
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
        return atLeastOne("--threads", threads);
    }

    /** A count that was given for an option, if it is one or more. */
    int atLeastOne(String option, int count) {
        if (count < 1) {
            throw new CommandLine.ParameterException(spec.commandLine(),
                    option + " = " + count + ": 1 or more was expected");
        }
        return count;
    }
}
