package wingspread.cli;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import wingspread.lab.host.HostLoop;
import wingspread.lab.host.LocalSoftswitches;
import wingspread.lab.host.PlannerController;

/** Hosts softswitches for the laboratory of another version of this program. */
@Command(name = "host", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Hosts softswitches on standard input and output for 'lab compare' of another version.")
final class LabHost implements Callable<Integer> {
    private static final int BUFFER = 1 << 16;

    @Override
    public Integer call() throws IOException {
        new QuietModules().apply();
        new HostLoop(Version.program(), figures -> new LocalSoftswitches(PlannerController.with(figures)))
                .run(new BufferedInputStream(System.in, BUFFER), new BufferedOutputStream(System.out, BUFFER));
        return 0;
    }
}
