package wingspread.core;

/**
 * The caller's side of one call, implemented by the protocol fronts. A call gets exactly one final answer:
 * established, refused, failed or abandoned. After that, only the end of an established call is notified.
 */
public interface Caller {
    /**
     * Final answer: the call is established.
     *
     * @param description session description of the exchange, unchanged
     */
    void onEstablished(byte[] description);

    /**
     * Final answer: the call is refused.
     *
     * @param wait how long the caller should wait before a redial, in microseconds; 0 for no advice
     */
    void onRefused(long wait);

    /** Final answer: the call failed. */
    void onFailed();

    /**
     * Confirms that the caller has abandoned the set-up before any other answer was given. A caller whose deadline
     * passes just before the answer would arrive still waits for one for a while, and without this would never get
     * any. Does nothing for a protocol with its own response to a cancellation.
     */
    default void onAbandoned() { }

    /**
     * Notifies the caller that an established call has ended.
     *
     * @param cause Q.850 cause
     */
    void onEnded(int cause);

    /** Whether the end of an established call, if it were notified now, would be sent to the caller at once. */
    default boolean isReachable() {
        return true;
    }

    /** Whether the process that replaces this one could notify the caller of the end of an established call. */
    boolean survivesRestart();

    /** Receives the releases of calls that this process did not set up, to pass them on to their callers. */
    interface UnknownCallListener {
        /**
         * Passes on the release of a call by an exchange.
         *
         * @param call id of the call
         * @param cause Q.850 cause
         */
        void onEnded(String call, int cause);
    }
}
