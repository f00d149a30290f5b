package wingspread.lab.compare;

/**
 * Determines the number of pairs to run for an interval of a requested width, by triple sampling (Hall 1981): a pilot,
 * then half of the number of pairs that its deviation requires, then the remainder by the deviation of all pairs so
 * far, and again a tenth or more while the interval is too wide. The number depends only on the deviation and never on
 * the difference, so that interim looks do not favour a verdict: for normally distributed values the mean is
 * independent of the deviation. Later stages correct a pilot whose deviation was too small by chance.
 *
 * @param pilot pairs in the first stage, at least 2
 * @param budget max number of pairs, at least {@code pilot}
 * @param requestedHalfWidth requested half-width of the interval, above 0
 */
public record Sampling(int pilot, int budget, double requestedHalfWidth) {
    /** Share of the required number of pairs that is reached in the second stage. */
    private static final double SECOND_STAGE = 0.5;
    /** Min growth of a further stage; it limits the number of interim looks, each of which could stop by chance. */
    private static final double MIN_GROWTH = 0.1;

    /** The next step of the sampling. */
    public sealed interface Step { }

    /** Run {@code more} further pairs. */
    public record Play(int more) implements Step { }

    /** Stop: the interval is as narrow as requested, or, if not {@code narrow}, the budget is exhausted. */
    public record Stop(boolean narrow) implements Step { }

    /** Validates the numbers. */
    public Sampling {
        if (pilot < 2 || budget < pilot || !(requestedHalfWidth > 0)) {
            throw new IllegalArgumentException("pilot " + pilot + ", budget " + budget + ", width " + requestedHalfWidth
                    + ": expected a pilot of at least 2, a budget not below the pilot and a width above 0");
        }
    }

    /** Returns the first stage. */
    public Step first() {
        return new Play(pilot);
    }

    /** Returns the step after {@code stages} stages, given the interval of all pairs so far. */
    public Step next(int stages, Interval current) {
        if (current.half() <= requestedHalfWidth && stages > 1) {
            return new Stop(true);
        }
        if (current.n() >= budget) {
            return new Stop(current.half() <= requestedHalfWidth);
        }
        double required = current.n() * Math.pow(current.half() / requestedHalfWidth, 2);
        double target = stages == 1 ? Math.max(SECOND_STAGE * required, 1.5 * current.n()) : required;
        int more = (int) Math.ceil(Math.min(target, budget)) - current.n();
        int minMore = Math.max(1, (int) Math.ceil(MIN_GROWTH * current.n()));
        return new Play(Math.min(Math.max(minMore, more), budget - current.n()));
    }
}
