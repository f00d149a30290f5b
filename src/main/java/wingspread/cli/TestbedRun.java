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
import wingspread.testbed.SocketSoftswitches.Kind;
import wingspread.testbed.Testbed;
import wingspread.toml.Duration;

/** Plays one day of a scenario with real softswitch processes. */
@Command(name = "run", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Plays one day of a scenario, in the wall's time, with a real softswitch process for each"
                + " exchange, and prints the service of each class.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:played, all rules kept", "1:a rule was broken",
            "2:the command line or a file cannot be taken"})
final class TestbedRun implements Callable<Integer> {
    private static final Pattern FAULT = Pattern.compile("(kill|reset|stall):([0-9]{1,3})@(.+)");

    @Parameters(paramLabel = "SCENARIO", description = "a shipped scenario ('lab list' has them) or a TOML file")
    private String scenario;

    @Option(names = "--set", paramLabel = "TOML", description = "one more line of TOML over the scenario")
    private String[] more = new String[0];

    @Option(names = "--seed", defaultValue = "1", description = "where the day comes from (default: 1)")
    private long seed;

    @Option(names = "--storm", paramLabel = "STORM", description = "the softswitches damp storms by these figures,"
            + " whether or not the file is on: usual, a file as deploy/storm.toml, or damping.method=\"gap\"")
    private String storm;

    @Option(names = "--connections", defaultValue = "8",
            description = "connections that the callers of each softswitch share (default: 8)")
    private int connections;

    @Option(names = "--fault", paramLabel = "KIND:PLACE@TIME", split = ",", description = "strikes the softswitch of a"
            + " place: kill (started again after half a second), reset (of its connections to exchanges) or stall (its"
            + " callers read nothing for two seconds), as in kill:0@12s")
    private List<String> faults = new ArrayList<>();

    @Option(names = "--folder", paramLabel = "DIR",
            description = "where configurations and logs go (default: a new one among temporary files)")
    private Path folder;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        new QuietModules().apply();
        Scenario read = Scenario.named(scenario);
        Scenario whole = more.length == 0 ? read : read.with(String.join("\n", more));
        if (connections < 1) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--connections: 1 or more was expected");
        }
        Path where = folder == null ? Files.createTempDirectory("testbed") : Files.createDirectories(folder);
        Testbed testbed = new Testbed(whole, seed, where, storm == null ? null : StormConfig.turnedOn(storm),
                connections, faults.stream().map(this::fault).toList());
        return TestbedTable.print(spec.commandLine().getOut(), whole, testbed.play(), where);
    }

    private Fault fault(String text) {
        Matcher parts = FAULT.matcher(text);
        if (!parts.matches()) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--fault " + text
                    + ": kill, reset or stall, a place and a time were expected, as in kill:0@12s");
        }
        return new Fault(Kind.valueOf(parts.group(1).toUpperCase(Locale.ROOT)), Integer.parseInt(parts.group(2)),
                Duration.parse(parts.group(3)).micros());
    }
}
