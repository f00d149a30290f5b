package wingspread.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Locale;
import wingspread.storm.ReconnectFigures;
import wingspread.storm.StormFigures;
import wingspread.storm.StormFigures.Damping;
import wingspread.storm.StormFigures.Detection;
import wingspread.storm.StormFigures.Method;
import wingspread.storm.StormFigures.Returns;
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
public record StormConfig(StormFigures storm, ReconnectFigures reconnects) {
    private static final String SCHEMA = "/wingspread/config/storm.schema.json";

    /**
     * Reads the file. Returns null if it does not exist or storm control is not enabled.
     *
     * @throws TomlException if the file is invalid
     */
    public static StormConfig read(Path file) {
        if (!Switch.mayBeOn(file)) {
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
    public static StormConfig named(String text) {
        if (text.equals("usual")) {
            return from(TomlFile.parse("enabled = true", text, SCHEMA), text);
        }
        return from(tree(text), text);
    }

    /**
     * Returns the TOML text of a configuration in which {@code enabled} is true.
     *
     * @param text the configuration, as for {@link #named}
     * @throws TomlException if the configuration is invalid
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
            return new StormConfig(new StormFigures(detection(tree.path("detection")), damping(tree.path("damping")),
                    returns(tree.path("returns"))), reconnects(tree.path("reconnects")));
        } catch (IllegalArgumentException e) {
            throw new TomlException(name + ": " + e.getMessage());
        }
    }

    private static Detection detection(JsonNode table) {
        Detection defaults = StormFigures.USUAL.detection();
        return new Detection(time(table, "window", defaults.window()),
                time(table, "usual-window", defaults.usualWindow()),
                table.path("onset-ratio").asDouble(defaults.onsetRatio()),
                table.path("end-ratio").asDouble(defaults.endRatio()),
                table.path("over-usual").asDouble(defaults.overUsual()),
                table.path("most-usual").asDouble(defaults.mostUsual()),
                table.path("least-redials").asDouble(defaults.leastRedials()),
                time(table, "end-after", defaults.endAfter()));
    }

    private static Damping damping(JsonNode table) {
        Damping defaults = StormFigures.USUAL.damping();
        Method method = table.has("method") ? Method.valueOf(table.path("method").asText().toUpperCase(Locale.ROOT))
                : defaults.method();
        return new Damping(method, table.path("budget-share").asDouble(defaults.budgetShare()),
                table.path("budget-floor").asDouble(defaults.budgetFloor()),
                table.path("budget-most").asDouble(defaults.budgetMost()),
                time(table, "ramp", defaults.ramp()),
                table.path("ramp-share").asDouble(defaults.rampShare()),
                table.path("throttle-factor").asDouble(defaults.throttleFactor()),
                table.path("least-failing").asDouble(defaults.leastFailing()));
    }

    private static Returns returns(JsonNode table) {
        Returns defaults = StormFigures.USUAL.returns();
        return new Returns(time(table, "longest-wait", defaults.longestWait()),
                table.path("spread-refusals").asBoolean(defaults.spreadRefusals()),
                time(table, "redial-time", defaults.redialTime()),
                table.path("most-tries").asInt(defaults.mostTries()),
                time(table, "early", defaults.early()),
                table.path("most-numbers").asInt(defaults.mostNumbers()),
                table.path("most-keys").asInt(defaults.mostKeys()));
    }

    private static ReconnectFigures reconnects(JsonNode table) {
        ReconnectFigures defaults = ReconnectFigures.USUAL;
        return new ReconnectFigures(table.path("share").asDouble(defaults.share()),
                time(table, "burst", defaults.burst()),
                table.path("surge-factor").asDouble(defaults.surgeFactor()),
                table.path("least-surge").asDouble(defaults.leastSurge()),
                time(table, "first-backoff", defaults.firstBackoff()),
                time(table, "longest-backoff", defaults.longestBackoff()),
                table.path("jitter").asDouble(defaults.jitter()));
    }

    private static long time(JsonNode table, String name, long defaultMicros) {
        return table.has(name) ? Duration.parse(table.path(name).asText()).micros() : defaultMicros;
    }
}
