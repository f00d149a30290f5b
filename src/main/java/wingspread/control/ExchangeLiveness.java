package wingspread.control;

/**
 * A failure detector for one exchange with established calls, which needs no probe messages. Every message
 * from the exchange is a heartbeat. After some time without one, the detector requests checks: new
 * connections, on which a live exchange sends the first message. If no message arrives on several checks,
 * whether or not their connections are established, the exchange counts as down and its calls as ended.
 *
 * <p>The limit follows from the platform's protocol: callers must be notified within 8 s of the end of a call
 * if no release could be sent. An exchange may have failed right after its last message, so the time is
 * counted from that message, and the limit leaves a margin to notify the callers. It is otherwise as long as
 * the protocol allows, because an exchange that is only unreachable for some seconds keeps its calls.
 *
 * <p>All times are microseconds on the host's clock. The class does no I/O and is confined to one thread.
 */
public final class ExchangeLiveness {
    /** The time without a message after which checks begin. */
    static final long CHECK_AFTER_MICROS = 3_000_000;
    /** The same during shutdown, as unresponsive exchanges must be known before the process exits. */
    static final long SHUTDOWN_CHECK_AFTER_MICROS = 300_000;
    /** The interval between checks while no message arrives. */
    static final long CHECK_INTERVAL_MICROS = 550_000;
    /** The time without a message after which the exchange counts as down. */
    static final long DOWN_AFTER_MICROS = 7_400_000;
    /**
     * The minimum number of checks without a message before the exchange counts as down; the first of the
     * last {@code MIN_CHECKS} ones must have timed out. Prevents false detections where connections are not
     * established although the exchange is alive, or the host itself did not run for some seconds.
     */
    static final int MIN_CHECKS = 4;
    /** The time after which a check has failed; some connections are only established after a second. */
    static final long CHECK_TIMEOUT_MICROS = 1_100_000;
    /** The same during shutdown, when less time is available. */
    static final long SHUTDOWN_CHECK_TIMEOUT_MICROS = 300_000;

    /** What the host has to do next. */
    public enum Step {
        /** Nothing until the time of {@link #nextStepAt}. */
        WAIT,
        /** Open a new connection, and report it by {@link #checkStarted} or {@link #checkSkipped}. */
        CHECK,
        /** The exchange is down; its calls count as ended. */
        DOWN
    }

    private long lastMessageAt;
    private long checkedAt;
    private long firstCheckAt;
    private int checkCount;
    /** The times of the last checks, as a ring buffer. */
    private final long[] checkTimes = new long[MIN_CHECKS];
    private boolean shuttingDown;

    /** Creates a detector for an exchange that has just sent a message. */
    public ExchangeLiveness(long now) {
        messageReceived(now);
    }

    /** Records a message from the exchange, on any connection. */
    public void messageReceived(long now) {
        lastMessageAt = now;
        checkCount = 0;
    }

    /** Returns the time of the last message from the exchange. */
    public long lastMessageAt() {
        return lastMessageAt;
    }

    /** Records that a new connection is being opened as a check. */
    public void checkStarted(long now) {
        if (checkCount == 0) {
            firstCheckAt = now;
        }
        checkTimes[checkCount % MIN_CHECKS] = now;
        checkedAt = now;
        checkCount++;
    }

    /** Records that this side could not open a connection, which gives no evidence about the exchange. */
    public void checkSkipped(long now) {
        checkedAt = now;
    }

    /** Switches to the shorter times for shutdown. */
    public void beginShutdown() {
        shuttingDown = true;
    }

    /** Returns the next step; the same one until the time advances or an event is recorded. */
    public Step nextStep(long now) {
        if (now >= lastMessageAt + DOWN_AFTER_MICROS && enoughChecks(now)) {
            return Step.DOWN;
        }
        return now >= nextCheck() ? Step.CHECK : Step.WAIT;
    }

    /** Returns when {@link #nextStep} should be called again, after a call at {@code now}. */
    public long nextStepAt(long now) {
        long limit = lastMessageAt + DOWN_AFTER_MICROS;
        return limit > now ? Math.min(nextCheck(), limit) : nextCheck();
    }

    private long nextCheck() {
        long firstCheck = lastMessageAt + (shuttingDown ? SHUTDOWN_CHECK_AFTER_MICROS : CHECK_AFTER_MICROS);
        return checkedAt > lastMessageAt
                ? Math.max(firstCheck, checkedAt + CHECK_INTERVAL_MICROS) : firstCheck;
    }

    /** Whether there were enough checks without a message, and the first of the last ones has timed out. */
    private boolean enoughChecks(long now) {
        return checkCount >= MIN_CHECKS && now >= checkTimes[checkCount % MIN_CHECKS] + CHECK_TIMEOUT_MICROS;
    }

    /**
     * Whether an exchange has lost calls. On a new connection it first reports the free circuits of the group
     * to this exchange; if fewer circuits are busy than the established calls occupy, it does not hold all of
     * them. This distinguishes a process that was replaced or restarted from one that was only unreachable,
     * as both send messages again.
     *
     * @param first the first report on the new connection
     * @param width the circuits occupied by calls that were established before the connection
     */
    public static boolean hasLostCalls(CallControl.Report first, double width) {
        return first.circuits() > 0 && first.circuits() - first.free() < width;
    }

    /**
     * Whether the exchange has not responded to a check for some time. At shutdown its calls are ended,
     * because a successor of this process would not know them and nobody could notify their callers of the
     * end.
     */
    public boolean isUnresponsive(long now) {
        return checkCount > 0 && now >= firstCheckAt + SHUTDOWN_CHECK_TIMEOUT_MICROS;
    }
}
