package wingspread.lab.compare;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class OutageTest {
    private static final int ENDS_AT = 20;

    /** Days of redials: so many usually, and from the end on so many more, which fall by half each second. */
    private static List<double[]> days(double usual, double more, double noise, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<double[]> out = new ArrayList<>();
        for (int day = 0; day < 40; day++) {
            double[] one = new double[51];
            for (int i = 0; i < one.length; i++) {
                one[i] = usual + (i < ENDS_AT ? more : more * Math.pow(0.5, i - ENDS_AT))
                        + noise * (random.nextDouble() - 0.5);
            }
            out.add(one);
        }
        return out;
    }

    @Test
    void redialsAreBackWhenTheyStayWithinATenthOfUsual() {
        // 64 more than 40: below 4 more from the fourth second on, where they are just that.
        Outage.Back back = new Outage(ENDS_AT, 1).back(days(40, 0, 0, 1), days(40, 64, 0, 2), 3);
        assertEquals(new Outage.Back(4, 4, 4), back);
    }

    @Test
    void theIntervalHoldsWhatTheMeanSaysAndWidensWithNoise() {
        Outage.Back back = new Outage(ENDS_AT, 100).back(days(40, 0, 20, 1), days(40, 64, 60, 2), 3);
        assertTrue(back.low() <= back.seconds() && back.seconds() <= back.high(), back.toString());
        assertTrue(back.high() > back.low(), back.toString());
    }

    @Test
    void whatNeverComesBackIsSaidToBeNever() {
        Outage.Back back = new Outage(ENDS_AT, 1).back(days(10, 0, 0, 1), days(20, 0, 0, 2), 3);
        assertEquals(Double.POSITIVE_INFINITY, back.seconds());
    }

    @Test
    void oneCalmSecondInAStormIsNoEnd() {
        List<double[]> struck = days(10, 0, 0, 1);
        struck.forEach(day -> {
            day[ENDS_AT] = 50;
            day[ENDS_AT + 2] = 50;
        });
        assertEquals(3, new Outage(ENDS_AT, 1).back(days(10, 0, 0, 1), struck, 3).seconds());
    }
}
