package wingspread.lab.compare;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import wingspread.control.ControlParameters;
import wingspread.control.NamedParameters.Parameter;
import wingspread.control.NamedParameters.Unit;
import wingspread.toml.Duration;
import wingspread.toml.TomlException;
import wingspread.toml.TomlFile;

/** A set of control parameters of the decision module: the defaults with overrides from a file or from text. */
public record Setting(String name, ControlParameters parameters) {
    private static final String SCHEMA = "/wingspread/lab/setting.schema.json";
    private static final String DEFAULTS_NAME = "usual";

    /**
     * Returns the setting given on a command line: {@code usual} for the defaults, a TOML file, or comma-separated
     * {@code name=value} pairs.
     *
     * @throws TomlException if the file cannot be read or a parameter is invalid
     */
    public static Setting named(String text) {
        if (text.equals(DEFAULTS_NAME)) {
            return new Setting(DEFAULTS_NAME, ControlParameters.DEFAULTS);
        }
        if (!text.contains("=")) {
            return of(text, TomlFile.read(Path.of(text), SCHEMA));
        }
        StringBuilder toml = new StringBuilder("[figures]\n");
        for (String pair : text.split(",")) {
            toml.append(pair.replaceFirst("=\\s*([0-9.]+[a-z]+)\\s*$", "= \"$1\"")).append('\n');
        }
        return of(text, TomlFile.parse(toml.toString(), text, SCHEMA));
    }

    private static Setting of(String name, ObjectNode tree) {
        Map<String, Double> overrides = new HashMap<>();
        tree.path("figures").properties().forEach(entry -> overrides.put(entry.getKey(), value(name, entry)));
        try {
            return new Setting(name, new ControlParameters(overrides));
        } catch (IllegalArgumentException e) {
            throw new TomlException(name + ": " + e.getMessage());
        }
    }

    /** Parses a value: a time has a unit, any other value has none. */
    private static double value(String name, Map.Entry<String, JsonNode> entry) {
        boolean isTime = ControlParameters.DEFAULTS.all().stream()
                .filter(f -> f.name().equals(entry.getKey())).map(Parameter::unit)
                .anyMatch(Unit.MICROSECONDS::equals);
        if (isTime != entry.getValue().isTextual()) {
            throw new TomlException(name + ": figures." + entry.getKey() + " = " + entry.getValue() + "; "
                    + (isTime ? "a time with its unit, as in \"250ms\"," : "a number") + " was expected");
        }
        return isTime ? Duration.parse(entry.getValue().textValue()).micros() : entry.getValue().doubleValue();
    }
}
