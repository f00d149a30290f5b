package wingspread.lab.report;

import java.util.ArrayList;
import java.util.List;
import wingspread.lab.compare.Interval;

/** A series over the seconds of the day, from many runs: its mean and the 95% interval of the mean. */
final class Band {
    private static final double CONFIDENCE = 0.95;

    private final List<double[]> runs = new ArrayList<>();

    void add(double[] series) {
        runs.add(series);
    }

    int length() {
        return runs.stream().mapToInt(series -> series.length).min().orElse(0);
    }

    /** The interval in one second, of the runs that have a value there. */
    Interval at(int second) {
        double[] values = runs.stream().mapToDouble(series -> series[second]).filter(v -> !Double.isNaN(v)).toArray();
        return values.length == 0 ? new Interval(Double.NaN, Double.NaN, Double.NaN, 0)
                : Interval.of(values, CONFIDENCE);
    }
}
