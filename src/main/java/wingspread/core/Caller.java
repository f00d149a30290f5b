package wingspread.core;

/** The caller's side of one call, as a front carries it. Nothing is said on a call after its last answer. */
public interface Caller {
    /** The call stands; the description is the exchange's, unchanged. */
    void stands(byte[] description);

    /** Final answer: refused; {@code wait} is how long to stay away in microseconds, 0 for no advice. */
    void refused(long wait);

    /** Final answer: failed. */
    void failed();

    /**
     * Heard that the caller gives the set-up up, before any answer was given. Guards against a caller whose time is up
     * a moment before the answer comes: it still waits for that for a while, and would never hear one. A wire on which
     * giving up has an answer of its own says nothing here.
     */
    default void givenUp() { }

    /** A call that stood is over. */
    void over(int cause);

    /** Whether a program started in place of this one could tell the caller that a call which stands is over. */
    boolean outlivesRestart();

    /** Where the release of a call goes that this program did not set up: to whoever its caller may be. */
    interface Strangers {
        void over(String call, int cause);
    }
}
