package wingspread.core;

/** The planner's interface to the exchanges; the results of its calls are posted back as {@link Event}s. */
public interface ExchangeTransport {
    /** Sends a set-up to the exchange of the attempt. */
    void invite(Attempt attempt);

    /** Cancels a set-up whose deadline has passed or whose caller has abandoned the call. */
    void cancelAttempt(Attempt attempt);

    /** Releases a call that an exchange regards as established; {@code cause} is that of Q.850. */
    void release(long exchange, String call, int cause);

    /** An established call has ended without a {@link #release} toward its exchange. */
    default void callEnded(long exchange, String call) { }

    /** Closes the idle connections to an exchange. */
    void closeIdle(long exchange);

    /** Whether an exchange may disappear without any event; false in a model that reports every end of a call. */
    default boolean needsLivenessChecks() {
        return true;
    }

    /**
     * Opens a new connection to an exchange that has not sent anything for a while. Any message received from the
     * exchange, on this or on another connection, is posted as an event.
     *
     * @return false if no connection can be opened now for local reasons
     */
    boolean checkLiveness(long exchange);
}
