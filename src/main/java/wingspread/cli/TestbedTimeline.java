package wingspread.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wingspread.testbed.soak.Timeline;

/** Prints the events of one call of a soak trial, as seen by all parties, in the order of time. */
@Command(name = "timeline", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Merges the stand-ins' records of one call of a trial with the softswitches' log lines about it.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:the timeline was printed", "2:no such trial or call"})
final class TestbedTimeline implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "FOLDER", description = "directory of a trial, as written by 'testbed soak'")
    private Path folder;

    @Parameters(index = "1", paramLabel = "CALL", description = "id of the call")
    private String call;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        spec.commandLine().getOut().print(Timeline.of(folder, call).text());
        spec.commandLine().getOut().flush();
        return 0;
    }
}
