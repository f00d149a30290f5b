package wingspread.lab.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wingspread.lab.sim.Streams;
import wingspread.testing.Fuzz;
import wingspread.toml.TomlException;

/** Scenarios are parsed, or rejected with a one-line message that names the key and the reason. */
class ScenarioTest {
    private static String rejectionOf(String toml) {
        String message = assertThrows(TomlException.class, () -> Scenario.parse(toml, "x.toml")).getMessage();
        assertTrue(message.startsWith("x.toml"), message);
        assertTrue(message.indexOf('\n') < 0, message);
        return message;
    }

    @Test
    void shippedScenariosAreValid() {
        for (String name : Scenario.SHIPPED) {
            assertTrue(!Scenario.named(name).about().isEmpty(), name);
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "load.level = 50 | load.level | maximum",
        "load.levle = 1 | levle | not defined",
        "length = 5 | length | string",
        "length = '5 parsecs' | length | pattern",
        "callers.backoff = ['500ms', '2s'] | callers.backoff | two units",
        "load.level = [2, 1] | load.level | high to low",
        "fleet.exchanges = 1.5 | fleet.exchanges | integer",
        "trouble = [{kind = 'flood', at = '1s', for = '1s'}] | trouble.0.kind | enumeration",
        "trouble = [{kind = 'surge', at = '1s', for = '1s', rise = '0s'}] | trouble.0 | factor",
        "trouble = [{kind = 'crash', at = '1s', for = '1s', exchanges = 1, keep = 1}] | keep | false",
        "trouble = [{kind = 'circuit-loss', at = '1s', for = '1s', region = 9, keep = 0.5}] | trouble.region | 9",
        "length = '0s' | length | pattern",
        "reports.period = '0.0ms' | reports.period | pattern",
        "length = | x.toml:1 | ' '"})
    void rejectsInvalidValueWithKeyAndReason(String toml, String place, String reason) {
        String message = rejectionOf(toml);
        assertTrue(message.contains(place), message);
        assertTrue(message.contains(reason), message);
    }

    @Test
    void rejectsClassesWithoutCalls() {
        String classWithoutCalls =
                "[[class]]\nname = 'x'\npart = 0\naim = '1s'\ndeadline = '9s'\nworth = 1\nlate-worth = 0\n"
                + "width = 1\nholding = '1s'\n";
        assertTrue(rejectionOf(classWithoutCalls).contains("class.part"));
        assertTrue(rejectionOf(classWithoutCalls.replace("'1s'\n", "'0s'\n")).contains("pattern"));
    }

    @Test
    void drawsRangePerReplicationAndKeepsFixedValue() {
        Scenario scenario = Scenario.parse("load.level = [0.5, 1.5]\nnet.jitter = 0.25", "x.toml");
        Day one = scenario.day(new Streams(1, 0));
        Day other = scenario.day(new Streams(1, 1));
        assertTrue(one.load().level() != other.load().level());
        assertTrue(one.load().level() >= 0.5 && one.load().level() <= 1.5);
        assertEquals(0.25, other.net().jitter());
    }

    @Test
    void overrideDoesNotChangeOtherDraws() {
        Day one = Scenario.named("usual").day(new Streams(1, 0));
        Day other = Scenario.named("usual").with("callers.redials = 1").day(new Streams(1, 0));
        assertEquals(one.load(), other.load());
        assertEquals(1, other.callers().redials());
    }

    @Test
    void readsFileAndReportsMissingOne(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("mine.toml");
        Files.writeString(file, "fleet.exchanges = 3");
        assertEquals(3, Scenario.named(file.toString()).day(new Streams(1, 0)).fleet().exchanges());
        String message = assertThrows(TomlException.class, () -> Scenario.named("missing.toml")).getMessage();
        assertTrue(message.contains("missing.toml") && message.contains("usual"), message);
    }

    @Property(tries = 300, seed = "32")
    void parsesCorruptFileOrRejectsItInOneLine(@ForAll long seed) {
        byte[] valid = "load.level = 1.1\n[[trouble]]\nkind = 'crash'\nat = '1s'\nfor = '2s'\nexchanges = 1\n"
                .getBytes(StandardCharsets.ISO_8859_1);
        String corrupt = new String(Fuzz.mutate(valid, seed), StandardCharsets.ISO_8859_1);
        try {
            Scenario.parse(corrupt, "x.toml");
        } catch (TomlException e) {
            assertTrue(e.getMessage().startsWith("x.toml") && e.getMessage().indexOf('\n') < 0, e.getMessage());
        }
    }
}
