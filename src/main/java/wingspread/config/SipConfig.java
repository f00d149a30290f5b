package wingspread.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What {@code deploy/sip.toml} says of the SIP front. An address that is null is not listened on.
 *
 * @param routes the place of the exchange that serves the numbers with a prefix
 */
public record SipConfig(
        InetSocketAddress udp, InetSocketAddress tcp, InetSocketAddress tls, String callClass,
        Map<String, Integer> routes, Acme acme) {

    /** Where the TLS certificate comes from; needed for {@code tls} alone. */
    public record Acme(String directory, String domain, String contact, InetSocketAddress http, Path store) { }

    /**
     * Reads the file; null where the front is off.
     *
     * @throws ConfigException where it cannot be understood
     */
    public static SipConfig read(Path file) {
        try {
            return Files.exists(file) ? from(pairs(Files.readString(file))) : null;
        } catch (IOException e) {
            throw new ConfigException(file + " cannot be read: " + e.getMessage());
        }
    }

    /** The part of TOML that the file needs: tables, and keys with a string, number or boolean. */
    static Map<String, String> pairs(String text) {
        Map<String, String> out = new LinkedHashMap<>();
        String table = "";
        int number = 0;
        for (String raw : text.split("\n")) {
            number++;
            String line = raw.strip();
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            if (line.startsWith("[") && line.endsWith("]")) {
                table = line.substring(1, line.length() - 1).strip() + ".";
                continue;
            }
            int eq = line.indexOf('=');
            if (eq < 1) {
                throw new ConfigException("line " + number + " is neither a table nor a key with a value: " + line);
            }
            out.put(table + unquoted(line.substring(0, eq).strip()), value(line.substring(eq + 1).strip(), number));
        }
        return out;
    }

    private static String value(String text, int number) {
        if (!text.startsWith("\"")) {
            int comment = text.indexOf('#');
            return (comment < 0 ? text : text.substring(0, comment)).strip();
        }
        int end = text.indexOf('"', 1);
        if (end < 0) {
            throw new ConfigException("line " + number + " has a string without an end");
        }
        return text.substring(1, end);
    }

    private static String unquoted(String key) {
        return key.length() > 1 && key.startsWith("\"") && key.endsWith("\"") ? key.substring(1, key.length() - 1)
                : key;
    }

    private static SipConfig from(Map<String, String> pairs) {
        switch (pairs.getOrDefault("enabled", "false")) {
            case "false":
                return null;
            case "true":
                break;
            default:
                throw new ConfigException("'enabled' is neither true nor false: '" + pairs.get("enabled") + "'");
        }
        Map<String, Integer> routes = new TreeMap<>();
        pairs.forEach((key, value) -> {
            if (key.startsWith("routes.")) {
                routes.put(key.substring("routes.".length()), place(key, value));
            }
        });
        Acme acme = acme(pairs);
        InetSocketAddress tls = address(pairs, "tls");
        if (tls != null && acme == null) {
            throw new ConfigException("'tls' needs a certificate: 'acme.directory' is empty");
        }
        return new SipConfig(address(pairs, "udp"), address(pairs, "tcp"), tls, pairs.getOrDefault("class", ""),
                routes, acme);
    }

    private static int place(String key, String value) {
        try {
            return Integer.parseInt(value);
        } catch (NumberFormatException e) {
            throw new ConfigException("'" + key + "' is no number of an exchange: '" + value + "'");
        }
    }

    private static InetSocketAddress address(Map<String, String> pairs, String key) {
        String value = pairs.getOrDefault(key, "");
        return value.isEmpty() ? null : NodeConfig.address(value, key);
    }

    private static Acme acme(Map<String, String> pairs) {
        String directory = pairs.getOrDefault("acme.directory", "");
        if (directory.isEmpty()) {
            return null;
        }
        return new Acme(directory, required(pairs, "acme.domain"), pairs.getOrDefault("acme.contact", ""),
                NodeConfig.address(required(pairs, "acme.http"), "acme.http"),
                Path.of(required(pairs, "acme.store")));
    }

    private static String required(Map<String, String> pairs, String key) {
        String value = pairs.getOrDefault(key, "");
        if (value.isEmpty()) {
            throw new ConfigException("the SIP front's file lacks '" + key + "'");
        }
        return value;
    }
}
