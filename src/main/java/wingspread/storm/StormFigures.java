package wingspread.storm;

/**
 * The figures of detection and damping. Times in microseconds.
 *
 * @param window time constant of the rates of now
 * @param onsetRatio redials for each first try above which a storm begins
 * @param endRatio redials for each first try below which it may end; below {@code onsetRatio}, so that it does not
 *     come and go
 * @param leastRedials redials a second under which nothing is a storm
 * @param endAfter how long the ratio has to stay below
 * @param budgetShare redials let through for each first try that got through, while there is a storm
 * @param budgetFloor redials a second let through in any case, so that a destination whose first tries all fail is
 *     tried still
 * @param budgetMost redials that an unused budget adds up to
 * @param longestWait the longest wait that is told
 * @param mostKeys destinations that are watched; beyond, the one heard of longest ago is forgotten
 */
public record StormFigures(long window, double onsetRatio, double endRatio, double leastRedials, long endAfter,
        double budgetShare, double budgetFloor, double budgetMost, long longestWait, int mostKeys) {
    /** Where settings say nothing. */
    public static final StormFigures USUAL =
            new StormFigures(2_000_000, 0.5, 0.2, 4, 1_000_000, 0.2, 0.5, 10, 10_000_000, 1_024);

    /** The same, with waits of at most what callers keep to: longer ones would all come back together then. */
    public StormFigures within(long mostWait) {
        return new StormFigures(window, onsetRatio, endRatio, leastRedials, endAfter, budgetShare, budgetFloor,
                budgetMost, Math.min(longestWait, mostWait), mostKeys);
    }

    /** Checks what a schema cannot say. */
    public StormFigures {
        if (!(endRatio < onsetRatio)) {
            throw new IllegalArgumentException("end-ratio " + endRatio + " is not below onset-ratio " + onsetRatio);
        }
        if (window <= 0 || endAfter < 0 || longestWait < 0 || mostKeys < 1 || !(budgetMost >= 1)
                || !(budgetShare >= 0) || !(budgetFloor > 0) || !(leastRedials >= 0)) {
            throw new IllegalArgumentException("a time, rate or size of the storm figures is below its least");
        }
    }
}
