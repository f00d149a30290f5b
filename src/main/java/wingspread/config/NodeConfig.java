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

/** What the platform tells a softswitch at its start. */
public record NodeConfig(
        String name, InetSocketAddress listen, long seed, int sockets, InetSocketAddress names, Map<?, ?> known,
        SettingsParser.Parsed settings) {

    /** Reads the variables {@code LB_NAME}, {@code LB_LISTEN} and {@code LB_CONFIG}, and the file named. */
    public static NodeConfig read(Map<String, String> environment) {
        String file = environment.get("LB_CONFIG");
        if (file == null) {
            throw new ConfigException("LB_CONFIG is not set");
        }
        try {
            if (Json.parse(Files.readAllBytes(Path.of(file))) instanceof Map<?, ?> map) {
                return from(map, environment);
            }
            throw new ConfigException(file + " holds no JSON object");
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
        return new NodeConfig(environment.getOrDefault("LB_NAME", String.valueOf(map.get("name"))),
                address(environment.getOrDefault("LB_LISTEN", String.valueOf(map.get("listen"))), "listen"),
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
            throw new ConfigException("the configuration's seed is unreadable: '" + text + "'");
        }
    }

    /** An address and a port, as in {@code 10.0.0.4:3868}. */
    public static InetSocketAddress address(String text, String name) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port < 1 << 16) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            throw new ConfigException("'" + name + "' is no address with a port: '" + text + "'");
        }
        throw new ConfigException("'" + name + "' is no address with a port: '" + text + "'");
    }

    /** Nested JSON as the simulator's paths with values. */
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
                joined.append(i == 0 ? "" : ",").append(simple(list.get(i)));
            }
            out.put(path, joined.toString());
        } else {
            out.put(path, simple(value));
        }
    }

    private static String simple(Object value) {
        return value == null ? "" : value.toString();
    }
}
