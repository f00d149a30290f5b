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

/** What {@code deploy/storm.toml} says: the usual figures, but for those that it gives. */
public record StormConfig(StormParameters storm, ReconnectParameters reconnects) {
    private static final String SCHEMA = "/wingspread/config/storm.schema.json";

    /**
     * Reads the file; null where it is off.
     *
     * @throws TomlException where it cannot be taken
     */
    public static StormConfig read(Path file) {
        if (!Switch.mayBeOn(file)) {
            return null;
        }
        ObjectNode tree = TomlFile.read(file, SCHEMA);
        return tree.path("enabled").booleanValue() ? from(tree, file.toString()) : null;
    }

    /**
     * The figures of a file or, where the text has an {@code =}, of lines of TOML with commas between; whether it says
     * {@code enabled} does not matter. {@code usual} has the usual ones.
     *
     * @throws TomlException where they cannot be taken
     */
    public static StormConfig named(String text) {
        if (text.equals("usual")) {
            return from(TomlFile.parse("enabled = true", text, SCHEMA), text);
        }
        return from(tree(text), text);
    }

    /**
     * The text of a file that damps storms by the figures {@link #named} takes, checked, with {@code enabled} on.
     *
     * @throws TomlException where they cannot be taken
     */
    public static String turnedOn(String text) {
        named(text);
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

    private static Detection detection(JsonNode t) {
        Detection usual = StormParameters.DEFAULTS.detection();
        return new Detection(time(t, "window", usual.windowMicros()),
                time(t, "usual-window", usual.baselineWindowMicros()),
                t.path("onset-ratio").asDouble(usual.onsetRatio()), t.path("end-ratio").asDouble(usual.endRatio()),
                t.path("over-usual").asDouble(usual.baselineFactor()),
                t.path("most-usual").asDouble(usual.maxBaselineRatio()),
                t.path("least-redials").asDouble(usual.minRedialsPerSecond()),
                time(t, "end-after", usual.endAfterMicros()));
    }

    private static Damping damping(JsonNode t) {
        Damping usual = StormParameters.DEFAULTS.damping();
        Method method = t.has("method") ? Method.valueOf(t.path("method").asText().toUpperCase(Locale.ROOT))
                : usual.method();
        return new Damping(method, t.path("budget-share").asDouble(usual.budgetShare()),
                t.path("budget-floor").asDouble(usual.budgetFloor()),
                t.path("budget-most").asDouble(usual.maxBudget()), time(t, "ramp", usual.rampMicros()),
                t.path("ramp-share").asDouble(usual.rampShare()),
                t.path("throttle-factor").asDouble(usual.throttleFactor()),
                t.path("least-failing").asDouble(usual.minFailureShare()));
    }

    private static RetryPolicy retryPolicy(JsonNode t) {
        RetryPolicy usual = StormParameters.DEFAULTS.retryPolicy();
        return new RetryPolicy(time(t, "longest-wait", usual.maxWaitMicros()),
                t.path("spread-refusals").asBoolean(usual.spreadRefusals()),
                time(t, "redial-time", usual.redialWindowMicros()),
                t.path("most-tries").asInt(usual.maxCallsPerNumber()),
                time(t, "early", usual.earlyToleranceMicros()), t.path("most-numbers").asInt(usual.maxNumbers()),
                t.path("most-keys").asInt(usual.maxDestinations()));
    }

    private static ReconnectParameters reconnects(JsonNode t) {
        ReconnectParameters usual = ReconnectParameters.DEFAULTS;
        return new ReconnectParameters(t.path("share").asDouble(usual.loopShare()),
                time(t, "burst", usual.burstMicros()),
                t.path("surge-factor").asDouble(usual.surgeFactor()),
                t.path("least-surge").asDouble(usual.minSurgePerSecond()),
                time(t, "first-backoff", usual.initialBackoffMicros()),
                time(t, "longest-backoff", usual.maxBackoffMicros()),
                t.path("jitter").asDouble(usual.jitter()));
    }

    private static long time(JsonNode table, String name, long usual) {
        return table.has(name) ? Duration.parse(table.path(name).asText()).micros() : usual;
    }
}
