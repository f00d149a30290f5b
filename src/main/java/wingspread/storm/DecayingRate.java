package wingspread.storm;

/**
 * Events a second, the latest weighing most: an exponentially weighted rate with a time constant in microseconds.
 * Exact for events at any times; it holds two numbers whatever comes.
 */
final class DecayingRate {
    private static final double SECOND = 1_000_000;

    private final double timeConstant;
    private final long startedAt;
    private double weight;
    private long at;

    /** A rate of nothing, from a time on. */
    DecayingRate(long now, long timeConstant) {
        this.timeConstant = timeConstant;
        this.startedAt = now;
        this.at = now;
    }

    /** Counts so many events at a time; a clock that steps back is taken to stand still. */
    void add(long now, double events) {
        decay(now);
        weight += events;
    }

    /**
     * Events a second, corrected for how short a time has been seen. Guards against a first event that would be taken
     * for thousands a second: less than half the time constant counts as that much.
     */
    double perSecond(long now) {
        decay(now);
        double seen = 1 - Math.exp(-Math.max(at - startedAt, timeConstant / 2) / timeConstant);
        return weight / timeConstant * SECOND / seen;
    }

    private void decay(long now) {
        if (now > at) {
            weight *= Math.exp((at - now) / timeConstant);
            at = now;
        }
    }
}
