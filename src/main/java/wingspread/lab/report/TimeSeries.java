package wingspread.lab.report;

import java.util.ArrayList;
import java.util.List;
import wingspread.lab.compare.Interval;

/** A time series by second of the day over many runs, with the 95% confidence interval of its mean. */
final class TimeSeries {
    private static final double CONFIDENCE = 0.95;

    private final List<double[]> runs = new ArrayList<>();

    void add(double[] series) {
        runs.add(series);
    }

    int length() {
        return runs.stream().mapToInt(series -> series.length).min().orElse(0);
    }

    /** Returns the interval for one second, over the runs that have a value for it. */
    Interval at(int second) {
        double[] values = runs.stream().mapToDouble(series -> series[second]).filter(v -> !Double.isNaN(v)).toArray();
        return values.length == 0 ? new Interval(Double.NaN, Double.NaN, Double.NaN, 0)
                : Interval.of(values, CONFIDENCE);
    }
}
