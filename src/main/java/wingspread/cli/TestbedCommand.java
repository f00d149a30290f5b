package wingspread.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The testbed: real softswitch processes on the loopback, in the laboratory's model. */
@Command(name = "testbed", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Plays scenarios of the laboratory with real softswitch processes on the loopback.",
        subcommands = {TestbedRun.class, TestbedSoak.class, TestbedTimeline.class})
final class TestbedCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "testbed: no command given; --help lists them");
    }
}
