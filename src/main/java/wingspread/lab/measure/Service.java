package wingspread.lab.measure;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import wingspread.lab.scenario.Day;

/**
 * The service of one run as the brief counts it. All shares are of worth, 0 to 1.
 *
 * @param result the weighted sum of the whole run, the worst window and the worst class, less the deductions
 * @param bySecond the share of worth that was earned, for each second of first tries; NaN where none was offered
 */
public record Service(double result, double whole, double worstWindow, double worstClass, double lateFail,
        double waste, List<ByClass> classes, Counts counts, double[] bySecond) {
    private static final int WINDOW_SECONDS = 10;

    /** One class: calls, how many stood in time, late, were cut; delay quantiles in microseconds. */
    public record ByClass(String name, double service, long calls, long inAim, long late, long cut, long median,
            long p95, long p99) { }

    /** Counts over all classes; {@code lost} callers tried their last and never stood. */
    public record Counts(long firstTries, long redials, long gaveUp, long lost, long overTandem) { }

    static Service of(Day day, double[][] offered, double[][] earned, long[] calls, long[] inAim, long[] late,
            long[] cuts, List<Histogram> delays, double lostLate, double workDone, double workWasted, Counts counts) {
        List<ByClass> classes = new ArrayList<>();
        double worstClass = 1;
        for (int i = 0; i < offered.length; i++) {
            double share = share(sum(earned[i]), sum(offered[i]));
            Histogram delay = delays.get(i);
            classes.add(new ByClass(day.classes().get(i).name(), share, calls[i], inAim[i], late[i], cuts[i],
                    delay.getValueAtPercentile(50), delay.getValueAtPercentile(95),
                    delay.getValueAtPercentile(99)));
            worstClass = Math.min(worstClass, Double.isNaN(share) ? 1 : share);
        }
        double[] offeredBySecond = total(offered);
        double[] earnedBySecond = total(earned);
        double whole = share(sum(earnedBySecond), sum(offeredBySecond));
        double worst = worstWindow(offeredBySecond, earnedBySecond);
        double lateFail = day.goal().lateFail() * zeroIfNone(share(lostLate, sum(offeredBySecond)));
        double waste = day.goal().waste() * zeroIfNone(share(workWasted, workDone));
        double[] bySecond = new double[offeredBySecond.length];
        for (int i = 0; i < bySecond.length; i++) {
            bySecond[i] = share(earnedBySecond[i], offeredBySecond[i]);
        }
        double result = day.goal().whole() * whole + day.goal().worstWindow() * worst
                + day.goal().worstClass() * worstClass - lateFail - waste;
        return new Service(result, whole, worst, worstClass, lateFail, waste, List.copyOf(classes), counts, bySecond);
    }

    private static double worstWindow(double[] offered, double[] earned) {
        double worst = 1;
        for (int from = 0; from == 0 || from + WINDOW_SECONDS <= offered.length; from++) {
            double asked = 0;
            double got = 0;
            for (int i = from; i < Math.min(offered.length, from + WINDOW_SECONDS); i++) {
                asked += offered[i];
                got += earned[i];
            }
            worst = asked > 0 ? Math.min(worst, got / asked) : worst;
        }
        return worst;
    }

    private static double zeroIfNone(double share) {
        return Double.isNaN(share) ? 0 : share;
    }

    private static double share(double part, double of) {
        return of > 0 ? part / of : Double.NaN;
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum;
    }

    private static double[] total(double[][] values) {
        double[] out = new double[values[0].length];
        for (double[] row : values) {
            for (int i = 0; i < out.length; i++) {
                out[i] += row[i];
            }
        }
        return out;
    }
}
