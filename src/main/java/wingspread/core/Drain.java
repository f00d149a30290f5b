package wingspread.core;

/**
 * Whether callers are sent away by an operator, and what follows from it. Performs no I/O; all times are microseconds
 * on the host's clock. A drain ends with {@link #resume}; a shutdown goes its own way ({@link GracefulShutdown}).
 *
 * <p>The times follow from the platform's guarantees: the front asks every 0.1 s whether the softswitch is ready and
 * sends new connections for 0.2 s more, and 4 s after the drain no connection may be held that is idle or has a request
 * of the last 2 s.
 */
public final class Drain {
    /** Time after the start in which calls are still served. */
    private static final long ARRIVAL_MICROS = 500_000;
    private static final long NOT_DRAINING = Long.MAX_VALUE;

    /** The next action of the softswitch. */
    public enum Step {
        /** Serve calls. */
        SERVE,
        /** Refuse new calls, and close the caller connections without a pending or established call. */
        SEND_AWAY
    }

    private long startedAt = NOT_DRAINING;

    /** Starts a drain, unless one is in progress. */
    public void quiesce(long now) {
        startedAt = Math.min(startedAt, now);
    }

    /** Ends a drain. */
    public void resume() {
        startedAt = NOT_DRAINING;
    }

    /** Whether a drain is in progress, so that the softswitch is not ready for calls. */
    public boolean isDraining() {
        return startedAt != NOT_DRAINING;
    }

    /** Returns the next step. */
    public Step next(long now) {
        return isDraining() && now >= startedAt + ARRIVAL_MICROS ? Step.SEND_AWAY : Step.SERVE;
    }
}
