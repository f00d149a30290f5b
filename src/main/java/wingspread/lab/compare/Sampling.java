package wingspread.lab.compare;

/**
 * How many pairs to play: triple sampling (Hall 1981) for an interval of a width that is asked for. A pilot, then
 * half of the number that its spread calls for, then the rest by the spread of all so far, and a tenth or more again
 * while that falls short. The number hangs on the
 * spread alone and never on the difference, so that looking early does not favour a verdict: with normal values the
 * mean is independent of the spread. What the spread of a lucky pilot would cut short, the later stages make good.
 *
 * @param pilot pairs in the first stage, at least 2
 * @param budget the most pairs
 * @param asked half the width that is asked for
 */
public record Sampling(int pilot, int budget, double asked) {
    /** Share of the number called for that the second stage goes to. */
    private static final double SECOND_STAGE = 0.5;
    /** A further stage plays at least this share more, so that there are few looks at which to stop by luck. */
    private static final double LEAST_GROWTH = 0.1;

    /** What to do next. */
    public sealed interface Step { }

    /** Play so many more pairs. */
    public record Play(int more) implements Step { }

    /** Enough was played: whether the interval is as narrow as asked, else the budget is spent. */
    public record Stop(boolean narrow) implements Step { }

    /** Checks the numbers. */
    public Sampling {
        if (pilot < 2 || budget < pilot || !(asked > 0)) {
            throw new IllegalArgumentException("pilot " + pilot + ", budget " + budget + ", width " + asked
                    + ": a pilot of 2 or more, a budget no smaller and a width above 0 were expected");
        }
    }

    /** The first stage. */
    public Step first() {
        return new Play(pilot);
    }

    /** The next stage after so many stages, with the interval so far. */
    public Step next(int stages, Interval sofar) {
        if (sofar.half() <= asked && stages > 1) {
            return new Stop(true);
        }
        if (sofar.n() >= budget) {
            return new Stop(sofar.half() <= asked);
        }
        double calledFor = sofar.n() * Math.pow(sofar.half() / asked, 2);
        double until = stages == 1 ? Math.max(SECOND_STAGE * calledFor, 1.5 * sofar.n()) : calledFor;
        int more = (int) Math.ceil(Math.min(until, budget)) - sofar.n();
        int least = Math.max(1, (int) Math.ceil(LEAST_GROWTH * sofar.n()));
        return new Play(Math.min(Math.max(least, more), budget - sofar.n()));
    }
}
