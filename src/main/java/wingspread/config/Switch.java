package wingspread.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;

/**
 * Whether a file of settings may switch something on. Guards the start of a softswitch: the library that reads TOML
 * is only opened where a line says {@code enabled} and anything but {@code false}.
 */
public final class Switch {
    private static final Pattern OFF = Pattern.compile("\\s*enabled\\s*=\\s*false\\s*(#.*)?");

    private Switch() { }

    /** False where the file is missing or no line can switch it on; true means that it has to be read. */
    public static boolean mayBeOn(Path file) {
        try {
            return Files.exists(file) && Files.readAllLines(file).stream()
                    .anyMatch(line -> line.contains("enabled") && !line.stripLeading().startsWith("#")
                            && !OFF.matcher(line).matches());
        } catch (IOException e) {
            throw new ConfigException(file + " cannot be read: " + e.getMessage());
        }
    }
}
