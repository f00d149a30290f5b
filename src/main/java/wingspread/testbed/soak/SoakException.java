package wingspread.testbed.soak;

/** A trial that cannot be taken or prepared; the message is one line for the person at the command line. */
public final class SoakException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SoakException(String message) {
        super(message);
    }
}
