package wingspread.testbed;

import java.util.concurrent.locks.LockSupport;
import wingspread.lab.sim.VirtualTime;
import wingspread.lab.world.Model;
import wingspread.net.UnixClock;

/**
 * Makes the model's time advance with the wall clock. The time may be read from any thread; {@link #runUntil} is called
 * by the model's thread.
 */
final class WallClockPacing implements Model.Pacing {
    /** Sleep between two checks for due events of the model. */
    private static final long POLL_INTERVAL_NANOS = 500_000;
    private static final long QUIET_PERIOD_MICROS = 4_000_000;

    private final UnixClock wallClock = new UnixClock();
    /** Wall-clock time minus the model's time, in microseconds. */
    private volatile long offsetMicros;
    private boolean started;

    @Override
    public void runUntil(VirtualTime time, long end) {
        if (!started) {
            // All processes start at the first instant of the model; the time that this takes does not count.
            time.runUntil(time.getAsLong());
            offsetMicros = wallClock.getAsLong() - time.getAsLong();
            started = true;
        }
        for (long now = modelMicros(); now < end; now = modelMicros()) {
            time.runUntil(now);
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        time.runUntil(end);
    }

    /** Returns a time that exceeds the wait of callers before a redial, so that the run does not end before it. */
    @Override
    public long idleMicrosBeforeEnd() {
        return QUIET_PERIOD_MICROS;
    }

    /** Returns the model's current time in microseconds. */
    long modelMicros() {
        return wallClock.getAsLong() - offsetMicros;
    }

    /**
     * Converts a time of the model to Unix milliseconds. A time of 0 or less lies before the start of the model and
     * gives 0, which stands for the distant past.
     */
    long unixMillis(long modelMicros) {
        return modelMicros <= 0 ? 0 : (modelMicros + offsetMicros) / 1_000;
    }
}
