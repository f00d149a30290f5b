package wingspread.storm;

import java.util.random.RandomGenerator;

/**
 * Adaptive throttling as published for clients of overloaded services: tries are turned away at random, by how far
 * they exceed a multiple of those that get through. First tries are counted like redials, but the lot falls on
 * redials alone. It knows no classes.
 */
final class AdaptiveThrottle implements Damper {
    private final StormFigures.Damping figures;
    private final RandomGenerator random;
    private final DecayingRate tries;
    private final DecayingRate through;
    private double stretch = 1;

    /** A throttle that has seen nothing. */
    AdaptiveThrottle(long now, StormFigures.Damping figures, long window, RandomGenerator random) {
        this.figures = figures;
        this.random = random;
        this.tries = new DecayingRate(now, window);
        this.through = new DecayingRate(now, window);
    }

    @Override
    public boolean lets(long now, int callClass, double width) {
        // A try that is turned away counts as well, as the published rule has it: the more ask, the fewer are let.
        tries.add(now, 1);
        double asked = tries.perSecond(now);
        double served = figures.throttleFactor() * stretch * through.perSecond(now);
        // The one in the denominator, a try a second, lets a few through where nothing is known.
        return random.nextDouble() >= (asked - served) / (asked + 1);
    }

    @Override
    public void firstTry(long now) {
        tries.add(now, 1);
    }

    @Override
    public void gotThrough(long now, boolean again) {
        through.add(now, 1);
    }

    @Override
    public void began(long now, double throughPerSecond) {
        // Its rates go on.
    }

    @Override
    public void share(double share) {
        stretch = figures.budgetShare() > 0 ? share / figures.budgetShare() : 1;
    }
}
