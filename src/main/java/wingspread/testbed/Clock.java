package wingspread.testbed;

import java.util.concurrent.locks.LockSupport;
import wingspread.lab.sim.VirtualTime;
import wingspread.lab.world.Model;
import wingspread.net.UnixClock;

/** Lets the model's time pass with the wall's. Read from any thread; driven by the model's. */
final class Clock implements Model.Pacing {
    /** The longest sleep between two looks, in nanoseconds. */
    private static final long NAP = 500_000;
    private static final long QUIET = 4_000_000;

    private final UnixClock wall = new UnixClock();
    /** What the wall's clock has beyond the model's, in microseconds. */
    private volatile long ahead;
    private boolean started;

    @Override
    public void runUntil(VirtualTime time, long end) {
        if (!started) {
            // Everything starts in this first moment, however long that takes.
            time.runUntil(time.getAsLong());
            ahead = wall.getAsLong() - time.getAsLong();
            started = true;
        }
        for (long now = model(); now < end; now = model()) {
            time.runUntil(now);
            LockSupport.parkNanos(NAP);
        }
        time.runUntil(end);
    }

    /** Longer than callers wait before they dial again. */
    @Override
    public long quiet() {
        return QUIET;
    }

    /** The model's time now, in its microseconds. */
    long model() {
        return wall.getAsLong() - ahead;
    }

    /** A time of the model in Unix milliseconds; what lies before its start, as 0 does, is long past. */
    long unixMillis(long model) {
        return model <= 0 ? 0 : (model + ahead) / 1_000;
    }
}
