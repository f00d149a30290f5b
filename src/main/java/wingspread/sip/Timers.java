package wingspread.sip;

import java.util.function.LongSupplier;
import wingspread.turn.Deadlines;
import wingspread.turn.Worker;

/**
 * The timers of the transaction layer. A timer is cancelled with what it belongs to, so that messages and transactions
 * that have ended are not kept until the timer would have expired.
 */
public final class Timers implements Worker {
    /** T1 of RFC 3261, table 4, in microseconds: the estimate of the round-trip time. */
    public static final long T1_MICROS = 500_000;
    /** T2 of RFC 3261, table 4, in microseconds: the maximum interval between retransmissions. */
    public static final long T2_MICROS = 4_000_000;
    /** T4 of RFC 3261, table 4, in microseconds: the maximum time that a message remains in the network. */
    public static final long T4_MICROS = 5_000_000;
    /** The timers B, F, H, J and L of RFC 3261 and RFC 6026, in microseconds: the timeout of a transaction. */
    public static final long TRANSACTION_TIMEOUT_MICROS = 64 * T1_MICROS;

    private final LongSupplier clock;
    private final Deadlines deadlines = new Deadlines();

    /**
     * Creates an empty queue of timers.
     *
     * @param clock returns the time in microseconds
     */
    public Timers(LongSupplier clock) {
        this.clock = clock;
    }

    /** Returns the time of the clock in microseconds. */
    public long now() {
        return clock.getAsLong();
    }

    /** Schedules a task for a time of the clock. */
    public Deadlines.Timer at(long time, Runnable task) {
        return deadlines.add(time, task);
    }

    /** Returns the number of timers that have neither expired nor been cancelled. */
    public int size() {
        return deadlines.size();
    }

    /**
     * Retransmits a message, first after T1 and then at intervals that double up to T2, until it is stopped.
     *
     * @param until the time at which the retransmission stops at the latest
     */
    Retransmission retransmit(long until, Runnable sender) {
        Retransmission retransmission = new Retransmission(until, sender);
        retransmission.scheduleNext(T1_MICROS);
        return retransmission;
    }

    /** The repeated sending of a message. */
    final class Retransmission {
        private final long until;
        private final Runnable sender;
        /** The next sending; null before the first and after the last is scheduled. */
        private Deadlines.Timer next;

        private Retransmission(long until, Runnable sender) {
            this.until = until;
            this.sender = sender;
        }

        private void scheduleNext(long interval) {
            long time = now() + interval;
            next = time >= until ? null : at(time, () -> {
                sender.run();
                scheduleNext(Math.min(2 * interval, T2_MICROS));
            });
        }

        /** Stops the retransmission. Does nothing if it has stopped already. */
        void stop() {
            if (next != null) {
                next.cancel();
            }
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
