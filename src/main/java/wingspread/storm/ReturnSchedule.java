package wingspread.storm;

import java.util.random.RandomGenerator;

/**
 * When those who are turned away shall come back. Each is given the next place in a line that moves at the rate which
 * is free, shifted at random by up to one place, so that they return spread out and not bunched at the end of a common
 * wait. A line longer than the longest wait is spread over the whole of that wait at random.
 */
public final class ReturnSchedule {
    private static final double SECOND = 1_000_000;

    private final long longestWait;
    private final RandomGenerator random;
    /** The first moment that nobody was sent to yet. */
    private double nextFree;

    /** A line with nobody in it. */
    public ReturnSchedule(long now, long longestWait, RandomGenerator random) {
        this.longestWait = longestWait;
        this.random = random;
        this.nextFree = now;
    }

    /**
     * The wait to tell one who is turned away, in microseconds, from 1 to the longest.
     *
     * @param freePerSecond returning calls a second that there is room for, above 0
     */
    public long waitFor(long now, double freePerSecond) {
        double gap = SECOND / freePerSecond;
        nextFree = Math.max(nextFree, now) + gap;
        double wait = nextFree - now - gap * random.nextDouble();
        if (wait > longestWait) {
            // The line is full: it does not grow, and who would stand beyond its end is sent anywhere into it.
            nextFree = now + (double) longestWait;
            wait = longestWait * random.nextDouble();
        }
        return Math.max(1, Math.round(wait));
    }
}
