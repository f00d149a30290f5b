package wingspread.admin;

/**
 * What the administrative server asks of a softswitch. All methods are called on the server's own thread and must
 * return at once, also while the event loop of the softswitch is busy.
 */
public interface AdminOperations {
    /** Whether callers are served now. */
    boolean isServing();

    /** Returns the most recent figures. */
    ServiceStatistics statistics();

    /** Sends callers away until {@link #resume}; has no effect if they are being sent away already. */
    void quiesce();

    /** Serves callers again; has no effect if they are being served, or once the softswitch is shutting down. */
    void resume();
}
