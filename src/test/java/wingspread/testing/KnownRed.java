package wingspread.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The tests that are known to fail for a fault that is not mended yet, as {@code KNOWN-RED.txt} at the root of the
 * project lists them: one line each with test, cause and issue, as in
 * {@code wingspread.ServeTest#aTest, the cause in words, issue 20}. Lines that begin with # are comments. Exactly these
 * may fail; one that passes must be taken off the list.
 */
public final class KnownRed {
    /** More than this are not known faults but a broken build. */
    static final int MOST = 3;
    private static final Path FILE = Path.of("KNOWN-RED.txt");

    /** One line of the list; {@code test} is the class's full name, #, and the method's name. */
    public record Entry(String test, String cause, String issue) { }

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private KnownRed(List<String> lines) {
        for (String line : lines) {
            if (!line.isBlank() && !line.startsWith("#")) {
                add(line);
            }
        }
        if (entries.size() > MOST) {
            throw new IllegalArgumentException(FILE + " lists " + entries.size() + " tests; " + MOST + " at most");
        }
    }

    private void add(String line) {
        int cause = line.indexOf(',');
        int issue = line.lastIndexOf(',');
        if (cause <= 0 || issue == cause || !line.substring(0, cause).matches("[\\w.$]+#\\w+")) {
            throw new IllegalArgumentException(FILE + ": 'class#method, cause, issue' was expected: " + line);
        }
        Entry entry = new Entry(line.substring(0, cause), line.substring(cause + 1, issue).strip(),
                line.substring(issue + 1).strip());
        entries.put(entry.test(), entry);
    }

    /**
     * The list in these lines.
     *
     * @throws IllegalArgumentException where a line is no entry, or there are too many
     */
    public static KnownRed parse(List<String> lines) {
        return new KnownRed(lines);
    }

    /** The project's list; empty where there is no file. */
    public static KnownRed ofProject() {
        try {
            return new KnownRed(Files.exists(FILE) ? Files.readAllLines(FILE) : List.of());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** All entries, in their order. */
    public List<Entry> entries() {
        return List.copyOf(entries.values());
    }

    /** The entry of a test; null where it must pass. */
    public Entry of(String testClass, String method) {
        return entries.get(testClass + "#" + method);
    }

    /** Prints that a listed test has failed. */
    public static String failed(Entry entry, Throwable failure) {
        String line = "KNOWN RED " + entry.test() + " failed, as listed (" + entry.cause() + "; " + entry.issue()
                + "): " + String.valueOf(failure.getMessage()).lines().findFirst().orElse("");
        System.out.println(line);
        return line;
    }

    /** What is wrong where a listed test passes. */
    public static String passed(Entry entry) {
        return entry.test() + " passes and is listed in " + FILE + ": take it off the list";
    }
}
