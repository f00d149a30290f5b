package wingspread.storm;

import java.util.random.RandomGenerator;

/**
 * Assigns retry times to rejected callers. Each caller gets the next slot of a queue that advances at the available
 * rate, shifted at random by up to one slot, so that callers return spread out instead of together at the end of a
 * common wait. If the queue exceeds the maximum wait, callers are spread over the whole of that wait at random. All
 * times are in microseconds.
 */
public final class RetrySchedule {
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final long maxWaitMicros;
    private final RandomGenerator random;
    /** Start of the first slot that is not assigned. */
    private double nextFreeSlot;

    /** Creates an empty schedule. */
    public RetrySchedule(long now, long maxWaitMicros, RandomGenerator random) {
        this.maxWaitMicros = maxWaitMicros;
        this.random = random;
        this.nextFreeSlot = now;
    }

    /**
     * Returns the wait to advise to a rejected caller, from 1 to the maximum wait.
     *
     * @param freePerSecond returning calls per second for which there is capacity, above 0
     */
    public long waitFor(long now, double freePerSecond) {
        double slot = MICROS_PER_SECOND / freePerSecond;
        nextFreeSlot = Math.max(nextFreeSlot, now) + slot;
        double wait = nextFreeSlot - now - slot * random.nextDouble();
        if (wait > maxWaitMicros) {
            // The queue is full and does not grow; a caller beyond its end gets a random time within it.
            nextFreeSlot = now + (double) maxWaitMicros;
            wait = maxWaitMicros * random.nextDouble();
        }
        return Math.max(1, Math.round(wait));
    }
}
