package wingspread.storm;

import java.util.random.RandomGenerator;

/**
 * Parameters for pacing new connections and for the backoff before reconnecting.
 *
 * @param loopShare of the event loop's time that new connections and their handshakes may take, above 0 and at most 1;
 *     1 for no pacing
 * @param burstMicros loop time in microseconds that an unused budget for new connections accumulates, at least 1
 * @param surgeFactor multiple of the baseline rate of new connections at which a surge is logged, at least 1
 * @param minSurgePerSecond new connections per second below which no surge begins
 * @param initialBackoffMicros bound of the first wait before a link reconnects, in microseconds, at least 1
 * @param maxBackoffMicros maximum of that bound, which doubles with each wait, in microseconds
 * @param jitter maximum share of the bound by which a wait is shortened at random: 1 for full jitter, 0 for none
 */
public record ReconnectParameters(double loopShare, long burstMicros, double surgeFactor, double minSurgePerSecond,
        long initialBackoffMicros, long maxBackoffMicros, double jitter) {
    /** Default backoff of a link, without pacing and without jitter. */
    public static final ReconnectParameters OFF = new ReconnectParameters(1, 1_000_000, 5, 50, 100_000, 800_000, 0);
    /** Defaults for settings that are not given while pacing is enabled. */
    public static final ReconnectParameters DEFAULTS =
            new ReconnectParameters(0.25, 20_000, 5, 50, 200_000, 1_600_000, 1);
    /** Assumed cost of a connection before any was measured. */
    private static final double INITIAL_COST_MICROS = 200;
    private static final long SURGE_WINDOW_MICROS = 500_000;
    private static final long SURGE_BASELINE_WINDOW_MICROS = 60_000_000;

    /** Checks the rules that the settings schema cannot express. */
    public ReconnectParameters {
        if (!(loopShare > 0 && loopShare <= 1) || burstMicros < 1 || !(jitter >= 0 && jitter <= 1)
                || !(surgeFactor >= 1) || !(minSurgePerSecond >= 0)) {
            throw new IllegalArgumentException(
                    "share, burst, surge-factor, least-surge or jitter of reconnects is out of its bounds");
        }
        if (initialBackoffMicros < 1 || maxBackoffMicros < initialBackoffMicros) {
            throw new IllegalArgumentException("longest-backoff is below first-backoff, or first-backoff is 0");
        }
    }

    /** Creates the backoff of one link. */
    public Backoff backoff(RandomGenerator random) {
        return new Backoff(initialBackoffMicros, maxBackoffMicros, jitter, random);
    }

    /** Whether new connections are paced. */
    public boolean paced() {
        return loopShare < 1;
    }

    /** Creates the budget for new connections of one listener. */
    public LoopBudget connectionBudget(long now) {
        return new LoopBudget(now, loopShare, burstMicros, INITIAL_COST_MICROS);
    }

    /** Creates the detector for surges of new connections of one listener. */
    public SurgeDetector surgeDetector(long now) {
        return new SurgeDetector(now, SURGE_WINDOW_MICROS, SURGE_BASELINE_WINDOW_MICROS, surgeFactor,
                minSurgePerSecond);
    }
}
