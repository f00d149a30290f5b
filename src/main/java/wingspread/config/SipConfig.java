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
 * The configuration of the SIP front end in {@code deploy/sip.toml}.
 *
 * @param udp the address to listen on for UDP; null if not used
 * @param tcp the address to listen on for TCP; null if not used
 * @param tls the address to listen on for TLS; null if not used
 * @param callClass the name of the class of a call without a known class of its own; empty for the first class
 * @param routes the index of the exchange that serves the numbers with a prefix, by prefix
 * @param acme how the TLS certificate is obtained; null if it is not
 */
public record SipConfig(
        InetSocketAddress udp, InetSocketAddress tcp, InetSocketAddress tls, String callClass,
        Map<String, Integer> routes, Acme acme) {

    private static final String SCHEMA = "/wingspread/config/sip.schema.json";

    /**
     * How the TLS certificate is obtained; required only for {@code tls}.
     *
     * @param directory the URL of the ACME server's directory
     * @param domain the domain name of the certificate
     * @param contact the e-mail address of the account; empty if there is none
     * @param http the address on which http-01 challenges are answered
     * @param store the directory that holds the keys and the certificate
     */
    public record Acme(String directory, String domain, String contact, InetSocketAddress http, Path store) { }

    /**
     * Reads the file. Returns null if it does not exist or the front end is not enabled.
     *
     * @throws ConfigException if the file is invalid
     */
    public static SipConfig read(Path file) {
        if (!FeatureToggle.mayBeEnabled(file)) {
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
            throw new ConfigException("'tls' requires a certificate, but 'acme.directory' is empty");
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
            throw new ConfigException("the SIP configuration lacks 'acme." + key + "'");
        }
        return value;
    }
}
