package wingspread.storm;

/**
 * A budget for redials: each first try that gets through pays in a share, time pays in a little, each redial that is
 * let through takes one out. So redials stay in proportion to what works, whatever their number.
 */
public final class RetryBudget {
    private static final double SECOND = 1_000_000;

    private final StormFigures figures;
    private double balance;
    private long paidAt;

    /** A budget that starts with one redial. */
    public RetryBudget(long now, StormFigures figures) {
        this.figures = figures;
        this.balance = 1;
        this.paidAt = now;
    }

    /** A first try got through. */
    public void gotThrough(long now) {
        pay(now);
        balance = Math.min(figures.budgetMost(), balance + figures.budgetShare());
    }

    /** Takes one redial's worth, if there is as much. */
    public boolean take(long now) {
        pay(now);
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }

    /** What is there, in redials; never below 0 nor above the most. */
    public double balance(long now) {
        pay(now);
        return balance;
    }

    private void pay(long now) {
        if (now > paidAt) {
            balance = Math.min(figures.budgetMost(), balance + (now - paidAt) / SECOND * figures.budgetFloor());
            paidAt = now;
        }
    }
}
