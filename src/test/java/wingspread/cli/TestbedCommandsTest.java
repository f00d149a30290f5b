package wingspread.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import picocli.CommandLine;

/** Tests the errors of the testbed's commands and the timeline of a call. */
class TestbedCommandsTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        CommandLine line = Cli.commandLine();
        line.setOut(new PrintWriter(out));
        line.setErr(new PrintWriter(err));
        return line.execute(args);
    }

    static Stream<Arguments> invalidArguments() {
        return Stream.of(Arguments.of("--seeds", List.of("soak", "--seeds", "0")),
                Arguments.of("--seconds", List.of("soak", "--seconds", "1")),
                Arguments.of("--side-by-side", List.of("soak", "--side-by-side", "0")),
                Arguments.of("directory-silent", List.of("soak", "--only", "vanish,flood")),
                Arguments.of("NoSuchFile", List.of("soak", "--schedule", "nowhere.json")),
                Arguments.of("no trial's folder", List.of("timeline", "nowhere", "abc")));
    }

    @ParameterizedTest
    @MethodSource("invalidArguments")
    void reportsInvalidArgumentsInOneLineWithExitCodeTwo(String expectedText, List<String> args) {
        assertEquals(Cli.USAGE_ERROR, run(Stream.concat(Stream.of("testbed"), args.stream()).toArray(String[]::new)));
        assertEquals(1, err.toString().lines().count(), err.toString());
        assertTrue(err.toString().contains(expectedText), err.toString());
    }

    @Test
    void timelineMergesStandInRecordsWithSoftswitchLogs(@TempDir Path folder) throws IOException {
        LocalDateTime day = LocalDateTime.of(2026, 3, 4, 12, 0, 0);
        long start = day.atZone(ZoneId.systemDefault()).toEpochSecond() * 1_000_000;
        Files.write(folder.resolve("record.tsv"), List.of(
                start - 60_000_000 + "\ts-1\t-\tlong ago",
                start + "\tfault\t-\tvanish:1@0ms for 5ms",
                start + 100_000 + "\tcallers of n0\tabc\toffers",
                start + 150_000 + "\tcallers of n0\tother\toffers",
                start + 900_000 + "\ts-1\tabc\tINVITE"));
        String time = DateTimeFormatter.ofPattern("HH:mm:ss").format(day);
        Files.createDirectory(folder.resolve("n0"));
        Files.write(folder.resolve("n0/softswitch.log"), List.of("a line of the JVM about abc",
                time + ".500 DEBUG call - abc taken", time + ".510 DEBUG call - other taken"));
        assertEquals(0, run("testbed", "timeline", folder.toString(), "abc"));
        assertEquals(List.of("0.000  fault              vanish:1@0ms for 5ms", "0.100  callers of n0      offers",
                "0.500  n0 log             DEBUG call - abc taken", "0.900  s-1                INVITE"),
                out.toString().lines().map(String::strip).toList());
        assertEquals(Cli.USAGE_ERROR, run("testbed", "timeline", folder.toString(), "unheard-of"));
    }
}
