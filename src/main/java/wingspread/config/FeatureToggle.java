package wingspread.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;

/**
 * Checks whether a settings file may enable an optional feature. This shortens the start of a softswitch, as the TOML
 * library is loaded only if a line mentions {@code enabled} with a value other than {@code false}.
 */
public final class FeatureToggle {
    private static final Pattern DISABLED = Pattern.compile("\\s*enabled\\s*=\\s*false\\s*(#.*)?");

    private FeatureToggle() { }

    /**
     * Returns false if the file does not exist or no line can enable the feature; true if the file has to be parsed.
     *
     * @throws ConfigException if the file cannot be read
     */
    public static boolean mayBeEnabled(Path file) {
        try {
            return Files.exists(file) && Files.readAllLines(file).stream()
                    .anyMatch(line -> line.contains("enabled") && !line.stripLeading().startsWith("#")
                            && !DISABLED.matcher(line).matches());
        } catch (IOException e) {
            throw new ConfigException(file + " cannot be read: " + e.getMessage());
        }
    }
}
