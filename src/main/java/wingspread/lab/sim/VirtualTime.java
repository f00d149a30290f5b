package wingspread.lab.sim;

import java.util.function.LongSupplier;
import wingspread.turn.Deadlines;

/** Virtual microseconds and what is to happen in them. Time stands still while something happens. */
public final class VirtualTime implements LongSupplier {
    private final Deadlines agenda = new Deadlines();
    private long now;
    private long happened;

    /** Starts the clock at a point in time. */
    public VirtualTime(long start) {
        now = start;
    }

    @Override
    public long getAsLong() {
        return now;
    }

    /** Something will happen at a time; what is late happens now, after what is under way. */
    public void at(long time, Runnable what) {
        agenda.add(Math.max(now, time), what);
    }

    /** Something will happen so many microseconds from now. */
    public void in(long wait, Runnable what) {
        at(now + wait, what);
    }

    /** Lets everything happen up to a time, and the clock stand there. */
    public void runUntil(long end) {
        while (agenda.next() <= end) {
            now = agenda.next();
            happened++;
            agenda.runNext();
        }
        now = end;
    }

    /** How many things have happened. */
    public long happened() {
        return happened;
    }
}
