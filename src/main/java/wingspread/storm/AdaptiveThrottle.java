package wingspread.storm;

import java.util.random.RandomGenerator;

/**
 * Adaptive throttling as published for clients of overloaded services: calls are rejected at random, with a
 * probability that depends on how far the offered calls exceed a multiple of the established ones. Fresh calls and
 * redials are both counted, but only redials are rejected. Call classes are not distinguished.
 */
final class AdaptiveThrottle implements RedialLimiter {
    private final StormParameters.Damping parameters;
    private final RandomGenerator random;
    private final DecayingRate offered;
    private final DecayingRate established;
    private double factorScale = 1;

    AdaptiveThrottle(long now, StormParameters.Damping parameters, long windowMicros, RandomGenerator random) {
        this.parameters = parameters;
        this.random = random;
        this.offered = new DecayingRate(now, windowMicros);
        this.established = new DecayingRate(now, windowMicros);
    }

    @Override
    public boolean tryAcquire(long now, int callClass, double width) {
        // Rejected redials count as offered calls too, as in the published rule: a higher load admits a smaller share.
        offered.add(now, 1);
        double offeredRate = offered.perSecond(now);
        double acceptedRate = parameters.throttleFactor() * factorScale * established.perSecond(now);
        // The 1 in the denominator, one call per second, admits a few calls while no rates are known.
        return random.nextDouble() >= (offeredRate - acceptedRate) / (offeredRate + 1);
    }

    @Override
    public void onFreshCall(long now) {
        offered.add(now, 1);
    }

    @Override
    public void onCallEstablished(long now, boolean redial) {
        established.add(now, 1);
    }

    @Override
    public void onStormBegan(long now, double establishedPerSecond) {
        // The rates are kept up at all times, so a storm needs no special state.
    }

    @Override
    public void setShare(double share) {
        factorScale = parameters.budgetShare() > 0 ? share / parameters.budgetShare() : 1;
    }
}
