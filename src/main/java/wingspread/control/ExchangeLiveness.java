package wingspread.control;

/**
 * Decides whether an exchange with calls standing on it is still there: a failure detector for one
 * exchange, which needs no probe. Every message from the exchange is a sign of life. After a while without
 * one the host is asked for a fresh connection, on which a live exchange speaks first. Where fresh
 * connections stay silent for long enough, whether or not they come up, the exchange counts as down, and
 * the calls on it as over.
 *
 * <p>The limit comes from the platform's protocol page: callers must be told within 8 s of a call's end, if
 * no release could be sent. An exchange may have vanished right after its last message, so the silence is
 * counted from that message and the limit keeps a margin to tell the callers. It is as long as the rule
 * allows, since an exchange that is only cut off for some seconds keeps its calls.
 *
 * <p>All times are microseconds on the host's clock. Free of I/O; confined to one thread.
 */
public final class ExchangeLiveness {
    /** Silence after which a fresh connection is asked for. */
    static final long QUIET = 3_000_000;
    /** The same while the program ends: whoever is silent must be known before it exits. */
    static final long QUIET_AT_END = 300_000;
    /** From one fresh connection to the next, while nothing is heard. */
    static final long BETWEEN_CHECKS = 550_000;
    /** Silence after which the exchange counts as down. */
    static final long SILENCE_LIMIT = 7_400_000;
    /**
     * Fresh connections that must have stayed silent by then. Guards against connections that do not come up
     * though the exchange lives, and against a host that did not run for some seconds itself.
     */
    static final int LEAST_CHECKS = 4;
    /** A fresh connection that is silent for so long has told nothing; some come up a second late. */
    static final long CHECK_TAKES = 1_100_000;
    /** At the end of the program a shorter time has to do. */
    static final long CHECK_TAKES_AT_END = 300_000;

    /** What to do now. */
    public enum Step {
        /** Nothing until the time of {@link #due}. */
        WAIT,
        /** Open a fresh connection, and say so by {@link #checked}. */
        CHECK,
        /** Nothing was heard for so long that its calls count as over. */
        DOWN
    }

    private long heardAt;
    private long checkedAt;
    private long firstCheckAt;
    private int checks;
    /** When the last check but three was made: the one that must have had its time. */
    private final long[] checkTimes = new long[LEAST_CHECKS];
    private boolean ending;

    /** An exchange that was heard now. */
    public ExchangeLiveness(long now) {
        heard(now);
    }

    /** Something came from the exchange, on any connection. */
    public void heard(long now) {
        heardAt = now;
        checks = 0;
    }

    /** When it was last heard. */
    public long heardAt() {
        return heardAt;
    }

    /** A fresh connection is being opened. */
    public void checked(long now) {
        if (checks == 0) {
            firstCheckAt = now;
        }
        checkTimes[checks % LEAST_CHECKS] = now;
        checkedAt = now;
        checks++;
    }

    /** No fresh connection could be opened, for reasons of this side: that tells nothing of the exchange. */
    public void notChecked(long now) {
        checkedAt = now;
    }

    /** The program ends soon: silence is looked into sooner. */
    public void hurry() {
        ending = true;
    }

    /** What to do now; the same until something changes. */
    public Step next(long now) {
        if (now >= heardAt + SILENCE_LIMIT && enoughChecks(now)) {
            return Step.DOWN;
        }
        return now >= nextCheck() ? Step.CHECK : Step.WAIT;
    }

    /** When {@link #next} is worth asking again, having been asked now. */
    public long due(long now) {
        long limit = heardAt + SILENCE_LIMIT;
        return limit > now ? Math.min(nextCheck(), limit) : nextCheck();
    }

    private long nextCheck() {
        long quiet = heardAt + (ending ? QUIET_AT_END : QUIET);
        return checkedAt > heardAt ? Math.max(quiet, checkedAt + BETWEEN_CHECKS) : quiet;
    }

    /** Whether that many checks have had their time and brought nothing. */
    private boolean enoughChecks(long now) {
        return checks >= LEAST_CHECKS && now >= checkTimes[checks % LEAST_CHECKS] + CHECK_TAKES;
    }

    /**
     * Whether an exchange cannot hold all calls that stand on it: on a fresh connection it first tells how
     * many circuits of the group between it and this exchange are free, and fewer are busy than the calls
     * need. So a process that was replaced or started again is told from one that was cut off, though both
     * speak again.
     *
     * @param width circuits that the calls hold which stood before the connection came up
     */
    public static boolean lacksCalls(CallControl.Report first, double width) {
        return first.circuits() > 0 && first.circuits() - first.free() < width;
    }

    /**
     * Whether it is silent though it was asked to speak. At the end of the program its calls are given up: no
     * successor would know them, and nobody could tell their callers that they are over.
     */
    public boolean suspect(long now) {
        return checks > 0 && now >= firstCheckAt + CHECK_TAKES_AT_END;
    }
}
