package wingspread.config;

/** A setting that is missing or cannot be read; the message says which, in one line. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
        super(message);
    }
}
