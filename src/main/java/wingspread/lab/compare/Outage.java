package wingspread.lab.compare;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * How long redials stay above their usual rate after troubles have ended: the same days played without the troubles
 * give what is usual. The interval comes from drawing the days anew with replacement (the bootstrap's percentiles).
 */
public final class Outage {
    /** Redials count as usual again within this share of the usual rate, */
    private static final double WITHIN = 0.1;
    /** and this share of the first tries beside, where hardly anybody dials again as a rule. */
    private static final double OF_FIRST_TRIES = 0.005;
    /** For so many seconds on end. */
    private static final int SECONDS_ON_END = 2;
    private static final int DRAWS = 1_000;
    private static final double TAIL = 0.025;

    private final int endsAt;
    private final double firstTries;

    /** Seconds until redials were usual again, with the 95% interval; {@link Double#POSITIVE_INFINITY} for never. */
    public record Back(double seconds, double low, double high) { }

    /**
     * Looks at what follows the end of the last trouble.
     *
     * @param endsAt second of the day in which it ends
     * @param firstTries a second
     */
    public Outage(int endsAt, double firstTries) {
        this.endsAt = endsAt;
        this.firstTries = firstTries;
    }

    /**
     * Seconds from the end on until redials are back.
     *
     * @param usual redials by second, for each day without the troubles
     * @param struck the same for the same days with them
     */
    public Back back(List<double[]> usual, List<double[]> struck, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        double[] drawn = new double[DRAWS];
        for (int i = 0; i < DRAWS; i++) {
            List<double[]> someUsual = new ArrayList<>();
            List<double[]> someStruck = new ArrayList<>();
            for (int day = 0; day < usual.size(); day++) {
                int which = random.nextInt(usual.size());
                someUsual.add(usual.get(which));
                someStruck.add(struck.get(which));
            }
            drawn[i] = seconds(mean(someUsual), mean(someStruck));
        }
        Arrays.sort(drawn);
        return new Back(seconds(mean(usual), mean(struck)), drawn[(int) (TAIL * DRAWS)],
                drawn[(int) ((1 - TAIL) * DRAWS) - 1]);
    }

    private double seconds(double[] usual, double[] struck) {
        double level = 0;
        for (int i = endsAt; i < usual.length - 1; i++) {
            level += usual[i] / (usual.length - 1 - endsAt);
        }
        double most = level * (1 + WITHIN) + OF_FIRST_TRIES * firstTries;
        int calm = 0;
        // The day's last second is not a whole one.
        for (int i = endsAt; i < struck.length - 1; i++) {
            calm = struck[i] <= most ? calm + 1 : 0;
            if (calm == SECONDS_ON_END) {
                return i + 1 - SECONDS_ON_END - endsAt;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** The mean of each second over days. */
    public static double[] mean(List<double[]> days) {
        double[] out = new double[days.get(0).length];
        for (double[] day : days) {
            for (int i = 0; i < out.length; i++) {
                out[i] += day[i] / days.size();
            }
        }
        return out;
    }
}
