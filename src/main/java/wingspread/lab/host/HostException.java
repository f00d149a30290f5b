package wingspread.lab.host;

/** Softswitches in another process cannot be had, or broke off; the message is one line that says why. */
public final class HostException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public HostException(String message) {
        super(message);
    }
}
