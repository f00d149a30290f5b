package wingspread.storm;

/**
 * The period after a storm, or after the recovery of an exchange or of circuits, in which the share of redials that is
 * admitted grows linearly. All times are in microseconds.
 */
final class Ramp {
    private final StormParameters.Damping parameters;
    private long endsAt = Long.MIN_VALUE;

    /** Creates a ramp that has not begun. */
    Ramp(StormParameters.Damping parameters) {
        this.parameters = parameters;
    }

    /** Begins the ramp, at the share that applies during a storm; a running ramp starts over. */
    void begin(long now) {
        endsAt = now + parameters.rampMicros();
    }

    /** Whether the ramp is running, so that redials are limited. */
    boolean isActive(long now) {
        return now < endsAt;
    }

    /** Returns the redials admitted per established fresh call at this point of the ramp. */
    double share(long now) {
        double elapsedShare =
                Math.min(1, Math.max(0, 1 - (endsAt - now) / (double) Math.max(1, parameters.rampMicros())));
        return parameters.budgetShare() + elapsedShare * (parameters.rampShare() - parameters.budgetShare());
    }
}
