package wingspread.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import java.util.function.IntSupplier;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import wingspread.lab.host.HostException;
import wingspread.record.Recording;
import wingspread.testbed.soak.SoakException;
import wingspread.toml.TomlException;

/**
 * The command line of the program.
 *
 * <p>{@code serve} and {@code wirehost} without options start without this class, so that they do not load its
 * libraries.
 */
@Command(name = "wingspread", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "A softswitch, and a laboratory to simulate and test it.",
        subcommands = {TryCommand.class, LabCommand.class, TestbedCommand.class})
public final class Cli implements Runnable {
    /** Exit code for an invalid command line or file. */
    public static final int USAGE_ERROR = 2;

    @Spec
    private CommandSpec spec;

    private Cli() { }

    /** A command that is implemented outside this package and has no options of its own. */
    @Command(mixinStandardHelpOptions = true, versionProvider = Version.class)
    private static final class Delegate implements Callable<Integer> {
        private final IntSupplier command;

        Delegate(IntSupplier command) {
            this.command = command;
        }

        @Override
        public Integer call() {
            return command.getAsInt();
        }
    }

    /**
     * Runs a command.
     *
     * @param serve starts the softswitch; returns an exit code, or -1 if the softswitch keeps running
     * @param wirehost connects the call control to the simulator and returns the exit code
     * @return the exit code of the command, as returned by {@code serve} or {@code wirehost} for these two
     */
    public static int run(IntSupplier serve, IntSupplier wirehost, String... args) {
        CommandLine line = commandLine();
        delegate(line, "serve", serve, "Runs a softswitch; reads LB_NAME, LB_LISTEN and LB_CONFIG.");
        delegate(line, "wirehost", wirehost,
                "Connects the call control to the simulator, over standard input and output.");
        return line.execute(args);
    }

    private static void delegate(CommandLine line, String name, IntSupplier command, String description) {
        CommandLine sub = new CommandLine(new Delegate(command));
        sub.getCommandSpec().usageMessage().description(description);
        line.addSubcommand(name, sub);
    }

    /** Returns the command line without {@code serve} and {@code wirehost}; its output streams can be replaced. */
    public static CommandLine commandLine() {
        CommandLine line = new CommandLine(new Cli());
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setParameterExceptionHandler((e, args) -> printError(e.getCommandLine(), e.getMessage()));
        line.setExecutionExceptionHandler((e, command, result) -> {
            if (e instanceof TomlException || e instanceof HostException
                    || e instanceof Recording.InvalidRecordingException || e instanceof SoakException) {
                return printError(command, e.getMessage());
            }
            if (e instanceof IOException) {
                return printError(command, e.getClass().getSimpleName() + ": " + e.getMessage());
            }
            throw e;
        });
        return line;
    }

    /** Prints an error as one line, joining the lines of the message, and returns the exit code. */
    private static int printError(CommandLine command, String message) {
        PrintWriter err = command.getErr();
        err.println("wingspread: " + message.replaceAll("\\s*\\R\\s*", " "));
        err.flush();
        return USAGE_ERROR;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing command; --help lists the commands");
    }
}
