package wingspread.testbed.soak;

/** A schedule is invalid or a trial cannot be run; the message is a single line for the user of the command line. */
public final class SoakException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SoakException(String message) {
        super(message);
    }
}
