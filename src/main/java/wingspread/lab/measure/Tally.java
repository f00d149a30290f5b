package wingspread.lab.measure;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import wingspread.lab.scenario.Day;

/**
 * Counts one run as the operators count: worth that stood within its aim and was not cut, over the worth offered,
 * by the second of the first try; a caller's further tries belong to the first.
 */
public final class Tally {
    private static final int MICROS = 1_000_000;
    private static final long LONGEST_DELAY = 60_000_000;

    /** A caller's call. */
    public static final class Entry {
        private final int callClass;
        private final int second;
        private double earned;
        private boolean late;

        private Entry(int callClass, int second) {
            this.callClass = callClass;
            this.second = second;
        }
    }

    private final Day day;
    private final double[][] offered;
    private final double[][] earned;
    private final long[] calls;
    private final long[] inAim;
    private final long[] lateStood;
    private final long[] cuts;
    private final List<Histogram> delays = new ArrayList<>();
    private double lostLate;
    private long firstTries;
    private long redials;
    private long gaveUp;
    private long lost;
    private long overTandem;
    private final double[] redialsBySecond;
    private final double[] busyBySecond;
    private final double[] outBySecond;
    private double workDone;
    private double workWasted;

    /** A tally for a day with its classes. */
    public Tally(Day day) {
        this.day = day;
        int classes = day.classes().size();
        int seconds = (int) (day.length() / MICROS) + 1;
        offered = new double[classes][seconds];
        earned = new double[classes][seconds];
        redialsBySecond = new double[seconds];
        busyBySecond = new double[seconds];
        outBySecond = new double[seconds];
        calls = new long[classes];
        inAim = new long[classes];
        lateStood = new long[classes];
        cuts = new long[classes];
        for (int i = 0; i < classes; i++) {
            delays.add(new Histogram(LONGEST_DELAY, 2));
        }
    }

    /** A caller calls for the first time, so many microseconds after the start. */
    public Entry offered(int callClass, long at) {
        Entry entry = new Entry(callClass, (int) Math.min(at / MICROS, offered[callClass].length - 1));
        offered[callClass][entry.second] += day.classes().get(callClass).worth();
        calls[callClass]++;
        return entry;
    }

    /** Somebody dials, so many microseconds after the start. */
    public void tried(boolean redial, long at) {
        if (redial) {
            redials++;
            redialsBySecond[(int) Math.min(at / MICROS, redialsBySecond.length - 1)]++;
        } else {
            firstTries++;
        }
    }

    /** A caller gave a try up before it was answered. */
    public void gaveUp() {
        gaveUp++;
    }

    /** The call stands, so long after its first try, or after the cut where it comes again. */
    public void stood(Entry entry, long delay, boolean withinAim, boolean tandem) {
        Day.ClassOfCall kind = day.classes().get(entry.callClass);
        entry.late = !withinAim;
        entry.earned = kind.worth() * (withinAim ? 1 : kind.lateWorth());
        earned[entry.callClass][entry.second] += entry.earned;
        delays.get(entry.callClass).recordValue(Math.min(delay, LONGEST_DELAY));
        if (withinAim) {
            inAim[entry.callClass]++;
        } else {
            lateStood[entry.callClass]++;
        }
        overTandem += tandem ? 1 : 0;
    }

    /** A call that stood was cut: it earns nothing. */
    public void cut(Entry entry) {
        earned[entry.callClass][entry.second] -= entry.earned;
        entry.earned = 0;
        cuts[entry.callClass]++;
        if (entry.late) {
            lateStood[entry.callClass]--;
        } else {
            inAim[entry.callClass]--;
        }
    }

    /** A caller has tried its last; {@code late} where its aim had gone by. */
    public void lost(Entry entry, boolean late) {
        lost++;
        lostLate += late ? day.classes().get(entry.callClass).worth() : 0;
    }

    /** Work of the processors, in microseconds of a warm one: done, and of that for set-ups that came to nothing. */
    public void worked(double done) {
        workDone += done;
    }

    /** Work that set up nothing. */
    public void wasted(double work) {
        workWasted += work;
    }

    /** How things stand at the end of a second of the day. */
    public void stands(int second, double busyShare, int setUpsOut) {
        busyBySecond[second] = busyShare;
        outBySecond[second] = setUpsOut;
    }

    /** The day second by second. */
    public Timeline timeline() {
        return new Timeline(redialsBySecond, busyBySecond, outBySecond);
    }

    /** Set-up delays of each class, in microseconds. */
    public List<Histogram> delays() {
        return List.copyOf(delays);
    }

    /** What it comes to. */
    public Service service() {
        return Service.of(day, offered, earned, calls, inAim, lateStood, cuts, delays, lostLate, workDone, workWasted,
                new Service.Counts(firstTries, redials, gaveUp, lost, overTandem));
    }
}
