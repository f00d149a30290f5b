package wingspread.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The commands of the testbed, which runs real softswitch processes on the loopback interface. */
@Command(name = "testbed", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Runs scenarios of the laboratory with real softswitch processes on the loopback interface.",
        subcommands = {TestbedRun.class, TestbedSoak.class, TestbedTimeline.class})
final class TestbedCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(),
                "testbed: missing command; --help lists the commands");
    }
}
