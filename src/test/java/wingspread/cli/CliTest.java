package wingspread.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import wingspread.control.ControlParameters;
import wingspread.lab.compare.Setting;
import wingspread.lab.scenario.Scenario;
import wingspread.lab.sim.Streams;

/** Tests the output and the exit codes of the commands. */
class CliTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        CommandLine line = Cli.commandLine();
        line.setOut(new PrintWriter(out));
        line.setErr(new PrintWriter(err));
        return line.execute(args);
    }

    private void assertUsageError(String expectedText, String... args) {
        assertEquals(Cli.USAGE_ERROR, run(args));
        String message = err.toString();
        assertEquals(1, message.lines().count(), message);
        assertTrue(message.startsWith("wingspread: ") && message.contains(expectedText), message);
        assertEquals("", out.toString());
    }

    @Test
    void runPrintsLineForEachClassAndExitsWithZero() {
        assertEquals(0, run("lab", "run", "--replications", "1", "--set", "length = '10s'"));
        assertTrue(out.toString().contains("token-balance"), out.toString());
        assertTrue(out.toString().contains("worst 10 s"), out.toString());
        assertEquals("", err.toString());
    }

    @Test
    void comparePrintsSentenceLastAndExitsWithCodeOfVerdict(@TempDir Path folder) throws IOException {
        Path json = folder.resolve("found.json");
        assertEquals(4, run("lab", "compare", "--set", "length = '20s'", "--b", "window-max=2,window-gain=0",
                "--pilot", "8", "--budget", "32", "--json", json.toString()));
        String last = out.toString().lines().reduce((previous, next) -> next).orElse("");
        assertTrue(last.startsWith("B gives worse service than A: -"), out.toString());
        assertTrue(Files.readString(json).contains("\"verdict\" : \"WORSE\""));
    }

    @Test
    void reportWritesSelfContainedPage(@TempDir Path folder) throws IOException {
        Path page = folder.resolve("report.html");
        assertEquals(0, run("lab", "report", "--set", "length = '10s'", "--b", "window-start=2", "--pilot", "2",
                "--budget", "3", "--out", page.toString()));
        String html = Files.readString(page);
        assertTrue(html.contains("No difference found between A and B"), "the sentence is missing");
        assertTrue(html.contains("token-balance"), "the classes are missing");
        // Plots of differences, service, delays of three classes, redials, circuits and outgoing set-ups.
        assertEquals(8, html.split("src=\"data:image/png;base64,", -1).length - 1);
        assertEquals(0, html.split("src=\"http", -1).length - 1);
        assertTrue(out.toString().contains(page.toString()), out.toString());
    }

    @Test
    void namesFileThatCannotBeWritten() {
        assertEquals(Cli.USAGE_ERROR, run("lab", "compare", "--set", "length = '10s'", "--pilot", "2", "--budget", "2",
                "--json", "no-such-folder/found.json"));
        assertTrue(err.toString().contains("no-such-folder"), err.toString());
        assertEquals(1, err.toString().lines().count());
    }

    @Test
    void replaysEveryCallOfRecordedDay(@TempDir Path folder) {
        assertEquals(0, run("lab", "record", "--out", folder.toString(), "--set", "length = '8s'"));
        int recorded = out.toString().lines().mapToInt(line -> Integer.parseInt(line.replaceAll(".*, (\\d+) calls.*",
                "$1"))).sum();
        out.getBuffer().setLength(0);
        List<String> args = new ArrayList<>(List.of("lab", "run", "--replications", "1", "--set", "length = '9s'",
                "--recorded"));
        for (int place = 0; place < 7; place++) {
            args.add(folder.resolve("traffic." + place).toString());
        }
        assertEquals(0, run(args.toArray(String[]::new)));
        assertTrue(recorded > 0 && out.toString().contains("1 replications, " + recorded + " calls"), out.toString());
    }

    @Test
    void warnsAboutTruncatedRecording(@TempDir Path folder) throws IOException {
        assertEquals(0, run("lab", "record", "--out", folder.toString(), "--set", "length = '8s'"));
        Path truncated = folder.resolve("cut");
        Files.write(truncated, Arrays.copyOf(Files.readAllBytes(folder.resolve("traffic.0")), 400));
        assertEquals(0, run("lab", "run", "--replications", "1", "--recorded", truncated.toString()));
        assertTrue(err.toString().matches("wingspread: .*cut: cut off after \\d+ calls.*\\R"), err.toString());
    }

    @Test
    void rejectsReplicationsBelowOne() {
        assertUsageError("--replications = 0", "lab", "run", "--replications", "0");
    }

    @Test
    void rejectsCalibrationWithoutComparisons() {
        assertUsageError("--comparisons = 0", "lab", "calibrate", "--comparisons", "0");
    }

    @Test
    void rejectsStormParametersWithJarOfAnotherVersion() {
        assertUsageError("a jar and storm parameters", "lab", "compare", "--storm-b", "usual", "--jar-b", "other.jar");
    }

    @Test
    void rejectsContradictoryStormParameters() {
        assertUsageError("end-ratio 0.9 is not below", "lab", "compare", "--storm-b", "detection.end-ratio=0.9");
    }

    @Test
    void outageIsSimulatedWithAndWithoutStormControl() {
        assertEquals(0, run("lab", "outage", "--scenario", "circuits-cut", "--set", "length = '34s'", "--replications",
                "2"));
        assertTrue(out.toString().contains("damped: redials are back after"), out.toString());
        assertTrue(out.toString().contains("the gate: "), out.toString());
    }

    @Test
    void rejectsOutageOfScenarioWithoutTrouble() {
        assertUsageError("usual: scenario has no [[trouble]] entries", "lab", "outage");
    }

    @Test
    void namesUnknownParameter() {
        assertUsageError("nope=1: there is no figure 'nope'", "lab", "compare", "--b", "nope=1");
    }

    @Test
    void acceptsListedScenarioAndParametersAsInput(@TempDir Path folder) throws IOException {
        assertEquals(0, run("lab", "list"));
        assertEquals(Scenario.SHIPPED, out.toString().lines().map(line -> line.split(" ")[0]).toList());
        out.getBuffer().setLength(0);
        assertEquals(0, run("lab", "list", "--scenario", "usual"));
        Path file = Files.writeString(folder.resolve("mine.toml"), out.toString());
        assertEquals(Scenario.named("usual").day(new Streams(1, 0)),
                Scenario.named(file.toString()).day(new Streams(1, 0)));
        out.getBuffer().setLength(0);
        assertEquals(0, run("lab", "list", "--figures"));
        String setting = out.toString().lines().skip(1).map(line -> line.split(" +")[0] + "=" + line.split(" +")[1])
                .collect(Collectors.joining(","));
        assertEquals(ControlParameters.DEFAULTS.all(), Setting.named(setting).parameters().all());
    }

    @Test
    void listRejectsUnknownScenarioAndNamesKnownOnes() {
        assertUsageError("surge-slow-late", "lab", "list", "--scenario", "nope");
    }

    @Test
    void rejectsPilotLargerThanBudget() {
        assertUsageError("pilot 8", "lab", "compare", "--pilot", "8", "--budget", "4");
    }

    @Test
    void reportsUnknownScenarioInOneLine() {
        assertUsageError("no-such", "lab", "run", "--scenario", "no-such");
    }

    @Test
    void namesUnknownScenarioKey() {
        assertUsageError("levle", "lab", "run", "--set", "load.levle = 1");
    }

    @Test
    void drawsProgressBarOnlyOnTerminal() {
        Progress visible = new Progress(new PrintWriter(err), true);
        visible.step(2, "days");
        assertEquals("\r[###############...............] 1 of at most 2 days", err.toString());
        StringWriter hidden = new StringWriter();
        new Progress(new PrintWriter(hidden), false).step(2, "days");
        assertEquals("", hidden.toString());
    }

    @Test
    void namesUnknownOption() {
        assertUsageError("--bogus", "lab", "run", "--bogus");
    }

    @Test
    void reportsMissingCommand() {
        assertUsageError("--help");
    }

    @Test
    void printsHelpAndVersionOnStandardOutput() {
        assertEquals(0, run("lab", "run", "--help"));
        assertTrue(out.toString().contains("--replications"), out.toString());
        assertEquals(0, run("--version"));
        assertTrue(out.toString().contains("wingspread "), out.toString());
    }
}
