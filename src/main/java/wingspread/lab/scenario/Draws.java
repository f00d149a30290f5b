package wingspread.lab.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import wingspread.lab.sim.Streams;
import wingspread.toml.Duration;
import wingspread.toml.TomlException;

/** Values of a scenario; what is a range there is drawn, each path from a stream of its own. */
final class Draws {
    private final JsonNode tree;
    private final String path;
    private final Streams streams;

    Draws(JsonNode tree, String path, Streams streams) {
        this.tree = tree;
        this.path = path;
        this.streams = streams;
    }

    Draws table(String name) {
        return new Draws(tree.get(name), path + name + ".", streams);
    }

    private double between(String name, double low, double high) {
        if (low > high) {
            throw new TomlException(path + name + ": the range runs from high to low");
        }
        return low + (high - low) * streams.stream("draw " + path + name).nextDouble();
    }

    double number(String name) {
        JsonNode node = tree.get(name);
        return node.isArray() ? between(name, node.get(0).doubleValue(), node.get(1).doubleValue())
                : node.doubleValue();
    }

    boolean has(String name) {
        return tree.has(name);
    }

    int whole(String name) {
        return tree.get(name).intValue();
    }

    boolean flag(String name) {
        return tree.get(name).booleanValue();
    }

    String text(String name) {
        return tree.get(name).textValue();
    }

    List<String> texts(String name) {
        List<String> out = new ArrayList<>();
        tree.get(name).forEach(node -> out.add(node.textValue()));
        return List.copyOf(out);
    }

    /** A time in microseconds. */
    long time(String name) {
        JsonNode node = tree.get(name);
        if (!node.isArray()) {
            return Duration.parse(node.textValue()).micros();
        }
        Duration low = Duration.parse(node.get(0).textValue());
        Duration high = Duration.parse(node.get(1).textValue());
        if (!low.unit().equals(high.unit())) {
            throw new TomlException(path + name + ": a range in two units, '" + low.unit() + "' and '" + high.unit()
                    + "'; one was expected");
        }
        return Math.round(between(name, low.micros(), high.micros()));
    }
}
