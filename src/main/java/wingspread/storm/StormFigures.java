package wingspread.storm;

/**
 * Parameters of storm detection and damping. All times are in microseconds.
 *
 * @param detection when a storm begins and ends
 * @param damping how many redials are admitted
 * @param returns what waits rejected callers are advised, and how redials are recognised
 */
public record StormFigures(Detection detection, Damping damping, Returns returns) {
    /** Defaults for settings that are not given. */
    public static final StormFigures USUAL = new StormFigures(
            new Detection(2_000_000, 60_000_000, 0.5, 0.2, 3, 0.5, 4, 1_000_000),
            new Damping(Method.BUDGET, 0.5, 0.5, 10, 3_000_000, 1.5, 2, 0.1),
            new Returns(10_000_000, true, 5_000_000, 4, 200_000, 4_096, 1_024));

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
     * @param window time constant of the current rates, above 0
     * @param usualWindow time constant of the baseline rates; longer than that of the current rates
     * @param onsetRatio redials per fresh call above which a storm begins
     * @param endRatio redials per fresh call below which a storm may end; lower than {@code onsetRatio}, so that the
     *     state does not oscillate
     * @param overUsual multiple of the baseline ratio that the ratio has to exceed too for a storm to begin, at
     *     least 1; half of it applies to an active storm
     * @param mostUsual maximum of the baseline ratio, so that a storm is detected even if the process starts
     *     during it
     * @param leastRedials redials per second below which no storm begins
     * @param endAfter how long the ratio has to stay low before a storm ends
     */
    public record Detection(long window, long usualWindow, double onsetRatio, double endRatio,
            double overUsual, double mostUsual, double leastRedials, long endAfter) {
        /** Checks the rules that the settings schema cannot express. */
        public Detection {
            if (!(endRatio < onsetRatio)) {
                throw new IllegalArgumentException("end-ratio " + endRatio + " is not below onset-ratio " + onsetRatio);
            }
            if (!(usualWindow > window)) {
                throw new IllegalArgumentException("usual-window is not longer than window");
            }
            if (window <= 0 || endAfter < 0 || !(leastRedials >= 0) || !(overUsual >= 1)
                    || !(mostUsual >= 0)) {
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
     * @param budgetMost redials that an unused budget accumulates, at least 1
     * @param ramp how long redials are limited by a growing budget after a storm, or after the recovery of an
     *     exchange or of its circuits; 0 for no ramp
     * @param rampShare value that {@code budgetShare} reaches at the end of the ramp; at least {@code budgetShare}
     * @param throttleFactor multiple of the established calls that {@code THROTTLE} admits, at least 1
     * @param leastFailing share of failures among the passed calls, from 0 to 1, above which redials are limited; up
     *     to it there is capacity. With 0 any failure is enough
     */
    public record Damping(Method method, double budgetShare, double budgetFloor, double budgetMost, long ramp,
            double rampShare, double throttleFactor, double leastFailing) {
        /** Checks the rules that the settings schema cannot express. */
        public Damping {
            if (!(rampShare >= budgetShare)) {
                throw new IllegalArgumentException("ramp-share is below budget-share");
            }
            if (!(budgetMost >= 1) || !(budgetShare >= 0) || !(budgetFloor > 0) || ramp < 0
                    || !(throttleFactor >= 1) || !(leastFailing >= 0 && leastFailing <= 1)) {
                throw new IllegalArgumentException("budget-most, budget-share, budget-floor, ramp, throttle-factor or "
                        + "least-failing of damping is out of its bounds");
            }
        }
    }

    /**
     * What waits rejected callers are advised, and how redials are recognised.
     *
     * @param longestWait maximum wait that is advised, at least 1
     * @param spreadRefusals whether callers that the decision module refuses during a storm are assigned a retry time
     *     too
     * @param redialTime how long after a failure a call to the same number counts as a redial although it is
     *     not marked; 0 to rely on marks alone
     * @param mostTries calls to a number within that time above which many callers are assumed to dial it, so
     *     that its calls are not classified, at least 1
     * @param early tolerance for redials before the advised time, which do not count as early
     * @param mostNumbers maximum of called numbers remembered; beyond it the least recently used one is evicted
     * @param mostKeys maximum of destinations tracked; beyond it the least recently used one is evicted
     */
    public record Returns(long longestWait, boolean spreadRefusals, long redialTime,
            int mostTries, long early, int mostNumbers, int mostKeys) {
        /** Checks the rules that the settings schema cannot express. */
        public Returns {
            if (longestWait < 1 || redialTime < 0 || mostTries < 1 || early < 0
                    || mostNumbers < 1 || mostKeys < 1) {
                throw new IllegalArgumentException("longest-wait, redial-time, most-tries, early, most-numbers or "
                        + "most-keys of returns is below its minimum");
            }
        }
    }

    /**
     * Returns a copy whose waits do not exceed the wait that callers honour; callers that were advised longer ones
     * would all return together at its end.
     */
    public StormFigures within(long maxHonouredWaitMicros) {
        return new StormFigures(detection, damping,
                new Returns(Math.max(1, Math.min(returns.longestWait, maxHonouredWaitMicros)),
                        returns.spreadRefusals, returns.redialTime, returns.mostTries,
                        returns.early, returns.mostNumbers, returns.mostKeys));
    }

    /** Returns a copy with another damping method. */
    public StormFigures withMethod(Method method) {
        return new StormFigures(detection, new Damping(method, damping.budgetShare, damping.budgetFloor,
                damping.budgetMost, damping.ramp, damping.rampShare, damping.throttleFactor,
                damping.leastFailing), returns);
    }
}
