package wingspread.storm;

/**
 * Detects a storm of redials among the calls offered to one destination, to one region or in all. The criterion is the
 * ratio of redials to fresh calls, compared with a threshold and with the baseline of that ratio: a flash crowd of
 * fresh calls raises both rates, or the rate of fresh calls alone, and is no storm. A storm begins at one ratio and
 * ends after the ratio has stayed below a lower one for some time. The baseline is learnt only while no storm is
 * active. All times are in microseconds.
 */
public final class StormDetector {
    /** How an update changed the state of the detector. */
    public enum Change { NONE, BEGAN, ENDED }

    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final double SIGNIFICANT_DEVIATIONS = 3;

    private final StormParameters.Detection parameters;
    private final DecayingRate freshCalls;
    private final DecayingRate redials;
    private final DecayingRate baselineFreshCalls;
    private final DecayingRate baselineRedials;
    /** Start of the current window, in which calls are counted before they become part of the baseline. */
    private long intervalStart;
    private long currentFreshCalls;
    private long currentRedials;
    private long previousFreshCalls;
    private long previousRedials;
    private boolean active;
    /** Time since which the ratio has been low enough for the storm to end; -1 while it is not. */
    private long calmSince = -1;

    /** Creates a detector that has counted no calls. */
    public StormDetector(long now, StormParameters.Detection parameters) {
        this.parameters = parameters;
        this.freshCalls = new DecayingRate(now, parameters.windowMicros());
        this.redials = new DecayingRate(now, parameters.windowMicros());
        this.baselineFreshCalls = new DecayingRate(now, parameters.baselineWindowMicros());
        this.baselineRedials = new DecayingRate(now, parameters.baselineWindowMicros());
        this.intervalStart = now;
    }

    /**
     * Counts a call offer and updates the state.
     *
     * @param redial whether the call is a redial or the new attempt of a caller whose call was cut off
     */
    public Change recordCall(long now, boolean redial) {
        (redial ? redials : freshCalls).add(now, 1);
        learnBaseline(now);
        if (!active && redial) {
            currentRedials++;
        } else if (!active) {
            currentFreshCalls++;
        }
        return update(now);
    }

    /** Adds counts to the baseline one window late, so that a storm is not learnt before it is detected. */
    private void learnBaseline(long now) {
        if (now - intervalStart >= parameters.windowMicros()) {
            baselineFreshCalls.add(now, previousFreshCalls);
            baselineRedials.add(now, previousRedials);
            previousFreshCalls = currentFreshCalls;
            previousRedials = currentRedials;
            currentFreshCalls = 0;
            currentRedials = 0;
            intervalStart = now;
        }
    }

    private void discardRecentCounts() {
        previousFreshCalls = 0;
        previousRedials = 0;
        currentFreshCalls = 0;
        currentRedials = 0;
    }

    /** Updates the state to the current time. */
    public Change update(long now) {
        double redialRate = redials.perSecond(now);
        double freshRate = freshCalls.perSecond(now);
        double baseline = baselineRatio(now);
        if (!active) {
            if (redialRate > parameters.minRedialsPerSecond()
                    && exceedsSignificantly(redialRate,
                            Math.max(parameters.onsetRatio(), parameters.baselineFactor() * baseline), freshRate)) {
                active = true;
                discardRecentCounts();
                calmSince = -1;
                return Change.BEGAN;
            }
            return Change.NONE;
        }
        // Hysteresis: half the onset factor over the baseline, but never below the baseline itself.
        double endRatio = Math.max(parameters.endRatio(), Math.max(1, parameters.baselineFactor() / 2) * baseline);
        if (redialRate > endRatio * freshRate
                && redialRate > parameters.minRedialsPerSecond() * parameters.endRatio()) {
            calmSince = -1;
            return Change.NONE;
        }
        calmSince = calmSince < 0 ? now : calmSince;
        if (now - calmSince >= parameters.endAfterMicros()) {
            active = false;
            return Change.ENDED;
        }
        return Change.NONE;
    }

    /**
     * Whether the redials exceed a ratio to the fresh calls significantly: by three standard deviations of the
     * difference of two Poisson counts. Otherwise the first few calls after a start could be taken for a storm.
     */
    private boolean exceedsSignificantly(double redialRate, double ratio, double freshRate) {
        double seconds = parameters.windowMicros() / MICROS_PER_SECOND;
        double excess = (redialRate - ratio * freshRate) * seconds;
        return excess > SIGNIFICANT_DEVIATIONS * Math.sqrt((redialRate + ratio * ratio * freshRate) * seconds);
    }

    /** Whether a storm is active. */
    public boolean isActive() {
        return active;
    }

    public double redialsPerSecond(long now) {
        return redials.perSecond(now);
    }

    public double freshCallsPerSecond(long now) {
        return freshCalls.perSecond(now);
    }

    /** Returns the redials per fresh call outside of storms, from 0 to the configured maximum of the baseline. */
    public double baselineRatio(long now) {
        double freshRate = baselineFreshCalls.perSecond(now);
        return freshRate > 0 ? Math.min(parameters.maxBaselineRatio(), baselineRedials.perSecond(now) / freshRate) : 0;
    }
}
