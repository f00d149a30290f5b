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
}
