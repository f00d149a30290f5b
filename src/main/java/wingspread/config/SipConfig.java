package wingspread.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import wingspread.toml.TomlException;
import wingspread.toml.TomlFile;

/**
 * What {@code deploy/sip.toml} says of the SIP front. An address that is null is not listened on.
 *
 * @param routes the place of the exchange that serves the numbers with a prefix
 */
public record SipConfig(
        InetSocketAddress udp, InetSocketAddress tcp, InetSocketAddress tls, String callClass,
        Map<String, Integer> routes, Acme acme) {

    private static final String SCHEMA = "/wingspread/config/sip.schema.json";

    /** Where the TLS certificate comes from; needed for {@code tls} alone. */
    public record Acme(String directory, String domain, String contact, InetSocketAddress http, Path store) { }

    /**
     * Reads the file; null where the front is off.
     *
     * @throws ConfigException where it cannot be understood
     */
    public static SipConfig read(Path file) {
        if (!Switch.mayBeOn(file)) {
            return null;
        }
        try {
            ObjectNode tree = TomlFile.read(file, SCHEMA);
            return tree.path("enabled").booleanValue() ? from(tree) : null;
        } catch (TomlException e) {
            throw new ConfigException(e.getMessage());
        }
    }

    private static SipConfig from(ObjectNode tree) {
        Map<String, Integer> routes = new TreeMap<>();
        tree.path("routes").properties().forEach(route -> routes.put(route.getKey(), route.getValue().intValue()));
        Acme acme = acme(tree.path("acme"));
        InetSocketAddress tls = address(tree, "tls");
        if (tls != null && acme == null) {
            throw new ConfigException("'tls' needs a certificate: 'acme.directory' is empty");
        }
        return new SipConfig(address(tree, "udp"), address(tree, "tcp"), tls, tree.path("class").asText(), routes,
                acme);
    }

    private static InetSocketAddress address(JsonNode tree, String key) {
        String value = tree.path(key).asText();
        return value.isEmpty() ? null : NodeConfig.address(value, key);
    }

    private static Acme acme(JsonNode tree) {
        String directory = tree.path("directory").asText();
        if (directory.isEmpty()) {
            return null;
        }
        return new Acme(directory, required(tree, "domain"), tree.path("contact").asText(),
                NodeConfig.address(required(tree, "http"), "acme.http"), Path.of(required(tree, "store")));
    }

    private static String required(JsonNode tree, String key) {
        String value = tree.path(key).asText();
        if (value.isEmpty()) {
            throw new ConfigException("the SIP front's file lacks 'acme." + key + "'");
        }
        return value;
    }
}
