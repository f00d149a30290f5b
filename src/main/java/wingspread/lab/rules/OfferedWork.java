package wingspread.lab.rules;

import java.util.ArrayDeque;

/**
 * The work offered to a cold processor within the window of the fail-back rule. Limited by the window: older entries
 * are removed at each addition.
 */
public final class OfferedWork {
    private record Work(long at, double work, boolean fromInformed) { }

    private final ArrayDeque<Work> recent = new ArrayDeque<>();
    private double sum;
    private double informedSum;

    /**
     * Adds offered work and removes what is older than the window.
     *
     * @param work microseconds of a warm processor
     * @param fromInformed whether the sender had been notified of the start of the processor
     */
    public void add(long now, long windowMicros, double work, boolean fromInformed) {
        while (!recent.isEmpty() && recent.peek().at <= now - windowMicros) {
            Work expired = recent.remove();
            sum -= expired.work;
            informedSum -= expired.fromInformed ? expired.work : 0;
        }
        recent.add(new Work(now, work, fromInformed));
        sum += work;
        informedSum += fromInformed ? work : 0;
    }

    /** Returns the work within the window, in the unit in which it was added. */
    public double sum() {
        return sum;
    }

    /** Returns whether at least two thirds of the work came from softswitches that had been notified of the start. */
    public boolean mostlyInformed() {
        return informedSum >= sum * 2 / 3;
    }

    /** Discards all work, as the process has started or stopped. */
    public void clear() {
        recent.clear();
        sum = 0;
        informedSum = 0;
    }
}
