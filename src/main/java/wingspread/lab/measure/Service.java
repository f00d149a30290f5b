package wingspread.lab.measure;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import wingspread.lab.scenario.Day;

/**
 * The service of one run as the operators define it. All shares are of the value of calls, 0 to 1.
 *
 * @param result the weighted sum of the whole run, the worst window and the worst class, less the deductions
 * @param whole the share over the whole run
 * @param worstWindow the lowest share over 10 consecutive seconds
 * @param worstClass the lowest share of a call class
 * @param lateFail the deduction for calls that failed after their aim had passed
 * @param waste the deduction for work spent on unsuccessful set-ups
 * @param bySecond the share of the value that was earned, by second of the fresh calls; NaN if none was offered
 */
public record Service(double result, double whole, double worstWindow, double worstClass, double lateFail,
        double waste, List<ByClass> classes, Counts counts, double[] bySecond) {
    private static final int WINDOW_SECONDS = 10;

    /**
     * The service of one call class. {@code median}, {@code p95} and {@code p99} are quantiles of the set-up delay in
     * microseconds.
     *
     * @param inAim number of calls established within their aim and not cut
     * @param late number of calls established later and not cut
     * @param cut number of calls that were cut
     */
    public record ByClass(String name, double service, long calls, long inAim, long late, long cut, long median,
            long p95, long p99) { }

    /**
     * Counts over all classes.
     *
     * @param abandonedOffers number of call offers that were abandoned
     * @param lost number of callers whose call was never established and who make no further offer
     * @param viaTandem number of calls established through a tandem
     */
    public record Counts(long freshCalls, long redials, long abandonedOffers, long lost, long viaTandem) { }

    static Service of(Day day, double[][] offered, double[][] earned, long[] calls, long[] inAim, long[] late,
            long[] cuts, List<Histogram> delays, double lateLostValue, double workDone, double workWasted,
            Counts counts) {
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
        double lateFail = day.goal().lateFail() * zeroIfNone(share(lateLostValue, sum(offeredBySecond)));
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
            double offeredValue = 0;
            double earnedValue = 0;
            for (int i = from; i < Math.min(offered.length, from + WINDOW_SECONDS); i++) {
                offeredValue += offered[i];
                earnedValue += earned[i];
            }
            worst = offeredValue > 0 ? Math.min(worst, earnedValue / offeredValue) : worst;
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
