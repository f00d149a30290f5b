package wingspread.storm;

/**
 * Call gapping with a leaky bucket, as in rate-based overload control: admits redials at a fixed rate, a share of the
 * calls established per second when the storm began. Call classes are not distinguished.
 */
final class RateGap implements RedialLimiter {
    private static final double MICROS_PER_SECOND = 1_000_000;
    /** Circuits that the bucket holds; a wider call is admitted only into an empty bucket. */
    private static final double BUCKET_DEPTH = 2;

    private final StormParameters.Damping parameters;
    private double share;
    private double establishedAtOnset;
    private double fill;
    private long leakedAt;

    /** Creates a gate that admits redials at the floor rate until a storm begins. */
    RateGap(long now, StormParameters.Damping parameters) {
        this.parameters = parameters;
        this.share = parameters.budgetShare();
        this.leakedAt = now;
    }

    @Override
    public boolean tryAcquire(long now, int callClass, double width) {
        if (now > leakedAt) {
            double rate = parameters.budgetFloor() + share * establishedAtOnset;
            fill = Math.max(0, fill - (now - leakedAt) / MICROS_PER_SECOND * rate);
            leakedAt = now;
        }
        if (fill + width > Math.max(BUCKET_DEPTH, width)) {
            return false;
        }
        fill += width;
        return true;
    }

    @Override
    public void onFreshCall(long now) {
        // Only redials fill the bucket.
    }

    @Override
    public void onCallEstablished(long now, boolean redial) {
        // The rate depends on the calls established before the storm only.
    }

    @Override
    public void onStormBegan(long now, double establishedPerSecond) {
        establishedAtOnset = establishedPerSecond;
    }

    @Override
    public void setShare(double newShare) {
        share = newShare;
    }
}
