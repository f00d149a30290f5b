package wingspread.lab.compare;

import org.apache.commons.statistics.distribution.BetaDistribution;

/**
 * How often comparisons of a variant with itself declared a difference, with the exact 95% interval for the true
 * share (Clopper and Pearson 1934). About one in twenty should.
 */
public record Calibration(int comparisons, int declared, double low, double high, double meanPairs) {
    private static final double TAIL = 0.025;

    /** Counts what was declared. */
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
