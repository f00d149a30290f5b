package wingspread.lab.compare;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The time until redials recover after a fault, on series whose recovery time is known. */
class OutageTest {
    private static final int FAULT_END_SECOND = 20;

    /**
     * Returns days of redials per second: the baseline plus a surplus, which halves every second after the fault's end.
     */
    private static List<double[]> days(double baseline, double surplus, double noise, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<double[]> out = new ArrayList<>();
        for (int day = 0; day < 40; day++) {
            double[] redials = new double[51];
            for (int i = 0; i < redials.length; i++) {
                redials[i] = baseline + (i < FAULT_END_SECOND ? surplus : surplus * Math.pow(0.5, i - FAULT_END_SECOND))
                        + noise * (random.nextDouble() - 0.5);
            }
            out.add(redials);
        }
        return out;
    }

    @Test
    void recoversWhenRedialsStayWithinToleranceOfBaseline() {
        // The surplus of 64 halves every second and reaches a tenth of the baseline of 40 in the fourth second.
        Outage.Recovery recovery = new Outage(FAULT_END_SECOND, 1).recovery(days(40, 0, 0, 1), days(40, 64, 0, 2), 3);
        assertEquals(new Outage.Recovery(4, 4, 4), recovery);
    }

    @Test
    void intervalContainsEstimateAndWidensWithNoise() {
        Outage.Recovery recovery = new Outage(FAULT_END_SECOND, 100)
                .recovery(days(40, 0, 20, 1), days(40, 64, 60, 2), 3);
        assertTrue(recovery.low() <= recovery.seconds() && recovery.seconds() <= recovery.high(), recovery.toString());
        assertTrue(recovery.high() > recovery.low(), recovery.toString());
    }

    @Test
    void reportsInfinityWithoutRecovery() {
        Outage.Recovery recovery = new Outage(FAULT_END_SECOND, 1).recovery(days(10, 0, 0, 1), days(20, 0, 0, 2), 3);
        assertEquals(Double.POSITIVE_INFINITY, recovery.seconds());
    }

    @Test
    void ignoresSingleSecondBelowThreshold() {
        List<double[]> faulted = days(10, 0, 0, 1);
        faulted.forEach(day -> {
            day[FAULT_END_SECOND] = 50;
            day[FAULT_END_SECOND + 2] = 50;
        });
        assertEquals(3, new Outage(FAULT_END_SECOND, 1).recovery(days(10, 0, 0, 1), faulted, 3).seconds());
    }
}
