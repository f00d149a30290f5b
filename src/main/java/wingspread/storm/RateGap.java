package wingspread.storm;

/**
 * A fixed rate of redials with a bucket that leaks, as rate-based overload control has it: a share of what got through
 * when the storm began, whatever happens after. It knows no classes.
 */
final class RateGap implements Damper {
    private static final double SECOND = 1_000_000;
    private static final double DEPTH = 2;

    private final StormFigures.Damping figures;
    private double share;
    private double throughAtOnset;
    private double fill;
    private long leakedAt;

    /** A gap at the floor's rate until a storm begins. */
    RateGap(long now, StormFigures.Damping figures) {
        this.figures = figures;
        this.share = figures.budgetShare();
        this.leakedAt = now;
    }

    @Override
    public boolean lets(long now, int callClass, double width) {
        if (now > leakedAt) {
            double rate = figures.budgetFloor() + share * throughAtOnset;
            fill = Math.max(0, fill - (now - leakedAt) / SECOND * rate);
            leakedAt = now;
        }
        if (fill + width > Math.max(DEPTH, width)) {
            return false;
        }
        fill += width;
        return true;
    }

    @Override
    public void firstTry(long now) {
        // Only redials fill the bucket.
    }

    @Override
    public void gotThrough(long now, boolean again) {
        // What gets through now does not count.
    }

    @Override
    public void began(long now, double throughPerSecond) {
        throughAtOnset = throughPerSecond;
    }

    @Override
    public void share(double newShare) {
        share = newShare;
    }
}
