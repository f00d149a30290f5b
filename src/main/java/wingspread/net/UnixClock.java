package wingspread.net;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * A clock in microseconds since the Unix epoch that never steps: it reads the system clock once, on creation, and
 * advances with the monotonic clock from there.
 */
public final class UnixClock implements LongSupplier {
    private final long anchorMicros;
    private final long anchorNanos;

    /** Creates a clock that starts at the current system time. */
    public UnixClock() {
        Instant now = Instant.now();
        anchorNanos = System.nanoTime();
        anchorMicros = now.getEpochSecond() * 1_000_000 + now.getNano() / 1_000;
    }

    @Override
    public long getAsLong() {
        return anchorMicros + (System.nanoTime() - anchorNanos) / 1_000;
    }
}
