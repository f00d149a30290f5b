package wingspread.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigTest {
    @TempDir
    Path folder;

    private SipConfig read(String text) throws IOException {
        Path file = folder.resolve("sip.toml");
        Files.writeString(file, text);
        return SipConfig.read(file);
    }

    @Test
    void isDisabledByDeliveredFileAndWithoutFile() {
        assertNull(SipConfig.read(Path.of("deploy/sip.toml")));
        assertNull(SipConfig.read(folder.resolve("none")));
    }

    @Test
    void readsAddressesRoutesAndAuthority() throws IOException {
        SipConfig config = read("""
                # a comment
                enabled = true
                udp = "127.0.0.1:5070"  # another
                tls = "127.0.0.1:5071"
                class = "token"
                [routes]
                "" = 1
                72 = 2
                [acme]
                directory = "http://127.0.0.1:1/d"
                domain = "sip.test"
                http = "127.0.0.1:5080"
                store = "keys"
                """);
        assertEquals(new InetSocketAddress("127.0.0.1", 5070), config.udp());
        assertNull(config.tcp());
        assertEquals(Map.of("", 1, "72", 2), config.routes());
        assertEquals("sip.test", config.acme().domain());
    }

    @Test
    void rejectsInvalidFileWithOneLineMessage() {
        for (String invalidText : List.of("enabled", "enabled = yes",
                "enabled = true\nudp = \"5060\"", "enabled = true\nudp = \"a:99999\"",
                "enabled = true\ntls = \"127.0.0.1:1\"",
                "enabled = true\nudp = \"x", "enabled = true\nudb = \"\"", "enabled = true\n[routes]\n1 = x",
                "enabled = true\n[acme]\ndirectory = \"http://x\"")) {
            ConfigException e = assertThrows(ConfigException.class, () -> read(invalidText), invalidText);
            assertEquals(1, e.getMessage().lines().count());
        }
    }

    @Test
    void flattensNestedSettingsToPaths() {
        Map<String, String> pairs = new HashMap<>();
        NodeConfig.flatten("", Map.of("a", Map.of("b", List.of(1.0, 2.0)), "c", List.of(Map.of("n", "x")), "d", true),
                pairs);
        assertEquals(Map.of("a.b", "1.0,2.0", "c.count", "1", "c.0.n", "x", "d", "true"), pairs);
    }
}
