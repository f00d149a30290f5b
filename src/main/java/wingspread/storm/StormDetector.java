package wingspread.storm;

/**
 * Whether callers are dialling again in a storm, among the tries that it is told of. What tells is the
 * ratio of redials to first tries: a crowd of first tries raises both sides of it, or the lower one alone, and is no
 * storm. It begins at one ratio and ends at a lower one that was kept for a time.
 */
public final class StormDetector {
    /** What came of one look. */
    public enum Change { NONE, BEGAN, ENDED }

    private final StormFigures figures;
    private final DecayingRate firstTries;
    private final DecayingRate redials;
    private boolean storm;
    /** Since when the ratio is below the one at which a storm ends; -1 while it is not. */
    private long calmSince = -1;

    /** A detector that has seen nothing yet. */
    public StormDetector(long now, StormFigures figures) {
        this.figures = figures;
        this.firstTries = new DecayingRate(now, figures.window());
        this.redials = new DecayingRate(now, figures.window());
    }

    /** A try comes in; {@code again} for a redial, and for a cut call that comes again. */
    public Change tried(long now, boolean again) {
        (again ? redials : firstTries).add(now, 1);
        return look(now);
    }

    /** Time has passed. */
    public Change look(long now) {
        double again = redials.perSecond(now);
        double first = firstTries.perSecond(now);
        if (!storm) {
            if (again > figures.leastRedials() && again > figures.onsetRatio() * first) {
                storm = true;
                calmSince = -1;
                return Change.BEGAN;
            }
            return Change.NONE;
        }
        if (again > figures.endRatio() * first && again > figures.endRatio() * figures.leastRedials()) {
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
}
