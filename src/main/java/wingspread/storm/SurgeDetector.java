package wingspread.storm;

/**
 * Whether newcomers arrive in a surge: their rate against their usual one, which is learnt outside of surges, from
 * what lies a window back. It begins at a multiple of the usual rate and ends at half of that.
 */
public final class SurgeDetector {
    private static final double HALF = 0.5;

    private final DecayingRate rate;
    private final DecayingRate usual;
    private final long window;
    private final double factor;
    private final double least;
    private long youngSince;
    private long young;
    private long older;
    private boolean surge;

    /**
     * Has seen nothing yet.
     *
     * @param window time constant of the rate of now, in microseconds
     * @param usualWindow of the usual rate
     * @param factor times the usual rate at which a surge begins
     * @param least newcomers a second under which nothing is a surge
     */
    public SurgeDetector(long now, long window, long usualWindow, double factor, double least) {
        this.rate = new DecayingRate(now, window);
        this.usual = new DecayingRate(now, usualWindow);
        this.window = window;
        this.factor = factor;
        this.least = least;
        this.youngSince = now;
    }

    /** A newcomer arrives; true where the surge begins or ends with it. */
    public boolean arrived(long now) {
        rate.add(now, 1);
        if (!surge) {
            young++;
        }
        return look(now);
    }

    /** Time has passed; true where the surge begins or ends. */
    public boolean look(long now) {
        if (now - youngSince >= window) {
            usual.add(now, older);
            older = young;
            young = 0;
            youngSince = now;
        }
        double onset = Math.max(least, factor * usual.perSecond(now));
        boolean before = surge;
        surge = rate.perSecond(now) > (before ? HALF * onset : onset);
        if (surge && !before) {
            young = 0;
            older = 0;
        }
        return surge != before;
    }

    /** Whether there is one now. */
    public boolean surge() {
        return surge;
    }

    /** Newcomers a second now. */
    public double perSecond(long now) {
        return rate.perSecond(now);
    }

    /** Newcomers a second as they are outside of surges. */
    public double usualPerSecond(long now) {
        return usual.perSecond(now);
    }
}
