package wingspread.cli;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import wingspread.lab.host.HostLoop;
import wingspread.lab.host.LocalSoftswitches;
import wingspread.lab.host.PlannerController;

/** Hosts softswitches for a comparison that is run by another version of this program. */
@Command(name = "host", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Hosts softswitches for 'lab compare' of another version, over standard input and output.")
final class LabHost implements Callable<Integer> {
    private static final int BUFFER_BYTES = 1 << 16;

    @Override
    public Integer call() throws IOException {
        new LogSilencer().apply();
        new HostLoop(Version.program(), parameters -> new LocalSoftswitches(PlannerController.factory(parameters)))
                .run(new BufferedInputStream(System.in, BUFFER_BYTES),
                        new BufferedOutputStream(System.out, BUFFER_BYTES));
        return 0;
    }
}
