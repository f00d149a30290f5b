package wingspread.wirehost;

/** Input that cannot be understood; the message names what and where, in one line. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
