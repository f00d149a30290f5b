package wingspread.storm;

/**
 * Parameters of storm detection and damping. All times are in microseconds.
 *
 * @param detection when a storm begins and ends
 * @param damping how many redials are admitted
 * @param retryPolicy what waits rejected callers are advised, and how redials are recognised
 */
public record StormParameters(Detection detection, Damping damping, RetryPolicy retryPolicy) {
    /** Defaults for settings that are not given. */
    public static final StormParameters DEFAULTS = new StormParameters(
            new Detection(2_000_000, 60_000_000, 0.5, 0.2, 3, 0.5, 4, 1_000_000),
            new Damping(Method.BUDGET, 0.5, 0.5, 10, 3_000_000, 1.5, 2, 0.1),
            new RetryPolicy(10_000_000, true, 5_000_000, 4, 200_000, 4_096, 1_024));

    /** How redials are limited during a storm. */
    public enum Method {
        /** A token budget filled by established fresh calls and shared by class value. */
        BUDGET,
        /** Random rejection, with a probability that depends on the share of offered calls that is established. */
        THROTTLE,
        /** A fixed rate, derived from the rate of established fresh calls at the beginning of the storm. */
        GAP,
        /** No limit; only the retry times of calls that the decision module refuses are spread. */
        SPREAD
    }

    /**
     * When a storm begins and ends.
     *
     * @param windowMicros time constant of the current rates, above 0
     * @param baselineWindowMicros time constant of the baseline rates; longer than that of the current rates
     * @param onsetRatio redials per fresh call above which a storm begins
     * @param endRatio redials per fresh call below which a storm may end; lower than {@code onsetRatio}, so that the
     *     state does not oscillate
     * @param baselineFactor multiple of the baseline ratio that the ratio has to exceed too for a storm to begin, at
     *     least 1; half of it applies to an active storm
     * @param maxBaselineRatio maximum of the baseline ratio, so that a storm is detected even if the process starts
     *     during it
     * @param minRedialsPerSecond redials per second below which no storm begins
     * @param endAfterMicros how long the ratio has to stay low before a storm ends
     */
    public record Detection(long windowMicros, long baselineWindowMicros, double onsetRatio, double endRatio,
            double baselineFactor, double maxBaselineRatio, double minRedialsPerSecond, long endAfterMicros) {
        /** Checks the rules that the settings schema cannot express. */
        public Detection {
            if (!(endRatio < onsetRatio)) {
                throw new IllegalArgumentException("end-ratio " + endRatio + " is not below onset-ratio " + onsetRatio);
            }
            if (!(baselineWindowMicros > windowMicros)) {
                throw new IllegalArgumentException("usual-window is not longer than window");
            }
            if (windowMicros <= 0 || endAfterMicros < 0 || !(minRedialsPerSecond >= 0) || !(baselineFactor >= 1)
                    || !(maxBaselineRatio >= 0)) {
                throw new IllegalArgumentException(
                        "window, end-after, least-redials, over-usual or most-usual of detection is below its minimum");
            }
        }
    }

    /**
     * How many redials are admitted during a storm and after it.
     *
     * @param budgetShare redials admitted per established fresh call, at least 0
     * @param budgetFloor redials per second admitted in any case, above 0, so that a destination whose fresh calls all
     *     fail is still probed
     * @param maxBudget redials that an unused budget accumulates, at least 1
     * @param rampMicros how long redials are limited by a growing budget after a storm, or after the recovery of an
     *     exchange or of its circuits; 0 for no ramp
     * @param rampShare value that {@code budgetShare} reaches at the end of the ramp; at least {@code budgetShare}
     * @param throttleFactor multiple of the established calls that {@code THROTTLE} admits, at least 1
     * @param minFailureShare share of failures among the passed calls, from 0 to 1, above which redials are limited; up
     *     to it there is capacity. With 0 any failure is enough
     */
    public record Damping(Method method, double budgetShare, double budgetFloor, double maxBudget, long rampMicros,
            double rampShare, double throttleFactor, double minFailureShare) {
        /** Checks the rules that the settings schema cannot express. */
        public Damping {
            if (!(rampShare >= budgetShare)) {
                throw new IllegalArgumentException("ramp-share is below budget-share");
            }
            if (!(maxBudget >= 1) || !(budgetShare >= 0) || !(budgetFloor > 0) || rampMicros < 0
                    || !(throttleFactor >= 1) || !(minFailureShare >= 0 && minFailureShare <= 1)) {
                throw new IllegalArgumentException("budget-most, budget-share, budget-floor, ramp, throttle-factor or "
                        + "least-failing of damping is out of its bounds");
            }
        }
    }

    /**
     * What waits rejected callers are advised, and how redials are recognised.
     *
     * @param maxWaitMicros maximum wait that is advised, at least 1
     * @param spreadRefusals whether callers that the decision module refuses during a storm are assigned a retry time
     *     too
     * @param redialWindowMicros how long after a failure a call to the same number counts as a redial although it is
     *     not marked; 0 to rely on marks alone
     * @param maxCallsPerNumber calls to a number within that time above which many callers are assumed to dial it, so
     *     that its calls are not classified, at least 1
     * @param earlyToleranceMicros tolerance for redials before the advised time, which do not count as early
     * @param maxNumbers maximum of called numbers remembered; beyond it the least recently used one is evicted
     * @param maxDestinations maximum of destinations tracked; beyond it the least recently used one is evicted
     */
    public record RetryPolicy(long maxWaitMicros, boolean spreadRefusals, long redialWindowMicros,
            int maxCallsPerNumber, long earlyToleranceMicros, int maxNumbers, int maxDestinations) {
        /** Checks the rules that the settings schema cannot express. */
        public RetryPolicy {
            if (maxWaitMicros < 1 || redialWindowMicros < 0 || maxCallsPerNumber < 1 || earlyToleranceMicros < 0
                    || maxNumbers < 1 || maxDestinations < 1) {
                throw new IllegalArgumentException("longest-wait, redial-time, most-tries, early, most-numbers or "
                        + "most-keys of returns is below its minimum");
            }
        }
    }

    /**
     * Returns a copy whose waits do not exceed the wait that callers honour; callers that were advised longer ones
     * would all return together at its end.
     */
    public StormParameters withMaxWait(long maxHonouredWaitMicros) {
        return new StormParameters(detection, damping,
                new RetryPolicy(Math.max(1, Math.min(retryPolicy.maxWaitMicros, maxHonouredWaitMicros)),
                        retryPolicy.spreadRefusals, retryPolicy.redialWindowMicros, retryPolicy.maxCallsPerNumber,
                        retryPolicy.earlyToleranceMicros, retryPolicy.maxNumbers, retryPolicy.maxDestinations));
    }

    /** Returns a copy with another damping method. */
    public StormParameters withMethod(Method method) {
        return new StormParameters(detection, new Damping(method, damping.budgetShare, damping.budgetFloor,
                damping.maxBudget, damping.rampMicros, damping.rampShare, damping.throttleFactor,
                damping.minFailureShare), retryPolicy);
    }
}
