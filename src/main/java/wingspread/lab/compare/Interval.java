package wingspread.lab.compare;

import java.util.EnumSet;
import org.apache.commons.statistics.descriptive.DoubleStatistics;
import org.apache.commons.statistics.descriptive.Statistic;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * A mean with its confidence interval by Student's t-distribution: exact for normally distributed values and a good
 * approximation for means over many calls.
 *
 * @param half half-width of the interval; infinite for fewer than two values
 * @param deviation standard deviation of a single value; NaN for fewer than two values
 * @param n number of values
 */
public record Interval(double mean, double half, double deviation, int n) {
    /**
     * Computes the interval that covers the true mean with this confidence.
     *
     * @param confidence between 0 and 1, as in 0.95
     */
    public static Interval of(double[] values, double confidence) {
        DoubleStatistics statistics = DoubleStatistics.of(
                EnumSet.of(Statistic.MEAN, Statistic.STANDARD_DEVIATION), values);
        double mean = statistics.getAsDouble(Statistic.MEAN);
        if (values.length < 2) {
            return new Interval(mean, Double.POSITIVE_INFINITY, Double.NaN, values.length);
        }
        double deviation = statistics.getAsDouble(Statistic.STANDARD_DEVIATION);
        double quantile = TDistribution.of(values.length - 1).inverseSurvivalProbability((1 - confidence) / 2);
        return new Interval(mean, quantile * deviation / Math.sqrt(values.length), deviation, values.length);
    }

    public double low() {
        return mean - half;
    }

    public double high() {
        return mean + half;
    }

    /** Returns whether 0 lies outside the interval. */
    public boolean excludesZero() {
        return low() > 0 || high() < 0;
    }
}
