package wingspread.net;

/** A message from outside that cannot be understood; the text says what and where, in one line. */
public final class BadInput extends Exception {
    private static final long serialVersionUID = 1L;

    public BadInput(String message) {
        super(message);
    }
}
