package wingspread.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The limits under which the decisions can be read and ported by hand. */
class SizeTest {
    /** Of one file; that of all files together was lifted by the operators. */
    private static final int MOST_LINES = 950;
    private static final Pattern READS_OR_WRITES = Pattern.compile(
            "import (static )?(java\\.(io|net|nio)|io\\.netty|org\\.slf4j|java\\.time|java\\.util\\.concurrent)\\b");
    private static final int WIDEST = 110;
    private static final Path SOURCES = Path.of("src/main/java/wingspread/control");

    /**
     * Each file that the deploy file names as policy: there, no longer than one may be, and free of input, output and
     * clocks of its own.
     */
    @Test
    void policyFilesAreShortAndFreeOfInputAndOutput() throws IOException {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = ")).findFirst().orElseThrow();
        String[] files = policy.replaceAll(".*\\[|\\]|\"", "").split(", *");
        assertTrue(files.length >= 3, policy);
        for (String file : files) {
            List<String> lines = Files.readAllLines(Path.of(file)).stream().filter(line -> !line.isBlank()).toList();
            assertTrue(!lines.isEmpty() && lines.size() <= MOST_LINES, file + ": " + lines.size() + " lines");
            assertTrue(lines.stream().noneMatch(line -> READS_OR_WRITES.matcher(line).find()), file);
        }
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
