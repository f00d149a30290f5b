package wingspread.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wingspread.config.StormConfig;
import wingspread.lab.scenario.Scenario;
import wingspread.testbed.SocketSoftswitches.Fault;
import wingspread.testbed.SocketSoftswitches.FaultKind;
import wingspread.testbed.Testbed;
import wingspread.toml.Duration;

/** Runs one day of a scenario with real softswitch processes. */
@Command(name = "run", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Runs one day of a scenario in real time, with a softswitch process for each"
                + " exchange, and prints the service of each class of call.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:all rules were kept", "1:a rule was broken",
            "2:the command line or a file is invalid"})
final class TestbedRun implements Callable<Integer> {
    private static final Pattern FAULT_PATTERN = Pattern.compile("(kill|reset|stall):([0-9]{1,3})@(.+)");

    @Parameters(paramLabel = "SCENARIO", description = "a built-in scenario (see 'lab list') or a TOML file")
    private String scenario;

    @Option(names = "--set", paramLabel = "TOML", description = "a line of TOML that overrides the scenario")
    private String[] overrides = new String[0];

    @Option(names = "--seed", defaultValue = "1", description = "seed of the random numbers (default: 1)")
    private long seed;

    @Option(names = "--storm", paramLabel = "STORM", description = "storm control of the softswitches, also if the"
            + " file does not enable it: usual, a file such as deploy/storm.toml, or damping.method=\"gap\"")
    private String storm;

    @Option(names = "--connections", defaultValue = "8",
            description = "connections that the callers of each softswitch share (default: 8)")
    private int connections;

    @Option(names = "--fault", paramLabel = "KIND:PLACE@TIME", split = ",", description = "fault to inject into the"
            + " softswitch: kill (restarted after 0.5 s), reset (of its connections to exchanges) or stall (its callers"
            + " do not read for 2 s), as in kill:0@12s")
    private List<String> faults = new ArrayList<>();

    @Option(names = "--folder", paramLabel = "DIR",
            description = "directory for configurations and logs (default: a new temporary directory)")
    private Path folder;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        new LogSilencer().apply();
        Scenario base = Scenario.named(scenario);
        Scenario overridden = overrides.length == 0 ? base : base.with(String.join("\n", overrides));
        if (connections < 1) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--connections: expected 1 or more");
        }
        Path directory = folder == null ? Files.createTempDirectory("testbed") : Files.createDirectories(folder);
        Testbed testbed = new Testbed(overridden, seed, directory,
                storm == null ? null : StormConfig.toEnabledToml(storm),
                connections, faults.stream().map(this::fault).toList());
        return TestbedTable.print(spec.commandLine().getOut(), overridden, testbed.play(), directory);
    }

    private Fault fault(String text) {
        Matcher parts = FAULT_PATTERN.matcher(text);
        if (!parts.matches()) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--fault " + text
                    + ": expected kill, reset or stall, the softswitch's number and a time, as in kill:0@12s");
        }
        return new Fault(FaultKind.valueOf(parts.group(1).toUpperCase(Locale.ROOT)), Integer.parseInt(parts.group(2)),
                Duration.parse(parts.group(3)).micros());
    }
}
