package wingspread.lab.rules;

import java.util.ArrayDeque;

/**
 * The work that has reached a processor within the window of the fail-back rule, kept while it is cold. Bounded by
 * the window: what is older is dropped at each addition.
 */
public final class Pushed {
    private record Work(long at, double work, boolean byInformed) { }

    private final ArrayDeque<Work> recent = new ArrayDeque<>();
    private double sum;
    private double informed;

    /** Adds work, in microseconds of a warm processor, at a time; the window is in microseconds. */
    public void add(long now, long window, double work, boolean byInformed) {
        while (!recent.isEmpty() && recent.peek().at <= now - window) {
            Work old = recent.remove();
            sum -= old.work;
            informed -= old.byInformed ? old.work : 0;
        }
        recent.add(new Work(now, work, byInformed));
        sum += work;
        informed += byInformed ? work : 0;
    }

    /** All work within the window, in microseconds. */
    public double sum() {
        return sum;
    }

    /** Whether two thirds of it came from softswitches that knew of the start. */
    public boolean mostlyInformed() {
        return informed >= sum * 2 / 3;
    }

    /** A process has started or ended: what came before counts no longer. */
    public void clear() {
        recent.clear();
        sum = 0;
        informed = 0;
    }
}
