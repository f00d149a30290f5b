package wingspread.storm;

/** The time after a storm, or after a return of capacity, in which the share that is let through grows evenly. */
final class Ramp {
    private final StormFigures.Damping figures;
    private long until = Long.MIN_VALUE;

    /** No ramp yet. */
    Ramp(StormFigures.Damping figures) {
        this.figures = figures;
    }

    /** It begins, from the bottom. */
    void begin(long now) {
        until = now + figures.ramp();
    }

    /** Whether redials are still held back. */
    boolean on(long now) {
        return now < until;
    }

    /** The share that is let through now, while it is on. */
    double share(long now) {
        double gone = Math.min(1, Math.max(0, 1 - (until - now) / (double) Math.max(1, figures.ramp())));
        return figures.budgetShare() + gone * (figures.rampShare() - figures.budgetShare());
    }
}
