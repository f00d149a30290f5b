package wingspread.storm;

/**
 * A budget of the loop's time for newcomers: accepts and handshakes may take a share of it, so that a crowd that
 * reconnects at once leaves the rest to callers who are there. What each costs is learnt from what it took; the
 * budget may run into debt by one, and none is started before that is paid.
 */
public final class LoopBudget {
    private static final double LEARN = 0.05;

    private final double share;
    private final double most;
    private double cost;
    private double balance;
    private long paidAt;

    /**
     * A full budget.
     *
     * @param share of the loop's time, above 0 and at most 1
     * @param most microseconds of it that an unused budget adds up to, above 0
     * @param firstGuess microseconds that one newcomer is taken to cost before any was seen
     */
    public LoopBudget(long now, double share, long most, double firstGuess) {
        if (!(share > 0 && share <= 1) || most <= 0 || !(firstGuess > 0)) {
            throw new IllegalArgumentException("a loop budget of " + share + " of the time up to " + most);
        }
        this.share = share;
        this.most = most;
        this.cost = firstGuess;
        this.balance = most;
        this.paidAt = now;
    }

    /** Whether another newcomer may be taken in now; one may where anything is left. */
    public boolean allows(long now) {
        pay(now);
        return balance > 0;
    }

    /** A newcomer was taken in, which took so many microseconds of the loop. */
    public void spent(long now, double micros) {
        pay(now);
        cost += LEARN * (Math.max(0, micros) - cost);
        balance -= Math.max(0, micros);
    }

    /** When the next newcomer may be taken in: now, or once the debt is paid and half a newcomer's cost is there. */
    public long opensAt(long now) {
        pay(now);
        return balance > 0 ? now : now + (long) Math.ceil((cost / 2 - balance) / share);
    }

    /** What one newcomer is taken to cost, in microseconds. */
    public double cost() {
        return cost;
    }

    private void pay(long now) {
        if (now > paidAt) {
            balance = Math.min(most, balance + share * (now - paidAt));
            paidAt = now;
        }
    }
}
