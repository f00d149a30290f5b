package wingspread.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the limits under which the decision code can be read, and ported by hand. */
class SizeTest {
    /** Applies to each file; there is no limit for all files together, which the operators have lifted. */
    private static final int MAX_LINES = 950;
    private static final Pattern IO_OR_CLOCK_IMPORT = Pattern.compile(
            "import (static )?(java\\.(io|net|nio)|io\\.netty|org\\.slf4j|java\\.time|java\\.util\\.concurrent)\\b");
    private static final int MAX_LINE_LENGTH = 110;
    private static final Path SOURCES = Path.of("src/main/java/wingspread/control");

    /** Each file that the deploy file lists as policy exists, is not too long and uses neither I/O nor a clock. */
    @Test
    void policyFilesAreShortAndFreeOfIo() throws IOException {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = ")).findFirst().orElseThrow();
        String[] files = policy.replaceAll(".*\\[|\\]|\"", "").split(", *");
        assertTrue(files.length >= 3, policy);
        for (String file : files) {
            List<String> lines = Files.readAllLines(Path.of(file)).stream().filter(line -> !line.isBlank()).toList();
            assertTrue(!lines.isEmpty() && lines.size() <= MAX_LINES, file + ": " + lines.size() + " lines");
            assertTrue(lines.stream().noneMatch(line -> IO_OR_CLOCK_IMPORT.matcher(line).find()), file);
        }
    }

    @Test
    void windowControlNamesItsInterfaceInFirstLine() throws IOException {
        String head = Files.readAllLines(SOURCES.resolve("WindowControl.java")).get(0);
        assertTrue(head.contains("CallControl.java"), head);
    }

    @Test
    void linesAreNotTooLong() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
                for (String line : Files.readAllLines(file)) {
                    assertTrue(line.length() <= MAX_LINE_LENGTH, file + ": " + line);
                }
            }
        }
    }
}
