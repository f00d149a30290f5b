package wingspread.sip;

import java.util.function.LongSupplier;
import wingspread.turn.Deadlines;
import wingspread.turn.Worker;

/** The timers of the transaction layer, in one queue. A timer that has become moot finds so when it fires. */
public final class Timers implements Worker {
    /** RFC 3261, table 4: round trip estimate, longest gap of resends, longest life of a message; in us. */
    public static final long T1 = 500_000;
    public static final long T2 = 4_000_000;
    public static final long T4 = 5_000_000;
    /** Timers B, F, H, J and L: how long a transaction is pursued. */
    public static final long PURSUED = 64 * T1;

    private final LongSupplier clock;
    private final Deadlines deadlines = new Deadlines();

    public Timers(LongSupplier clock) {
        this.clock = clock;
    }

    public long now() {
        return clock.getAsLong();
    }

    /** Runs a task at a time. */
    public void at(long time, Runnable what) {
        deadlines.add(time, what);
    }

    /** Resends at doubling gaps, not above {@code longest}, until a time or until it is no longer wanted. */
    void resend(long longest, long until, Resend what) {
        again(T1, longest, until, what);
    }

    /** A message sent again while that is wanted; answers whether it still is. */
    @FunctionalInterface
    interface Resend {
        boolean again();
    }

    private void again(long gap, long longest, long until, Resend what) {
        long next = now() + gap;
        if (next < until) {
            at(next, () -> {
                if (what.again()) {
                    again(Math.min(2 * gap, longest), longest, until, what);
                }
            });
        }
    }

    @Override
    public void turn() {
        deadlines.runDue(now());
    }

    @Override
    public long nextDue() {
        return deadlines.next();
    }
}
