package wingspread.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wingspread.testbed.soak.Timeline;

/** Shows one call of a trial through all parties. */
@Command(name = "timeline", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Merges what the stand-ins of a trial saw of a call with what the softswitches logged of it.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:shown", "2:there is no such trial or call"})
final class TestbedTimeline implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "FOLDER", description = "of a trial, as 'testbed soak' has left it")
    private Path folder;

    @Parameters(index = "1", paramLabel = "CALL", description = "the call's id")
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
