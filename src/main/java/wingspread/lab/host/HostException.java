package wingspread.lab.host;

/** Thrown when a host process cannot be started or used, or fails during a run; the message is a single line. */
public final class HostException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public HostException(String message) {
        super(message);
    }
}
