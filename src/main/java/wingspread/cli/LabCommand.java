package wingspread.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The laboratory: a model of a fleet in virtual time. */
@Command(name = "lab", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Plays and compares softswitches on a model of a fleet.", subcommands = {LabList.class,
            LabRun.class, LabCompare.class, LabReport.class, LabCalibrate.class, LabOutage.class,
            LabRecord.class, LabHost.class})
final class LabCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "lab: no command given; --help lists them");
    }
}
