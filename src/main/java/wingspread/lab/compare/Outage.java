package wingspread.lab.compare;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures how long redials stay above their baseline rate after the faults have ended. The baseline comes from runs of
 * the same days without the faults; the confidence interval from resampling the days with replacement (percentile
 * bootstrap).
 */
public final class Outage {
    /** Redials have recovered if they exceed the baseline by at most this share of it, */
    private static final double BASELINE_TOLERANCE = 0.1;
    /** plus this share of the fresh calls, for baselines near zero. */
    private static final double FRESH_CALL_TOLERANCE = 0.005;
    /** Number of consecutive seconds at that level that count as recovery. */
    private static final int RECOVERY_SECONDS = 2;
    private static final int RESAMPLES = 1_000;
    private static final double TAIL_PROBABILITY = 0.025;

    private final int faultEndSecond;
    private final double freshCallsPerSecond;

    /** Seconds until redials recovered, with the 95% interval; {@link Double#POSITIVE_INFINITY} for no recovery. */
    public record Recovery(double seconds, double low, double high) { }

    /**
     * Creates a measurement of the time after the end of the last fault.
     *
     * @param faultEndSecond second of the day in which the last fault ends
     * @param freshCallsPerSecond fresh calls per second
     */
    public Outage(int faultEndSecond, double freshCallsPerSecond) {
        this.faultEndSecond = faultEndSecond;
        this.freshCallsPerSecond = freshCallsPerSecond;
    }

    /**
     * Returns the time from the end of the last fault until redials recovered.
     *
     * @param baseline redials per second of each day without the faults
     * @param faulted redials per second of the same days with the faults
     * @param seed seed of the bootstrap
     */
    public Recovery recovery(List<double[]> baseline, List<double[]> faulted, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        double[] resampled = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            List<double[]> baselineSample = new ArrayList<>();
            List<double[]> faultedSample = new ArrayList<>();
            for (int day = 0; day < baseline.size(); day++) {
                int chosen = random.nextInt(baseline.size());
                baselineSample.add(baseline.get(chosen));
                faultedSample.add(faulted.get(chosen));
            }
            resampled[i] = recoverySeconds(mean(baselineSample), mean(faultedSample));
        }
        Arrays.sort(resampled);
        return new Recovery(recoverySeconds(mean(baseline), mean(faulted)),
                resampled[(int) (TAIL_PROBABILITY * RESAMPLES)],
                resampled[(int) ((1 - TAIL_PROBABILITY) * RESAMPLES) - 1]);
    }

    private double recoverySeconds(double[] baseline, double[] faulted) {
        double baselineMean = 0;
        for (int i = faultEndSecond; i < baseline.length - 1; i++) {
            baselineMean += baseline[i] / (baseline.length - 1 - faultEndSecond);
        }
        double threshold = baselineMean * (1 + BASELINE_TOLERANCE) + FRESH_CALL_TOLERANCE * freshCallsPerSecond;
        int recoveredSeconds = 0;
        // The last second of the day is incomplete.
        for (int i = faultEndSecond; i < faulted.length - 1; i++) {
            recoveredSeconds = faulted[i] <= threshold ? recoveredSeconds + 1 : 0;
            if (recoveredSeconds == RECOVERY_SECONDS) {
                return i + 1 - RECOVERY_SECONDS - faultEndSecond;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Returns the mean over the days, for each second. */
    public static double[] mean(List<double[]> days) {
        double[] means = new double[days.get(0).length];
        for (double[] day : days) {
            for (int i = 0; i < means.length; i++) {
                means[i] += day[i] / days.size();
            }
        }
        return means;
    }
}
