package wingspread;

import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.cli.Cli;
import wingspread.config.ConfigException;
import wingspread.config.FeatureToggle;
import wingspread.config.SipConfig;
import wingspread.config.StormConfig;
import wingspread.net.Signals;
import wingspread.record.RecordConfig;
import wingspread.toml.TomlException;
import wingspread.wirehost.WireHost;

/** The entry point of the program. */
public final class Main {
    private static final Logger LOG = LoggerFactory.getLogger(Main.class);
    private static final Path SIP_FILE = Path.of("deploy/sip.toml");
    private static final Path STORM_FILE = Path.of("deploy/storm.toml");
    private static final Path RECORD_FILE = Path.of("deploy/record.toml");

    private Main() { }

    /**
     * Runs one command.
     *
     * @param args {@code serve} for a real softswitch, {@code wirehost} for the simulator's adapter, or another
     *     command that {@code --help} lists
     */
    public static void main(String[] args) {
        int exitCode = run(args);
        if (exitCode >= 0) {
            System.exit(exitCode);
        }
    }

    /** Runs one command and returns its exit code, or -1 if it keeps running until a signal ends it. */
    static int run(String[] args) {
        // Shortens the start of serve: the command-line library is loaded only for the other commands.
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "wirehost":
                return WireHost.run();
            case "serve":
                return serve();
            default:
                return Cli.run(Main::serve, WireHost::run, args);
        }
    }

    private static int serve() {
        try {
            Signals.installHandlers("HUP", "TERM", "INT");
            new Softswitch(System.getenv(), SipConfig.read(SIP_FILE),
                    FeatureToggle.mayBeEnabled(RECORD_FILE) ? RecordConfig.read(RECORD_FILE) : null,
                    StormConfig.read(STORM_FILE)).start();
            return -1;
        } catch (ConfigException | TomlException | ReflectiveOperationException e) {
            LOG.error("wingspread: {}", e.getMessage());
            return 2;
        }
    }
}
