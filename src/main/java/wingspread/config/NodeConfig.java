package wingspread.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wingspread.json.Json;
import wingspread.net.InvalidInputException;

/**
 * The configuration that the platform passes to a softswitch at its start.
 *
 * @param name the name of the softswitch
 * @param listen the address on which callers connect
 * @param control the address of the administrative server; null if there is none
 * @param seed the seed of the random numbers
 * @param sockets the maximum number of open file descriptors; 1024 if not set
 * @param names the address of the directory server; null if there is none
 * @param known the cached list of exchanges, used until the directory server has responded
 * @param settings the settings of the site
 */
public record NodeConfig(
        String name, InetSocketAddress listen, InetSocketAddress control, long seed, int sockets,
        InetSocketAddress names, Map<?, ?> known, SettingsParser.Parsed settings) {

    /**
     * Reads the configuration from the environment variables {@code LB_NAME}, {@code LB_LISTEN}, {@code LB_CONTROL}
     * and {@code LB_CONFIG} and the JSON file that the last one names.
     *
     * @throws ConfigException if a value is missing or invalid
     */
    public static NodeConfig read(Map<String, String> environment) {
        String file = environment.get("LB_CONFIG");
        if (file == null) {
            throw new ConfigException("LB_CONFIG is not set");
        }
        try {
            if (Json.parse(Files.readAllBytes(Path.of(file))) instanceof Map<?, ?> map) {
                return from(map, environment);
            }
            throw new ConfigException(file + " does not contain a JSON object");
        } catch (IOException e) {
            throw new ConfigException(file + " cannot be read: " + e.getMessage());
        } catch (InvalidInputException e) {
            throw new ConfigException(file + ": " + e.getMessage());
        }
    }

    private static NodeConfig from(Map<?, ?> map, Map<String, String> environment) {
        Map<String, String> pairs = new HashMap<>();
        flatten("", object(map, "settings"), pairs);
        Object names = map.get("names");
        Object control = environment.containsKey("LB_CONTROL") ? environment.get("LB_CONTROL") : map.get("control");
        return new NodeConfig(environment.getOrDefault("LB_NAME", String.valueOf(map.get("name"))),
                address(environment.getOrDefault("LB_LISTEN", String.valueOf(map.get("listen"))), "listen"),
                control == null ? null : address(control.toString(), "control"),
                seed(String.valueOf(map.get("seed"))),
                object(map, "limits").get("sockets") instanceof Double d ? d.intValue() : 1024,
                names == null ? null : address(String.valueOf(names), "names"), object(map, "known"),
                SettingsParser.parse(pairs));
    }

    private static Map<?, ?> object(Map<?, ?> map, String name) {
        if (map.get(name) instanceof Map<?, ?> value) {
            return value;
        }
        throw new ConfigException("the configuration lacks the object '" + name + "'");
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("the configuration has an invalid seed: '" + text + "'");
        }
    }

    /**
     * Parses an address with a port, as in {@code 10.0.0.4:3868}.
     *
     * @param name the setting's name, for the error message
     * @throws ConfigException if the text is not an address with a port
     */
    public static InetSocketAddress address(String text, String name) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port < 1 << 16) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            throw new ConfigException("'" + name + "' is not an address with a port: '" + text + "'");
        }
        throw new ConfigException("'" + name + "' is not an address with a port: '" + text + "'");
    }

    /**
     * Converts nested JSON to the simulator's form of settings: dotted paths with their values. A list of objects gets
     * the path {@code count} and one path per index; a list of plain values becomes one value, separated by commas.
     */
    static void flatten(String path, Object value, Map<String, String> out) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, inner) -> flatten(path.isEmpty() ? name.toString() : path + "." + name, inner, out));
        } else if (value instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Map) {
            out.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), out);
            }
        } else if (value instanceof List<?> list) {
            StringBuilder joined = new StringBuilder();
            for (int i = 0; i < list.size(); i++) {
                joined.append(i == 0 ? "" : ",").append(scalarText(list.get(i)));
            }
            out.put(path, joined.toString());
        } else {
            out.put(path, scalarText(value));
        }
    }

    private static String scalarText(Object value) {
        return value == null ? "" : value.toString();
    }
}
