package wingspread.config;

/** Thrown if a setting is missing or invalid; the message is one line that names the setting. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
        super(message);
    }
}
