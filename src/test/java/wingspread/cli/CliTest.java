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

/** The command line: what it prints and how it ends. */
class CliTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        CommandLine line = Cli.commandLine();
        line.setOut(new PrintWriter(out));
        line.setErr(new PrintWriter(err));
        return line.execute(args);
    }

    private void complains(String about, String... args) {
        assertEquals(Cli.USAGE, run(args));
        String said = err.toString();
        assertEquals(1, said.lines().count(), said);
        assertTrue(said.startsWith("wingspread: ") && said.contains(about), said);
        assertEquals("", out.toString());
    }

    @Test
    void runPrintsALineForEachClassAndEndsWithZero() {
        assertEquals(0, run("lab", "run", "--replications", "1", "--set", "length = '10s'"));
        assertTrue(out.toString().contains("token-balance"), out.toString());
        assertTrue(out.toString().contains("worst 10 s"), out.toString());
        assertEquals("", err.toString());
    }

    @Test
    void compareEndsWithOneSentenceAndItsExitCode(@TempDir Path folder) throws IOException {
        Path json = folder.resolve("found.json");
        assertEquals(4, run("lab", "compare", "--set", "length = '20s'", "--b", "window-max=2,window-gain=0",
                "--pilot", "8", "--budget", "32", "--json", json.toString()));
        String last = out.toString().lines().reduce((one, next) -> next).orElse("");
        assertTrue(last.startsWith("B gives worse service than A: -"), out.toString());
        assertTrue(Files.readString(json).contains("\"verdict\" : \"WORSE\""));
    }

    @Test
    void reportWritesOnePageWithEverythingInIt(@TempDir Path folder) throws IOException {
        Path page = folder.resolve("report.html");
        assertEquals(0, run("lab", "report", "--set", "length = '10s'", "--b", "window-start=2", "--pilot", "2",
                "--budget", "3", "--out", page.toString()));
        String html = Files.readString(page);
        assertTrue(html.contains("No difference found between A and B"), "the sentence is missing");
        assertTrue(html.contains("token-balance"), "the classes are missing");
        // Differences, service, three classes' delays, redials, circuits, set-ups out.
        assertEquals(8, html.split("src=\"data:image/png;base64,", -1).length - 1);
        assertEquals(0, html.split("src=\"http", -1).length - 1);
        assertTrue(out.toString().contains(page.toString()), out.toString());
    }

    @Test
    void aFileThatCannotBeWrittenIsNamed() {
        assertEquals(Cli.USAGE, run("lab", "compare", "--set", "length = '10s'", "--pilot", "2", "--budget", "2",
                "--json", "no-such-folder/found.json"));
        assertTrue(err.toString().contains("no-such-folder"), err.toString());
        assertEquals(1, err.toString().lines().count());
    }

    @Test
    void aDayThatWasRecordedIsPlayedCallForCall(@TempDir Path folder) {
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
    void whoeverPlaysAFileThatWasCutOffIsTold(@TempDir Path folder) throws IOException {
        assertEquals(0, run("lab", "record", "--out", folder.toString(), "--set", "length = '8s'"));
        Path cut = folder.resolve("cut");
        Files.write(cut, Arrays.copyOf(Files.readAllBytes(folder.resolve("traffic.0")), 400));
        assertEquals(0, run("lab", "run", "--replications", "1", "--recorded", cut.toString()));
        assertTrue(err.toString().matches("wingspread: .*cut: cut off after \\d+ calls.*\\R"), err.toString());
    }

    @Test
    void countsBelowOneAreTurnedAway() {
        complains("--replications = 0", "lab", "run", "--replications", "0");
    }

    @Test
    void aCalibrationOfNothingIsTurnedAway() {
        complains("--comparisons = 0", "lab", "calibrate", "--comparisons", "0");
    }

    @Test
    void aGateInAnotherVersionIsTurnedAway() {
        complains("a version by its jar", "lab", "compare", "--storm-b", "usual", "--jar-b", "other.jar");
    }

    @Test
    void figuresOfAStormThatContradictEachOtherAreTurnedAway() {
        complains("end-ratio 0.9 is not below", "lab", "compare", "--storm-b", "detection.end-ratio=0.9");
    }

    @Test
    void anOutageIsPlayedWithoutAndWithStormsDamped() {
        assertEquals(0, run("lab", "outage", "--scenario", "circuits-cut", "--set", "length = '34s'", "--replications",
                "2"));
        assertTrue(out.toString().contains("damped: redials are back after"), out.toString());
        assertTrue(out.toString().contains("the gate: "), out.toString());
    }

    @Test
    void anOutageWithoutATroubleIsTurnedAway() {
        complains("usual: has no trouble", "lab", "outage");
    }

    @Test
    void anUnknownFigureIsNamed() {
        complains("nope=1: there is no figure 'nope'", "lab", "compare", "--b", "nope=1");
    }

    @Test
    void whatIsListedCanBeGivenAgain(@TempDir Path folder) throws IOException {
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
        assertEquals(ControlParameters.DEFAULTS.all(), Setting.named(setting).figures().all());
    }

    @Test
    void anUnknownScenarioIsNotListed() {
        complains("surge-slow-late", "lab", "list", "--scenario", "nope");
    }

    @Test
    void aPilotBeyondTheBudgetIsTurnedAway() {
        complains("pilot 8", "lab", "compare", "--pilot", "8", "--budget", "4");
    }

    @Test
    void whatCannotBeTakenIsOneLineAndExitCodeTwo() {
        complains("no-such", "lab", "run", "--scenario", "no-such");
    }

    @Test
    void anUnknownSettingIsNamed() {
        complains("levle", "lab", "run", "--set", "load.levle = 1");
    }

    @Test
    void aBarIsDrawnForATerminalAlone() {
        Progress shown = new Progress(new PrintWriter(err), true);
        shown.step(2, "days");
        assertEquals("\r[###############...............] 1 of at most 2 days", err.toString());
        StringWriter nothing = new StringWriter();
        new Progress(new PrintWriter(nothing), false).step(2, "days");
        assertEquals("", nothing.toString());
    }

    @Test
    void anUnknownOptionIsNamed() {
        complains("--bogus", "lab", "run", "--bogus");
    }

    @Test
    void withoutACommandItSaysSo() {
        complains("--help");
    }

    @Test
    void helpAndVersionGoToTheOutput() {
        assertEquals(0, run("lab", "run", "--help"));
        assertTrue(out.toString().contains("--replications"), out.toString());
        assertEquals(0, run("--version"));
        assertTrue(out.toString().contains("wingspread "), out.toString());
    }
}
