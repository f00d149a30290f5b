package wingspread.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import wingspread.lab.scenario.Scenario;
import wingspread.testbed.Testbed;

/** A demonstration that needs no set-up: three softswitch processes with stand-ins and ten seconds of calls. */
@Command(name = "try", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Runs three softswitch processes with stand-ins on the loopback interface for ten seconds of"
                + " calls and prints the results. Needs no files and no environment variables.")
final class TryCommand implements Callable<Integer> {
    private static final String SCENARIO_TOML = """
            about = "three softswitches on this machine, ten seconds of calls"
            length = "10s"
            fleet = {exchanges = 3, erlangs = 60}
            load = {level = 0.9, drift-time = "0s"}
            """;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        new LogSilencer().apply();
        Scenario scenario = Scenario.parse(SCENARIO_TOML, "try");
        Path folder = Files.createTempDirectory("try");
        return TestbedTable.print(spec.commandLine().getOut(), scenario,
                new Testbed(scenario, 1, folder, null, 2, List.of()).play(), folder);
    }
}
