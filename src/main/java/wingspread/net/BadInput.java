package wingspread.net;

/** Thrown for malformed input from outside the process. The message names the fault and its position in one line. */
public final class BadInput extends Exception {
    private static final long serialVersionUID = 1L;

    public BadInput(String message) {
        super(message);
    }
}
