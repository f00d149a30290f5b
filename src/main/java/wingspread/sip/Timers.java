package wingspread.sip;

import java.util.function.LongSupplier;
import wingspread.turn.Deadlines;
import wingspread.turn.Worker;

/** The timers of the transaction layer. They are not cancelled; a task checks whether it still applies when it runs. */
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
    public void at(long time, Runnable task) {
        deadlines.add(time, task);
    }

    /**
     * Retransmits a message, first after T1 and then at doubling intervals.
     *
     * @param maxInterval the maximum interval in microseconds
     * @param until the time at which retransmission stops at the latest
     */
    void retransmit(long maxInterval, long until, Retransmission retransmission) {
        scheduleRetransmission(T1_MICROS, maxInterval, until, retransmission);
    }

    /** The retransmission of a message. */
    @FunctionalInterface
    interface Retransmission {
        /** Sends the message again if that is still necessary, and returns whether it was. */
        boolean send();
    }

    private void scheduleRetransmission(long interval, long maxInterval, long until, Retransmission retransmission) {
        long next = now() + interval;
        if (next < until) {
            at(next, () -> {
                if (retransmission.send()) {
                    scheduleRetransmission(Math.min(2 * interval, maxInterval), maxInterval, until, retransmission);
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
