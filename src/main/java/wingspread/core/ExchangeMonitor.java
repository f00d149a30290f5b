package wingspread.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import wingspread.control.ExchangeLiveness;
import wingspread.turn.Deadlines;

/**
 * Monitors the exchanges that have established calls, each with an {@link ExchangeLiveness}. Opens new connections to
 * an unresponsive exchange, and reports an exchange that counts as down. Without this, callers would not be notified
 * if their exchange vanished: it no longer sends releases, and while the directory is down nothing else reports the
 * end of the calls. Holds only exchanges with calls on them; an exchange is removed after its last call has ended.
 */
final class ExchangeMonitor {
    private final LongSupplier clock;
    private final Deadlines deadlines;
    private final ExchangeTransport exchanges;
    private final LongPredicate callersReachable;
    private final DownListener listener;
    private final Map<Long, MonitoredExchange> monitoredExchanges = new HashMap<>();
    private boolean shuttingDown;

    /** Is notified when an exchange counts as down. */
    interface DownListener {
        /**
         * Called when an exchange counts as down.
         *
         * @param silenceMicros time since the last message from it
         */
        void exchangeDown(long exchange, long silenceMicros);
    }

    /** The liveness of an exchange and the number of calls established on it. */
    private static final class MonitoredExchange {
        final ExchangeLiveness liveness;
        int calls;

        MonitoredExchange(long now) {
            liveness = new ExchangeLiveness(now);
        }
    }

    /**
     * Creates a monitor that schedules its checks in {@code deadlines}.
     *
     * @param callersReachable whether any caller with a call on an exchange could be notified of its end now
     */
    ExchangeMonitor(LongSupplier clock, Deadlines deadlines, ExchangeTransport exchanges,
            LongPredicate callersReachable, DownListener listener) {
        this.callersReachable = callersReachable;
        this.clock = clock;
        this.deadlines = deadlines;
        this.exchanges = exchanges;
        this.listener = listener;
    }

    /** Adds a call established through an exchange, which has just answered it. */
    void callEstablished(long now, long exchange) {
        if (!exchanges.needsLivenessChecks()) {
            return;
        }
        MonitoredExchange entry = monitoredExchanges.get(exchange);
        if (entry == null) {
            entry = new MonitoredExchange(now);
            monitoredExchanges.put(exchange, entry);
            if (shuttingDown) {
                entry.liveness.beginShutdown();
            }
            scheduleCheck(exchange, entry);
        }
        entry.calls++;
    }

    /** Removes an established call that has ended. */
    void callEnded(long exchange) {
        MonitoredExchange entry = monitoredExchanges.get(exchange);
        if (entry != null) {
            entry.calls--;
        }
    }

    /** Records that a message from an exchange has been received. */
    void recordMessage(long now, long exchange) {
        MonitoredExchange entry = monitoredExchanges.get(exchange);
        if (entry != null) {
            entry.liveness.messageReceived(now);
        }
    }

    /** Checks unresponsive exchanges sooner from now on, since the process is shutting down. */
    void expediteChecks() {
        shuttingDown = true;
        monitoredExchanges.forEach((exchange, entry) -> {
            entry.liveness.beginShutdown();
            scheduleCheck(exchange, entry);
        });
    }

    /** Whether the exchange is monitored: it has established calls, or had some until recently. */
    boolean isMonitored(long exchange) {
        return monitoredExchanges.containsKey(exchange);
    }

    /** Whether an exchange with calls on it has sent nothing although new connections to it were opened. */
    boolean isSuspect(long now, long exchange) {
        MonitoredExchange entry = monitoredExchanges.get(exchange);
        return entry != null && entry.liveness.isUnresponsive(now);
    }

    /**
     * Whether a check may open a connection. During shutdown it must not where its result is of no use: the exchange
     * repeats on the next connection what nobody could be told of, and that one is to be the next process's.
     */
    private boolean mayCheck(long exchange) {
        return !shuttingDown || callersReachable.test(exchange);
    }

    private void scheduleCheck(long exchange, MonitoredExchange entry) {
        deadlines.add(entry.liveness.nextStepAt(clock.getAsLong()), () -> evaluate(exchange, entry));
    }

    private void evaluate(long exchange, MonitoredExchange entry) {
        if (monitoredExchanges.get(exchange) != entry) {
            return;
        }
        if (entry.calls <= 0) {
            monitoredExchanges.remove(exchange);
            return;
        }
        long now = clock.getAsLong();
        switch (entry.liveness.nextStep(now)) {
            case DOWN -> {
                monitoredExchanges.remove(exchange);
                listener.exchangeDown(exchange, now - entry.liveness.lastMessageAt());
                return;
            }
            case CHECK -> {
                if (mayCheck(exchange) && exchanges.checkLiveness(exchange)) {
                    entry.liveness.checkStarted(now);
                } else {
                    entry.liveness.checkSkipped(now);
                }
            }
            default -> { }
        }
        scheduleCheck(exchange, entry);
    }
}
