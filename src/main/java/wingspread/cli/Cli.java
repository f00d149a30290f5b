package wingspread.cli;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import wingspread.lab.host.HostException;
import wingspread.record.Recording;
import wingspread.toml.TomlException;

/** The command line: what {@code serve} and {@code wirehost} alone do not need. */
@Command(name = "wingspread", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "A softswitch, and a laboratory for it.", subcommands = {LabCommand.class},
        footer = {"", "serve     a softswitch; reads LB_NAME, LB_LISTEN, LB_CONFIG",
            "wirehost  the same decisions on the simulator's wire, on standard input and output"})
public final class Cli implements Runnable {
    /** Exit code where the command line or a file of settings cannot be taken. */
    public static final int USAGE = 2;

    @Spec
    private CommandSpec spec;

    private Cli() { }

    /** Runs a command; the exit code. */
    public static int run(String... args) {
        return commandLine().execute(args);
    }

    /** The command line, whose outputs can be set elsewhere. */
    public static CommandLine commandLine() {
        CommandLine line = new CommandLine(new Cli());
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setParameterExceptionHandler((e, args) -> complain(e.getCommandLine(), e.getMessage()));
        line.setExecutionExceptionHandler((e, command, result) -> {
            if (e instanceof TomlException || e instanceof HostException
                    || e instanceof Recording.NoRecordingException) {
                return complain(command, e.getMessage());
            }
            throw e;
        });
        return line;
    }

    /** One line on the error output. */
    private static int complain(CommandLine command, String message) {
        PrintWriter err = command.getErr();
        err.println("wingspread: " + message.replaceAll("\\s*\\R\\s*", " "));
        err.flush();
        return USAGE;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "no command given; --help lists them");
    }
}
