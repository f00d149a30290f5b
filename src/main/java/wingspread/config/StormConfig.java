package wingspread.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Locale;
import wingspread.storm.ReconnectParameters;
import wingspread.storm.StormParameters;
import wingspread.storm.StormParameters.Damping;
import wingspread.storm.StormParameters.Detection;
import wingspread.storm.StormParameters.Method;
import wingspread.storm.StormParameters.RetryPolicy;
import wingspread.toml.Duration;
import wingspread.toml.TomlException;
import wingspread.toml.TomlFile;

/**
 * The configuration of storm control in {@code deploy/storm.toml}. Parameters that the file does not set have their
 * default values.
 *
 * @param storm the parameters of the control of redials
 * @param reconnects the parameters of the pacing of new connections
 */
public record StormConfig(StormParameters storm, ReconnectParameters reconnects) {
    private static final String SCHEMA = "/wingspread/config/storm.schema.json";

    /**
     * Reads the file. Returns null if it does not exist or storm control is not enabled.
     *
     * @throws TomlException if the file is invalid
     */
    public static StormConfig read(Path file) {
        if (!FeatureToggle.mayBeEnabled(file)) {
            return null;
        }
        ObjectNode tree = TomlFile.read(file, SCHEMA);
        return tree.path("enabled").booleanValue() ? from(tree, file.toString()) : null;
    }

    /**
     * Returns the configuration that a command-line argument specifies, whether or not it sets {@code enabled}.
     *
     * @param text {@code usual} for the default values, lines of TOML separated by commas if it contains an {@code =},
     *     or else the path of a file
     * @throws TomlException if the configuration is invalid
     */
    public static StormConfig parse(String text) {
        if (text.equals("usual")) {
            return from(TomlFile.parse("enabled = true", text, SCHEMA), text);
        }
        return from(tree(text), text);
    }

    /**
     * Returns the TOML text of a configuration in which {@code enabled} is true.
     *
     * @param text the configuration, as for {@link #parse}
     * @throws TomlException if the configuration is invalid
     */
    public static String toEnabledToml(String text) {
        parse(text);
        ObjectNode tree = text.equals("usual") ? TomlFile.parse("enabled = true", text, SCHEMA) : tree(text);
        return TomlFile.write(tree.put("enabled", true));
    }

    private static ObjectNode tree(String text) {
        return text.contains("=") ? TomlFile.parse(text.replace(',', '\n'), text, SCHEMA)
                : TomlFile.read(Path.of(text), SCHEMA);
    }

    private static StormConfig from(ObjectNode tree, String name) {
        try {
            return new StormConfig(new StormParameters(detection(tree.path("detection")), damping(tree.path("damping")),
                    retryPolicy(tree.path("returns"))), reconnects(tree.path("reconnects")));
        } catch (IllegalArgumentException e) {
            throw new TomlException(name + ": " + e.getMessage());
        }
    }

    private static Detection detection(JsonNode table) {
        Detection defaults = StormParameters.DEFAULTS.detection();
        return new Detection(time(table, "window", defaults.windowMicros()),
                time(table, "usual-window", defaults.baselineWindowMicros()),
                table.path("onset-ratio").asDouble(defaults.onsetRatio()),
                table.path("end-ratio").asDouble(defaults.endRatio()),
                table.path("over-usual").asDouble(defaults.baselineFactor()),
                table.path("most-usual").asDouble(defaults.maxBaselineRatio()),
                table.path("least-redials").asDouble(defaults.minRedialsPerSecond()),
                time(table, "end-after", defaults.endAfterMicros()));
    }

    private static Damping damping(JsonNode table) {
        Damping defaults = StormParameters.DEFAULTS.damping();
        Method method = table.has("method") ? Method.valueOf(table.path("method").asText().toUpperCase(Locale.ROOT))
                : defaults.method();
        return new Damping(method, table.path("budget-share").asDouble(defaults.budgetShare()),
                table.path("budget-floor").asDouble(defaults.budgetFloor()),
                table.path("budget-most").asDouble(defaults.maxBudget()),
                time(table, "ramp", defaults.rampMicros()),
                table.path("ramp-share").asDouble(defaults.rampShare()),
                table.path("throttle-factor").asDouble(defaults.throttleFactor()),
                table.path("least-failing").asDouble(defaults.minFailureShare()));
    }

    private static RetryPolicy retryPolicy(JsonNode table) {
        RetryPolicy defaults = StormParameters.DEFAULTS.retryPolicy();
        return new RetryPolicy(time(table, "longest-wait", defaults.maxWaitMicros()),
                table.path("spread-refusals").asBoolean(defaults.spreadRefusals()),
                time(table, "redial-time", defaults.redialWindowMicros()),
                table.path("most-tries").asInt(defaults.maxCallsPerNumber()),
                time(table, "early", defaults.earlyToleranceMicros()),
                table.path("most-numbers").asInt(defaults.maxNumbers()),
                table.path("most-keys").asInt(defaults.maxDestinations()));
    }

    private static ReconnectParameters reconnects(JsonNode table) {
        ReconnectParameters defaults = ReconnectParameters.DEFAULTS;
        return new ReconnectParameters(table.path("share").asDouble(defaults.loopShare()),
                time(table, "burst", defaults.burstMicros()),
                table.path("surge-factor").asDouble(defaults.surgeFactor()),
                table.path("least-surge").asDouble(defaults.minSurgePerSecond()),
                time(table, "first-backoff", defaults.initialBackoffMicros()),
                time(table, "longest-backoff", defaults.maxBackoffMicros()),
                table.path("jitter").asDouble(defaults.jitter()));
    }

    private static long time(JsonNode table, String name, long defaultMicros) {
        return table.has(name) ? Duration.parse(table.path(name).asText()).micros() : defaultMicros;
    }
}
