package wingspread.toml;

/** Thrown if a settings file is invalid; the message is one line with the file, the path and what was expected. */
public final class TomlException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public TomlException(String message) {
        super(message);
    }
}
