package wingspread.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wingspread.storm.ReconnectParameters;
import wingspread.storm.StormParameters;
import wingspread.toml.TomlException;

class StormConfigTest {
    @TempDir
    Path folder;

    private StormConfig read(String text) throws IOException {
        return StormConfig.read(Files.writeString(folder.resolve("storm.toml"), text));
    }

    @Test
    void isDisabledByDeliveredFileAndWithoutFile() {
        assertNull(StormConfig.read(Path.of("deploy/storm.toml")));
        assertNull(StormConfig.read(folder.resolve("none")));
    }

    /** The values in the delivered file are the defaults of settings that are not given. */
    @Test
    void deliveredFileContainsTheDefaults() throws IOException {
        StormConfig defaults = new StormConfig(StormParameters.DEFAULTS, ReconnectParameters.DEFAULTS);
        assertEquals(defaults, read(Files.readString(Path.of("deploy/storm.toml")).replace("enabled = false",
                "enabled = true")));
        assertEquals(defaults, read("enabled = true"));
        assertEquals(defaults, StormConfig.parse("usual"));
    }

    @Test
    void enablesDisabledFileAndRejectsInvalidOne() throws IOException {
        Path disabledFile = Files.writeString(folder.resolve("off.toml"), "enabled = false\ndamping.ramp = \"7s\"\n");
        assertEquals(7_000_000,
                read(StormConfig.toEnabledToml(disabledFile.toString())).storm().damping().rampMicros());
        assertEquals(StormParameters.DEFAULTS, read(StormConfig.toEnabledToml("usual")).storm());
        assertThrows(TomlException.class, () -> StormConfig.toEnabledToml("damping.ramp=\"1\""));
    }

    @Test
    void overridesDefaultsWithValuesOfFile() throws IOException {
        StormConfig config = read("""
                enabled = true
                damping.method = "gap"
                returns.redial-time = "0s"
                reconnects.jitter = 0.5
                """);
        assertEquals(StormParameters.Method.GAP, config.storm().damping().method());
        assertEquals(0, config.storm().retryPolicy().redialWindowMicros());
        assertEquals(0.5, config.reconnects().jitter());
        assertEquals(StormParameters.DEFAULTS.detection(), config.storm().detection());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "damping.method = \"none\" | damping.method",
        "detection.end-ratio = 0.6 | end-ratio 0.6 is not below onset-ratio 0.5",
        "detection.window = 2 | detection.window",
        "damping.ramp-share = 0.1 | ramp-share is below budget-share",
        "reconnects.longest-backoff = \"1ms\" | longest-backoff is below first-backoff",
        "reconnects.share = 0 | reconnects.share",
        "returns.nope = 1 | nope"})
    void rejectsInvalidValueNamingTheSetting(String line, String expectedMessage) {
        TomlException e = assertThrows(TomlException.class, () -> read("enabled = true\n" + line));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
    }
}
