package wingspread.core;

/**
 * The planned end of a softswitch, from SIGTERM to its exit: what is done next, by what is still owed. Free of I/O; all
 * times are microseconds on the host's clock.
 *
 * <p>The figures are the platform's: new connections keep arriving for 0.4 s at the most, requests on open ones for
 * 0.2 s beyond that, and SIGKILL comes no earlier than 0.7 s after the longest deadline, which is taken as 3 s where it
 * is longer. So no answer may be planned for a later time than that, whatever time its caller leaves.
 */
public final class PlannedEnd {
    private static final long LONGEST_DEADLINE = 3_000_000;
    private static final long KILL_AFTER_DEADLINE = 700_000;
    /** New connections arrive for so long, and what is late on its way a little longer. */
    private static final long CONNECTIONS_COME = 500_000;
    /** Requests arrive for so long on a connection that came up last. */
    private static final long REQUESTS_COME = 200_000;
    /** Calls that stand may run on for so long beyond that, before they are left to the next program. */
    private static final long RUN_ON = 1_000_000;
    /**
     * From the last answer to SIGKILL. Guards against a loop that is late by some turns on a part of a core, and covers
     * the time to notice that all is answered, to flush and to exit.
     */
    private static final long TO_FLUSH = 300_000;
    /** From the latest exit to SIGKILL. */
    private static final long TO_EXIT = 100_000;

    /** What to do now. */
    public enum Step {
        /** Serve on. */
        SERVE,
        /** Serve on, but take no further connections: those that are in the listener's queue come first. */
        STOP_LISTENING,
        /**
         * Refuse new set-ups, and close each connection of callers that owes no answer and carries no call that stands.
         * The others may stay until the ends of their calls are told. Guards against a request that comes between the
         * last look and the exit: calls in transit keep coming for as long as a connection is open, and one that
         * crosses such a close is sent elsewhere by its caller.
         */
        CLOSE_UNUSED,
        /**
         * Hand over what stands, and close the connections to exchanges; once, and nothing is unanswered then. Comes
         * before the callers' last connections are closed: a release that an exchange sends later could be told to
         * nobody, and whom the program itself has to tell of an end must still be there.
         */
        HAND_OVER,
        /** The same as CLOSE_UNUSED, but calls that stand keep no connection open any longer. */
        CLOSE_IDLE,
        /** Leave once what is written has gone out. */
        LEAVE
    }

    private final long begun;
    private final long killed;
    private boolean listening = true;
    private boolean handedOver;
    /** When the listener was closed. */
    private long closedAt;

    /**
     * Begins the end.
     *
     * @param now when SIGTERM was heard
     * @param longestDeadline longest time that a class of call leaves
     */
    public PlannedEnd(long now, long longestDeadline) {
        this.begun = now;
        this.killed = now + Math.min(longestDeadline, LONGEST_DEADLINE) + KILL_AFTER_DEADLINE;
    }

    /** When every call must have its answer. */
    public long lastAnswer() {
        return killed - TO_FLUSH;
    }

    /** When the program must have left, whatever is still unsent. */
    public long lastExit() {
        return killed - TO_EXIT;
    }

    /**
     * The next step: SERVE, one STOP_LISTENING, then SERVE and CLOSE_UNUSED, one HAND_OVER, then CLOSE_IDLE, and one
     * LEAVE.
     *
     * @param unanswered calls that are owed an answer, also to callers without a connection
     * @param standing calls that stand, of which this program may still tell the ends
     * @param connections that callers hold
     */
    public Step next(long now, long unanswered, long standing, int connections) {
        if (listening) {
            if (now < begun + CONNECTIONS_COME && now < lastAnswer() - REQUESTS_COME) {
                return Step.SERVE;
            }
            listening = false;
            closedAt = now;
            return Step.STOP_LISTENING;
        }
        if (now >= lastExit()) {
            return handedOver ? Step.LEAVE : handOver();
        }
        boolean come = now >= closedAt + REQUESTS_COME;
        boolean runOut = standing == 0 || now >= closedAt + REQUESTS_COME + RUN_ON
                || now >= lastAnswer() - REQUESTS_COME;
        if (!come) {
            return Step.SERVE;
        }
        if (!runOut) {
            return connections > 0 ? Step.CLOSE_UNUSED : Step.SERVE;
        }
        if (unanswered > 0) {
            return connections > 0 ? Step.CLOSE_IDLE : Step.SERVE;
        }
        if (!handedOver) {
            return handOver();
        }
        return connections > 0 ? Step.CLOSE_IDLE : Step.LEAVE;
    }

    private Step handOver() {
        handedOver = true;
        return Step.HAND_OVER;
    }
}
