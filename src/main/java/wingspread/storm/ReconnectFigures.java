package wingspread.storm;

import java.util.random.RandomGenerator;

/**
 * Parameters for pacing new connections and for the backoff before reconnecting.
 *
 * @param share of the event loop's time that new connections and their handshakes may take, above 0 and at most 1;
 *     1 for no pacing
 * @param burst loop time in microseconds that an unused budget for new connections accumulates, at least 1
 * @param surgeFactor multiple of the baseline rate of new connections at which a surge is logged, at least 1
 * @param leastSurge new connections per second below which no surge begins
 * @param firstBackoff bound of the first wait before a link reconnects, in microseconds, at least 1
 * @param longestBackoff maximum of that bound, which doubles with each wait, in microseconds
 * @param jitter maximum share of the bound by which a wait is shortened at random: 1 for full jitter, 0 for none
 */
public record ReconnectFigures(double share, long burst, double surgeFactor, double leastSurge,
        long firstBackoff, long longestBackoff, double jitter) {
    /** Default backoff of a link, without pacing and without jitter. */
    public static final ReconnectFigures OFF = new ReconnectFigures(1, 1_000_000, 5, 50, 100_000, 800_000, 0);
    /** Defaults for settings that are not given while pacing is enabled. */
    public static final ReconnectFigures USUAL =
            new ReconnectFigures(0.25, 20_000, 5, 50, 200_000, 1_600_000, 1);
    /** Assumed cost of a connection before any was measured. */
    private static final double INITIAL_COST_MICROS = 200;
    private static final long SURGE_WINDOW_MICROS = 500_000;
    private static final long SURGE_BASELINE_WINDOW_MICROS = 60_000_000;

    /** Checks the rules that the settings schema cannot express. */
    public ReconnectFigures {
        if (!(share > 0 && share <= 1) || burst < 1 || !(jitter >= 0 && jitter <= 1)
                || !(surgeFactor >= 1) || !(leastSurge >= 0)) {
            throw new IllegalArgumentException(
                    "share, burst, surge-factor, least-surge or jitter of reconnects is out of its bounds");
        }
        if (firstBackoff < 1 || longestBackoff < firstBackoff) {
            throw new IllegalArgumentException("longest-backoff is below first-backoff, or first-backoff is 0");
        }
    }

    /** Creates the backoff of one link. */
    public Backoff backoff(RandomGenerator random) {
        return new Backoff(firstBackoff, longestBackoff, jitter, random);
    }

    /** Whether new connections are paced. */
    public boolean paced() {
        return share < 1;
    }

    /** Creates the budget for new connections of one listener. */
    public LoopBudget newcomers(long now) {
        return new LoopBudget(now, share, burst, INITIAL_COST_MICROS);
    }

    /** Creates the detector for surges of new connections of one listener. */
    public SurgeDetector surges(long now) {
        return new SurgeDetector(now, SURGE_WINDOW_MICROS, SURGE_BASELINE_WINDOW_MICROS, surgeFactor,
                leastSurge);
    }
}
