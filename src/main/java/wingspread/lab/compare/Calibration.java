package wingspread.lab.compare;

import org.apache.commons.statistics.distribution.BetaDistribution;

/**
 * The rate at which comparisons of a variant with itself declared a difference, with the exact 95% interval of the true
 * rate (Clopper and Pearson 1934). The expected rate is about 5%.
 *
 * @param comparisons number of comparisons
 * @param declared number of comparisons that declared a difference
 * @param low lower bound of the interval
 * @param high upper bound of the interval
 * @param meanPairs mean number of pairs of runs per comparison
 */
public record Calibration(int comparisons, int declared, double low, double high, double meanPairs) {
    private static final double TAIL = 0.025;

    /** Computes the interval from the counts. */
    public static Calibration of(int comparisons, int declared, double meanPairs) {
        double low = declared == 0 ? 0
                : BetaDistribution.of(declared, comparisons - declared + 1.0).inverseCumulativeProbability(TAIL);
        double high = declared == comparisons ? 1
                : BetaDistribution.of(declared + 1.0, comparisons - declared).inverseSurvivalProbability(TAIL);
        return new Calibration(comparisons, declared, low, high, meanPairs);
    }

    public double share() {
        return declared / (double) comparisons;
    }
}
