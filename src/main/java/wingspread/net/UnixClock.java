package wingspread.net;

import java.time.Instant;
import java.util.function.LongSupplier;

/** Microseconds since the Unix epoch: the system's clock at the start, then carried on without steps. */
public final class UnixClock implements LongSupplier {
    private final long anchor;
    private final long anchorNanos;

    public UnixClock() {
        Instant now = Instant.now();
        anchorNanos = System.nanoTime();
        anchor = now.getEpochSecond() * 1_000_000 + now.getNano() / 1_000;
    }

    @Override
    public long getAsLong() {
        return anchor + (System.nanoTime() - anchorNanos) / 1_000;
    }
}
