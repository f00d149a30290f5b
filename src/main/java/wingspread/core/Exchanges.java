package wingspread.core;

/** The planner's port toward the exchanges; what comes of its calls returns as {@link Event}s. */
public interface Exchanges {
    /** Sends a set-up. */
    void invite(Attempt attempt);

    /** Gives a set-up up: its time is over, or its caller gone. */
    void withdraw(Attempt attempt);

    /** Releases a call that an exchange holds to stand. */
    void release(long exchange, String call, int cause);

    /** Closes the idle connections to an exchange. */
    void closeIdle(long exchange);

    /** Whether an exchange may be gone without a word; not so in a model that tells of every end. */
    default boolean mayFallSilent() {
        return true;
    }

    /**
     * Opens a fresh connection to an exchange that has been silent for a while; whatever comes on it, or on another,
     * returns as an event.
     *
     * @return false where none can be opened now for reasons of this side
     */
    boolean check(long exchange);
}
