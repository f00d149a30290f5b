package wingspread.storm;

/**
 * Whether callers are dialling again in a storm, among the tries that it is told of. What tells is the ratio of
 * redials to first tries, against a threshold and against its usual value: a crowd of first tries raises both sides
 * of it, or the lower one alone, and is no storm. It begins at one ratio and ends at a lower one that was kept for a
 * time. Usual rates are learnt outside of storms alone.
 */
public final class StormDetector {
    /** What came of one look. */
    public enum Change { NONE, BEGAN, ENDED }

    private static final double SECOND = 1_000_000;
    private static final double DEVIATIONS = 3;

    private final StormFigures.Detection figures;
    private final DecayingRate firstTries;
    private final DecayingRate redials;
    private final DecayingRate usualFirstTries;
    private final DecayingRate usualRedials;
    private long youngSince;
    private long youngFirstTries;
    private long youngRedials;
    private long olderFirstTries;
    private long olderRedials;
    private boolean storm;
    /** Since when the ratio is below the one at which a storm ends; -1 while it is not. */
    private long calmSince = -1;

    /** A detector that has seen nothing yet. */
    public StormDetector(long now, StormFigures.Detection figures) {
        this.figures = figures;
        this.firstTries = new DecayingRate(now, figures.window());
        this.redials = new DecayingRate(now, figures.window());
        this.usualFirstTries = new DecayingRate(now, figures.usualWindow());
        this.usualRedials = new DecayingRate(now, figures.usualWindow());
        this.youngSince = now;
    }

    /** A try comes in; {@code again} for a redial, and for a cut call that comes again. */
    public Change tried(long now, boolean again) {
        (again ? redials : firstTries).add(now, 1);
        learn(now);
        if (!storm && again) {
            youngRedials++;
        } else if (!storm) {
            youngFirstTries++;
        }
        return look(now);
    }

    /** Counts of a window ago become usual; guards against a storm that is learnt before it is seen. */
    private void learn(long now) {
        if (now - youngSince >= figures.window()) {
            usualFirstTries.add(now, olderFirstTries);
            usualRedials.add(now, olderRedials);
            olderFirstTries = youngFirstTries;
            olderRedials = youngRedials;
            youngFirstTries = 0;
            youngRedials = 0;
            youngSince = now;
        }
    }

    private void forgetYoung() {
        olderFirstTries = 0;
        olderRedials = 0;
        youngFirstTries = 0;
        youngRedials = 0;
    }

    /** Time has passed. */
    public Change look(long now) {
        double again = redials.perSecond(now);
        double first = firstTries.perSecond(now);
        double usual = usualRatio(now);
        if (!storm) {
            if (again > figures.leastRedials()
                    && beyondChance(again, Math.max(figures.onsetRatio(), figures.overUsual() * usual), first)) {
                storm = true;
                forgetYoung();
                calmSince = -1;
                return Change.BEGAN;
            }
            return Change.NONE;
        }
        // Half the factor over the usual ratio, as hysteresis; never under the usual ratio itself.
        double end = Math.max(figures.endRatio(), Math.max(1, figures.overUsual() / 2) * usual);
        if (again > end * first && again > figures.leastRedials() * figures.endRatio()) {
            calmSince = -1;
            return Change.NONE;
        }
        calmSince = calmSince < 0 ? now : calmSince;
        if (now - calmSince >= figures.endAfter()) {
            storm = false;
            return Change.ENDED;
        }
        return Change.NONE;
    }

    /**
     * Whether redials exceed a ratio to first tries by more than chance would have it: three deviations of the
     * difference of two Poisson counts. Guards against a storm made of the first few calls after a start.
     */
    private boolean beyondChance(double again, double ratio, double first) {
        double seconds = figures.window() / SECOND;
        double over = (again - ratio * first) * seconds;
        return over > DEVIATIONS * Math.sqrt((again + ratio * ratio * first) * seconds);
    }

    /** Whether there is one now. */
    public boolean storm() {
        return storm;
    }

    /** Redials a second now. */
    public double redialsPerSecond(long now) {
        return redials.perSecond(now);
    }

    /** First tries a second now. */
    public double firstTriesPerSecond(long now) {
        return firstTries.perSecond(now);
    }

    /** Redials for each first try outside of storms, from 0 to the most that counts as usual. */
    public double usualRatio(long now) {
        double first = usualFirstTries.perSecond(now);
        return first > 0 ? Math.min(figures.mostUsual(), usualRedials.perSecond(now) / first) : 0;
    }
}
