package wingspread.storm;

import java.util.random.RandomGenerator;

/**
 * How connections are paced. Times in microseconds.
 *
 * @param share of the loop's time that accepts and handshakes may take while many come at once; 1 for no pacing
 * @param burst of the loop's time for newcomers that a quiet time adds up to
 * @param surgeFactor times the usual rate of newcomers at which the log tells of a surge
 * @param leastSurge newcomers a second under which nothing is a surge
 * @param firstBackoff bound of the first wait before a link connects again
 * @param longestBackoff what the bound, which doubles, grows to
 * @param jitter share of the bound that a wait is shortened by at random at most: 1 for full jitter, 0 for none
 */
public record ReconnectFigures(double share, long burst, double surgeFactor, double leastSurge, long firstBackoff,
        long longestBackoff, double jitter) {
    /** A link's usual waits, with nothing paced and nothing at random. */
    public static final ReconnectFigures OFF = new ReconnectFigures(1, 1_000_000, 5, 50, 100_000, 800_000, 0);
    /** Where settings say nothing, once this is on. */
    public static final ReconnectFigures USUAL = new ReconnectFigures(0.25, 20_000, 5, 50, 200_000, 1_600_000, 1);
    /** What an accept is taken to cost before one was seen. */
    private static final double ACCEPT = 200;
    private static final long WINDOW = 500_000;
    private static final long USUAL_WINDOW = 60_000_000;

    /** Checks what a schema cannot say. */
    public ReconnectFigures {
        if (!(share > 0 && share <= 1) || burst < 1 || !(jitter >= 0 && jitter <= 1) || !(surgeFactor >= 1)
                || !(leastSurge >= 0)) {
            throw new IllegalArgumentException("a figure of reconnects is out of its bounds");
        }
        if (firstBackoff < 1 || longestBackoff < firstBackoff) {
            throw new IllegalArgumentException("longest-backoff is below first-backoff, or that is 0");
        }
    }

    /** Waits for one link. */
    public Backoff backoff(RandomGenerator random) {
        return new Backoff(firstBackoff, longestBackoff, jitter, random);
    }

    /** Whether newcomers are paced at all. */
    public boolean paced() {
        return share < 1;
    }

    /** A budget for the newcomers of one listener. */
    public LoopBudget newcomers(long now) {
        return new LoopBudget(now, share, burst, ACCEPT);
    }

    /** What tells a surge of them. */
    public SurgeDetector surges(long now) {
        return new SurgeDetector(now, WINDOW, USUAL_WINDOW, surgeFactor, leastSurge);
    }
}
