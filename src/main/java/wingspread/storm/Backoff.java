package wingspread.storm;

import java.util.random.RandomGenerator;

/**
 * Waits between tries to connect: exponential and, with full jitter, anywhere below a bound that doubles, so that many
 * who lost the same peer at the same moment do not knock together. Times in microseconds.
 */
public final class Backoff {
    private final long first;
    private final long longest;
    private final double jitter;
    private final RandomGenerator random;
    private long bound;

    Backoff(long first, long longest, double jitter, RandomGenerator random) {
        this.first = first;
        this.longest = longest;
        this.jitter = jitter;
        this.random = random;
        this.bound = first;
    }

    /** The next wait, from 1 to the bound of now. */
    public long next() {
        long wait = Math.max(1, Math.round(bound * (1 - jitter * random.nextDouble())));
        bound = Math.min(longest, 2 * bound);
        return wait;
    }

    /** It worked: the next wait is a first one. */
    public void reset() {
        bound = first;
    }
}
