package wingspread.storm;

/**
 * Detects surges of new connections by comparing their rate with a baseline. The baseline is learnt only outside of
 * surges, one window late. A surge begins at a multiple of the baseline and ends at half of that rate. All times are
 * in microseconds.
 */
public final class SurgeDetector {
    private static final double HALF = 0.5;

    private final DecayingRate rate;
    private final DecayingRate baseline;
    private final long windowMicros;
    private final double onsetFactor;
    private final double minPerSecond;
    /** Start of the current window, in which connections are counted before they become part of the baseline. */
    private long intervalStart;
    private long currentCount;
    private long previousCount;
    private boolean active;

    /**
     * Creates a detector that has counted no connections.
     *
     * @param windowMicros time constant of the current rate, in microseconds
     * @param baselineWindowMicros time constant of the baseline, in microseconds
     * @param onsetFactor multiple of the baseline at which a surge begins
     * @param minPerSecond new connections per second below which no surge begins
     */
    public SurgeDetector(long now, long windowMicros, long baselineWindowMicros, double onsetFactor,
            double minPerSecond) {
        this.rate = new DecayingRate(now, windowMicros);
        this.baseline = new DecayingRate(now, baselineWindowMicros);
        this.windowMicros = windowMicros;
        this.onsetFactor = onsetFactor;
        this.minPerSecond = minPerSecond;
        this.intervalStart = now;
    }

    /** Counts a new connection; returns true if a surge begins or ends with it. */
    public boolean recordConnection(long now) {
        rate.add(now, 1);
        if (!active) {
            currentCount++;
        }
        return update(now);
    }

    /** Updates the state to the current time; returns true if a surge begins or ends. */
    public boolean update(long now) {
        if (now - intervalStart >= windowMicros) {
            baseline.add(now, previousCount);
            previousCount = currentCount;
            currentCount = 0;
            intervalStart = now;
        }
        double onset = Math.max(minPerSecond, onsetFactor * baseline.perSecond(now));
        boolean wasActive = active;
        active = rate.perSecond(now) > (wasActive ? HALF * onset : onset);
        if (active && !wasActive) {
            currentCount = 0;
            previousCount = 0;
        }
        return active != wasActive;
    }

    /** Whether a surge is active. */
    public boolean surgeActive() {
        return active;
    }

    /** Returns the current rate of new connections per second. */
    public double perSecond(long now) {
        return rate.perSecond(now);
    }

    /** Returns the baseline rate of new connections per second. */
    public double baselinePerSecond(long now) {
        return baseline.perSecond(now);
    }
}
