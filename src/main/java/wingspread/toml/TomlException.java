package wingspread.toml;

/** A file of settings cannot be taken; the message is one line that names file, place and what was expected. */
public final class TomlException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public TomlException(String message) {
        super(message);
    }
}
