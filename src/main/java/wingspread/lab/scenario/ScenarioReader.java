package wingspread.lab.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import wingspread.lab.sim.Streams;
import wingspread.toml.Duration;
import wingspread.toml.TomlException;

/** Reads values of a scenario. A value given as a range is drawn from it, with a separate random stream per path. */
final class ScenarioReader {
    private final JsonNode tree;
    private final String path;
    private final Streams streams;

    ScenarioReader(JsonNode tree, String path, Streams streams) {
        this.tree = tree;
        this.path = path;
        this.streams = streams;
    }

    ScenarioReader table(String name) {
        return new ScenarioReader(tree.get(name), path + name + ".", streams);
    }

    private double drawBetween(String name, double low, double high) {
        if (low > high) {
            throw new TomlException(path + name + ": the range goes from high to low");
        }
        return low + (high - low) * streams.stream("draw " + path + name).nextDouble();
    }

    double number(String name) {
        JsonNode node = tree.get(name);
        return node.isArray() ? drawBetween(name, node.get(0).doubleValue(), node.get(1).doubleValue())
                : node.doubleValue();
    }

    boolean has(String name) {
        return tree.has(name);
    }

    int integer(String name) {
        return tree.get(name).intValue();
    }

    boolean bool(String name) {
        return tree.get(name).booleanValue();
    }

    String string(String name) {
        return tree.get(name).textValue();
    }

    List<String> stringList(String name) {
        List<String> out = new ArrayList<>();
        tree.get(name).forEach(node -> out.add(node.textValue()));
        return List.copyOf(out);
    }

    /** Returns a time in microseconds. */
    long time(String name) {
        JsonNode node = tree.get(name);
        if (!node.isArray()) {
            return Duration.parse(node.textValue()).micros();
        }
        Duration low = Duration.parse(node.get(0).textValue());
        Duration high = Duration.parse(node.get(1).textValue());
        if (!low.unit().equals(high.unit())) {
            throw new TomlException(path + name + ": range with two units, '" + low.unit() + "' and '" + high.unit()
                    + "'; one was expected");
        }
        return Math.round(drawBetween(name, low.micros(), high.micros()));
    }
}
