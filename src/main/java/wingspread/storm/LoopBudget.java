package wingspread.storm;

/**
 * Limits the share of the event loop's time that accepting new connections and their handshakes may take, so that a
 * mass reconnect leaves the rest to established connections. The cost of a connection is learnt from the time spent on
 * each. The budget may be overdrawn by one connection; no other is accepted before the debt is repaid. All times are in
 * microseconds.
 */
public final class LoopBudget {
    private static final double COST_LEARNING_RATE = 0.05;

    private final double share;
    private final double maxBalanceMicros;
    private double averageCostMicros;
    private double balance;
    private long refilledAt;

    /**
     * Creates a full budget.
     *
     * @param share of the loop's time, above 0 and at most 1
     * @param maxBalanceMicros microseconds of loop time that an unused budget accumulates at most, above 0
     * @param initialCostMicros microseconds that one connection is assumed to cost before any was measured, above 0
     */
    public LoopBudget(long now, double share, long maxBalanceMicros, double initialCostMicros) {
        if (!(share > 0 && share <= 1) || maxBalanceMicros <= 0 || !(initialCostMicros > 0)) {
            throw new IllegalArgumentException(
                    "loop budget out of bounds: share " + share + ", maximum balance in us " + maxBalanceMicros);
        }
        this.share = share;
        this.maxBalanceMicros = maxBalanceMicros;
        this.averageCostMicros = initialCostMicros;
        this.balance = maxBalanceMicros;
        this.refilledAt = now;
    }

    /** Whether another connection may be accepted now, which is the case while the balance is positive. */
    public boolean allowsConnection(long now) {
        refill(now);
        return balance > 0;
    }

    /** Charges the loop time that one connection took, in microseconds. */
    public void debit(long now, double micros) {
        refill(now);
        averageCostMicros += COST_LEARNING_RATE * (Math.max(0, micros) - averageCostMicros);
        balance -= Math.max(0, micros);
    }

    /**
     * Returns when the next connection may be accepted: now, or when the debt is repaid and half the average cost of a
     * connection is available.
     */
    public long nextAllowedAt(long now) {
        refill(now);
        return balance > 0 ? now : now + (long) Math.ceil((averageCostMicros / 2 - balance) / share);
    }

    /** Returns the learnt cost of one connection, in microseconds. */
    public double averageCostMicros() {
        return averageCostMicros;
    }

    private void refill(long now) {
        if (now > refilledAt) {
            balance = Math.min(maxBalanceMicros, balance + share * (now - refilledAt));
            refilledAt = now;
        }
    }
}
