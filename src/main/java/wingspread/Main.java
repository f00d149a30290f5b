package wingspread;

import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.cli.Cli;
import wingspread.config.ConfigException;
import wingspread.config.SipConfig;
import wingspread.config.StormConfig;
import wingspread.config.Switch;
import wingspread.net.Signals;
import wingspread.record.RecordConfig;
import wingspread.toml.TomlException;
import wingspread.wirehost.WireHost;

/** The program's commands. */
public final class Main {
    private static final Logger LOG = LoggerFactory.getLogger(Main.class);
    private static final Path SIP_FILE = Path.of("deploy/sip.toml");
    private static final Path STORM_FILE = Path.of("deploy/storm.toml");
    private static final Path RECORD_FILE = Path.of("deploy/record.toml");

    private Main() { }

    /**
     * Runs one command.
     *
     * @param args {@code serve} for a real softswitch, {@code wirehost} for the simulator's wire, else as {@code
     *     --help} says
     */
    public static void main(String[] args) {
        int code = run(args);
        if (code >= 0) {
            System.exit(code);
        }
    }

    /** The exit code, or -1 where the program goes on until it is told to end. */
    static int run(String[] args) {
        // Guards the start of serve: the command line's libraries are opened for the other commands alone.
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
                    Switch.mayBeOn(RECORD_FILE) ? RecordConfig.read(RECORD_FILE) : null,
                    StormConfig.read(STORM_FILE)).start();
            return -1;
        } catch (ConfigException | TomlException | ReflectiveOperationException e) {
            LOG.error("wingspread: {}", e.getMessage());
            return 2;
        }
    }
}
