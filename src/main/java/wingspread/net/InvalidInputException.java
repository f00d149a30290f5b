package wingspread.net;

/** Thrown for malformed input from outside the process. The message names the fault and its position in one line. */
public final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message);
    }
}
