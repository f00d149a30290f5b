package wingspread.storm;

/**
 * Exponentially weighted rate of events per second, in which recent events weigh most. Exact for events at irregular
 * times, with a state of constant size.
 */
final class DecayingRate {
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final double timeConstantMicros;
    private final long startedAt;
    private double weight;
    private long updatedAt;

    /**
     * Creates a rate without events.
     *
     * @param timeConstantMicros time constant of the decay, in microseconds
     */
    DecayingRate(long now, long timeConstantMicros) {
        this.timeConstantMicros = timeConstantMicros;
        this.startedAt = now;
        this.updatedAt = now;
    }

    /** Adds events at the given time. A time before the latest one is treated as the latest one. */
    void add(long now, double events) {
        decay(now);
        weight += events;
    }

    /**
     * Returns the events per second, corrected for the time observed so far. An observation shorter than half the time
     * constant counts as that long; otherwise a first event would appear as thousands per second.
     */
    double perSecond(long now) {
        decay(now);
        double observedShare =
                1 - Math.exp(-Math.max(updatedAt - startedAt, timeConstantMicros / 2) / timeConstantMicros);
        return weight / timeConstantMicros * MICROS_PER_SECOND / observedShare;
    }

    private void decay(long now) {
        if (now > updatedAt) {
            weight *= Math.exp((updatedAt - now) / timeConstantMicros);
            updatedAt = now;
        }
    }
}
