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

/** The command line: what {@code serve} and {@code wirehost} alone do not need. */
@Command(name = "wingspread", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "A softswitch, and a laboratory for it.", subcommands = {TryCommand.class, LabCommand.class,
            TestbedCommand.class})
public final class Cli implements Runnable {
    /** Exit code where the command line or a file of settings cannot be taken. */
    public static final int USAGE = 2;

    @Spec
    private CommandSpec spec;

    private Cli() { }

    /** A command that the program has without this package: it takes no options of its own. */
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

    /** Runs a command; the exit code, or what {@code serve} or {@code wirehost} give. */
    public static int run(IntSupplier serve, IntSupplier wirehost, String... args) {
        CommandLine line = commandLine();
        delegate(line, "serve", serve, "Runs a softswitch; reads LB_NAME, LB_LISTEN and LB_CONFIG.");
        delegate(line, "wirehost", wirehost, "Hosts the decisions on the simulator's wire, on standard input.");
        return line.execute(args);
    }

    private static void delegate(CommandLine line, String name, IntSupplier command, String what) {
        CommandLine sub = new CommandLine(new Delegate(command));
        sub.getCommandSpec().usageMessage().description(what);
        line.addSubcommand(name, sub);
    }

    /** The command line, whose outputs can be set elsewhere. */
    public static CommandLine commandLine() {
        CommandLine line = new CommandLine(new Cli());
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setParameterExceptionHandler((e, args) -> complain(e.getCommandLine(), e.getMessage()));
        line.setExecutionExceptionHandler((e, command, result) -> {
            if (e instanceof TomlException || e instanceof HostException
                    || e instanceof Recording.NoRecordingException || e instanceof SoakException) {
                return complain(command, e.getMessage());
            }
            if (e instanceof IOException) {
                return complain(command, e.getClass().getSimpleName() + ": " + e.getMessage());
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
