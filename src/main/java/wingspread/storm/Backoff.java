package wingspread.storm;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff between connection attempts. With full jitter each wait is random below a bound that doubles, so
 * that many clients that lost the same peer at the same time do not reconnect simultaneously. All times are in
 * microseconds.
 */
public final class Backoff {
    private final long initialBoundMicros;
    private final long maxBoundMicros;
    private final double jitter;
    private final RandomGenerator random;
    private long bound;

    Backoff(long initialBoundMicros, long maxBoundMicros, double jitter, RandomGenerator random) {
        this.initialBoundMicros = initialBoundMicros;
        this.maxBoundMicros = maxBoundMicros;
        this.jitter = jitter;
        this.random = random;
        this.bound = initialBoundMicros;
    }

    /** Returns the next wait, from 1 to the current bound, and doubles the bound. */
    public long next() {
        long wait = Math.max(1, Math.round(bound * (1 - jitter * random.nextDouble())));
        bound = Math.min(maxBoundMicros, 2 * bound);
        return wait;
    }

    /** Returns to the initial bound after a successful attempt. */
    public void reset() {
        bound = initialBoundMicros;
    }
}
