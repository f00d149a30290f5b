package wingspread.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The limits under which the module can be ported by hand. */
class SizeTest {
    private static final int MOST_LINES = 950;
    private static final int WIDEST = 110;
    private static final Path SOURCES = Path.of("src/main/java/wingspread/control");

    @Test
    void moduleIsNotTooLong() throws IOException {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = ")).findFirst().orElseThrow();
        long counted = 0;
        for (String file : policy.replaceAll(".*\\[|\\]|\"", "").split(", *")) {
            counted += Files.readAllLines(Path.of(file)).stream().filter(line -> !line.isBlank()).count();
        }
        assertTrue(counted > 0 && counted <= MOST_LINES, counted + " non-blank lines");
    }

    @Test
    void moduleNamesItsInterfaceAtTheHead() throws IOException {
        String head = Files.readAllLines(SOURCES.resolve("WindowControl.java")).get(0);
        assertTrue(head.contains("CallControl.java"), head);
    }

    @Test
    void noLineIsTooWide() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                for (String line : Files.readAllLines(file)) {
                    assertTrue(line.length() <= WIDEST, file + ": " + line);
                }
            }
        }
    }
}
