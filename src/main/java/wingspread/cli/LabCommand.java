package wingspread.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The commands of the laboratory, which simulates a fleet in virtual time. */
@Command(name = "lab", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Runs and compares softswitches in a simulated fleet.", subcommands = {LabList.class,
            LabRun.class, LabCompare.class, LabReport.class, LabCalibrate.class, LabOutage.class,
            LabRecord.class, LabHost.class})
final class LabCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "lab: missing command; --help lists the commands");
    }
}
