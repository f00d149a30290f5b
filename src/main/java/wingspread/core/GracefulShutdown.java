package wingspread.core;

/**
 * The graceful shutdown of a softswitch from SIGTERM to its exit: decides on the next step by the calls and connections
 * that are left. Performs no I/O; all times are microseconds on the host's clock.
 *
 * <p>The times follow from the platform's guarantees. After SIGTERM, new connections keep arriving for at most 0.4 s,
 * and requests on open connections for another 0.2 s. SIGKILL follows no earlier than 0.7 s after the maximum call
 * deadline, which counts as at most 3 s. Every call must be answered before then, even if its own deadline is later.
 */
public final class GracefulShutdown {
    private static final long MAX_DEADLINE_MICROS = 3_000_000;
    private static final long KILL_AFTER_DEADLINE_MICROS = 700_000;
    /** Time after SIGTERM in which new connections arrive, with a margin for late ones. */
    private static final long CONNECTION_ARRIVAL_MICROS = 500_000;
    /** Time in which requests arrive on the last accepted connections. */
    private static final long REQUEST_ARRIVAL_MICROS = 200_000;
    /** Further time in which established calls may end normally before they are left to the next process. */
    private static final long ESTABLISHED_CALL_GRACE_MICROS = 1_000_000;
    /**
     * From the last answer to SIGKILL. Allows for an event loop that is several turns late on a fraction of a core, and
     * covers the time to detect that all calls are answered, to flush and to exit.
     */
    private static final long FLUSH_MARGIN_MICROS = 300_000;
    /** From the latest exit of the process to SIGKILL. */
    private static final long EXIT_MARGIN_MICROS = 100_000;

    /** The next action of the softswitch. */
    public enum Step {
        /** Continue to serve. */
        SERVE,
        /** Continue to serve, but accept the connections in the listener's queue and then stop listening. */
        STOP_LISTENING,
        /**
         * Refuse new set-ups, and close every caller connection with no pending answer and no established call. The
         * others may stay open until their callers are notified of the ends of their calls. Early closes prevent the
         * loss of a request that arrives between the last check and the exit: calls in transit keep arriving as long
         * as a connection is open, but a call that crosses a close is sent elsewhere by its caller.
         */
        CLOSE_UNUSED,
        /**
         * Hand over the established calls and close the connections to the exchanges. Comes once, after all calls are
         * answered and before the last caller connections are closed: a release that an exchange sent later could not
         * be passed on to its caller, and callers whom this process itself must notify of an end must be reachable.
         */
        HAND_OVER,
        /** As {@link #CLOSE_UNUSED}, but connections with established calls are closed too. */
        CLOSE_IDLE,
        /** Exit once all written data has been sent. */
        LEAVE
    }

    private final long startedAt;
    private final long killAt;
    private boolean listening = true;
    private boolean handedOver;
    /** When the listener was closed; undefined before that. */
    private long closedAt;

    /**
     * Starts the shutdown.
     *
     * @param now when SIGTERM was received
     * @param maxDeadline maximum set-up time of all call classes, in microseconds
     */
    public GracefulShutdown(long now, long maxDeadline) {
        this.startedAt = now;
        this.killAt = now + Math.min(maxDeadline, MAX_DEADLINE_MICROS) + KILL_AFTER_DEADLINE_MICROS;
    }

    /** Returns the time by which every call must be answered. */
    public long answerDeadline() {
        return killAt - FLUSH_MARGIN_MICROS;
    }

    /** Returns the time by which the process must exit, whatever is still unsent. */
    public long exitDeadline() {
        return killAt - EXIT_MARGIN_MICROS;
    }

    /**
     * Returns the next step. The order is SERVE, one STOP_LISTENING, then SERVE and CLOSE_UNUSED, one HAND_OVER, then
     * CLOSE_IDLE, and one LEAVE.
     *
     * @param unanswered number of unanswered calls, including those of callers without a connection
     * @param established number of established calls of whose ends this process may still notify callers
     * @param connections number of open caller connections
     */
    public Step next(long now, long unanswered, long established, int connections) {
        if (listening) {
            if (now < startedAt + CONNECTION_ARRIVAL_MICROS && now < answerDeadline() - REQUEST_ARRIVAL_MICROS) {
                return Step.SERVE;
            }
            listening = false;
            closedAt = now;
            return Step.STOP_LISTENING;
        }
        if (now >= exitDeadline()) {
            return handedOver ? Step.LEAVE : handOver();
        }
        boolean requestsArrived = now >= closedAt + REQUEST_ARRIVAL_MICROS;
        boolean graceOver = established == 0
                || now >= closedAt + REQUEST_ARRIVAL_MICROS + ESTABLISHED_CALL_GRACE_MICROS
                || now >= answerDeadline() - REQUEST_ARRIVAL_MICROS;
        if (!requestsArrived) {
            return Step.SERVE;
        }
        if (!graceOver) {
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
