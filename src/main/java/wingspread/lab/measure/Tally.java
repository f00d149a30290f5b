package wingspread.lab.measure;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import wingspread.lab.scenario.Day;

/**
 * Counts the results of one run as the operators do: the value of the calls that were established within their aim and
 * not cut, over the value of all calls offered, by the second of the fresh call. The redials of a caller are attributed
 * to its fresh call.
 */
public final class Tally {
    private static final int MICROS_PER_SECOND = 1_000_000;
    private static final long MAX_DELAY_MICROS = 60_000_000;

    /** The call of one caller, with its redials. */
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
    private final long[] lateCalls;
    private final long[] cuts;
    private final List<Histogram> delays = new ArrayList<>();
    private double lateLostValue;
    private long freshCalls;
    private long redials;
    private long abandoned;
    private long lost;
    private long viaTandem;
    private final double[] redialsBySecond;
    private final double[] busyBySecond;
    private final double[] pendingBySecond;
    private double workDone;
    private double workWasted;

    /** Creates a tally for the call classes and the duration of a day. */
    public Tally(Day day) {
        this.day = day;
        int classes = day.classes().size();
        int seconds = (int) (day.length() / MICROS_PER_SECOND) + 1;
        offered = new double[classes][seconds];
        earned = new double[classes][seconds];
        redialsBySecond = new double[seconds];
        busyBySecond = new double[seconds];
        pendingBySecond = new double[seconds];
        calls = new long[classes];
        inAim = new long[classes];
        lateCalls = new long[classes];
        cuts = new long[classes];
        for (int i = 0; i < classes; i++) {
            delays.add(new Histogram(MAX_DELAY_MICROS, 2));
        }
    }

    /** Records a fresh call at a time in microseconds after the start. */
    public Entry recordFreshCall(int callClass, long atMicros) {
        Entry entry = new Entry(callClass, (int) Math.min(atMicros / MICROS_PER_SECOND, offered[callClass].length - 1));
        offered[callClass][entry.second] += day.classes().get(callClass).worth();
        calls[callClass]++;
        return entry;
    }

    /** Records a call offer, fresh or redial, at a time in microseconds after the start. */
    public void recordCallOffer(boolean redial, long atMicros) {
        if (redial) {
            redials++;
            redialsBySecond[(int) Math.min(atMicros / MICROS_PER_SECOND, redialsBySecond.length - 1)]++;
        } else {
            freshCalls++;
        }
    }

    /** Records that a caller abandoned a call offer before it was answered. */
    public void recordAbandoned() {
        abandoned++;
    }

    /**
     * Records that a call was established.
     *
     * @param delayMicros time since the fresh call or, for a call offered again after a cut, since the cut
     * @param tandem whether the call is routed through a tandem
     */
    public void recordEstablished(Entry entry, long delayMicros, boolean withinAim, boolean tandem) {
        Day.ClassOfCall classOfCall = day.classes().get(entry.callClass);
        entry.late = !withinAim;
        entry.earned = classOfCall.worth() * (withinAim ? 1 : classOfCall.lateWorth());
        earned[entry.callClass][entry.second] += entry.earned;
        delays.get(entry.callClass).recordValue(Math.min(delayMicros, MAX_DELAY_MICROS));
        if (withinAim) {
            inAim[entry.callClass]++;
        } else {
            lateCalls[entry.callClass]++;
        }
        viaTandem += tandem ? 1 : 0;
    }

    /** Records that an established call was cut, so that it earns nothing. */
    public void recordCut(Entry entry) {
        earned[entry.callClass][entry.second] -= entry.earned;
        entry.earned = 0;
        cuts[entry.callClass]++;
        if (entry.late) {
            lateCalls[entry.callClass]--;
        } else {
            inAim[entry.callClass]--;
        }
    }

    /** Records that a caller makes no further offer; {@code late} if the aim had passed by then. */
    public void recordLost(Entry entry, boolean late) {
        lost++;
        lateLostValue += late ? day.classes().get(entry.callClass).worth() : 0;
    }

    /** Adds work done by a processor, in microseconds of a warm processor. */
    public void addWork(double work) {
        workDone += work;
    }

    /** Adds the part of the work that was spent on unsuccessful set-ups, in microseconds of a warm processor. */
    public void addWastedWork(double work) {
        workWasted += work;
    }

    /** Records the state of the network at the end of a second of the day. */
    public void recordSecond(int second, double busyShare, int pendingSetUps) {
        busyBySecond[second] = busyShare;
        pendingBySecond[second] = pendingSetUps;
    }

    /** Returns the course of the run, second by second. */
    public Timeline timeline() {
        return new Timeline(redialsBySecond, busyBySecond, pendingBySecond);
    }

    /** Returns the set-up delays of each class, in microseconds. */
    public List<Histogram> delays() {
        return List.copyOf(delays);
    }

    /** Returns the resulting service. */
    public Service service() {
        return Service.of(day, offered, earned, calls, inAim, lateCalls, cuts, delays, lateLostValue, workDone,
                workWasted, new Service.Counts(freshCalls, redials, abandoned, lost, viaTandem));
    }
}
