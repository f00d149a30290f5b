package wingspread.lab.sim;

import java.util.function.LongSupplier;
import wingspread.turn.Deadlines;

/** The simulation clock in microseconds with its event queue. Time does not advance while an event is processed. */
public final class VirtualTime implements LongSupplier {
    private final Deadlines deadlines = new Deadlines();
    private long now;
    private long eventCount;

    /** Creates a clock that starts at this time. */
    public VirtualTime(long start) {
        now = start;
    }

    @Override
    public long getAsLong() {
        return now;
    }

    /** Schedules an action at a time; one in the past runs at the current time, after the current event. */
    public void scheduleAt(long time, Runnable action) {
        deadlines.add(Math.max(now, time), action);
    }

    /** Schedules an action after a delay in microseconds. */
    public void scheduleIn(long delayMicros, Runnable action) {
        scheduleAt(now + delayMicros, action);
    }

    /** Processes all events up to and including {@code end} and sets the clock to it. */
    public void runUntil(long end) {
        while (deadlines.next() <= end) {
            now = deadlines.next();
            eventCount++;
            deadlines.runNext();
        }
        now = end;
    }

    /** Returns the number of events processed so far. */
    public long eventCount() {
        return eventCount;
    }
}
