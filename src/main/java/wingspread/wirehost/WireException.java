package wingspread.wirehost;

/** Thrown for malformed input; the message names the fault and its position in one line. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
