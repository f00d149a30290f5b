package wingspread.storm;

import java.util.Arrays;

/**
 * A budget for redials: each first try that gets through pays in a share, time pays in a little, each redial that is
 * let through takes out its width. So redials stay in proportion to what works, whatever their number. What is paid
 * in is divided among the classes that have asked of late, by worth and not by how loudly they ask; what a class has
 * no room for goes to the others, and what nobody asks for lies in common. All accounts together hold a fixed most.
 */
final class FairBudget implements Damper {
    private static final double SECOND = 1_000_000;
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final StormFigures.Damping figures;
    private final long window;
    private final double[] worth;
    private final double[] account;
    /** When each class asked last. */
    private final double[] asked;
    private double common;
    private double share;
    private long paidAt;

    /** A budget that starts with one redial in common; a class that asked within {@code window} is served. */
    FairBudget(long now, StormFigures.Damping figures, long window, double[] worth) {
        this.figures = figures;
        this.window = window;
        this.worth = worth.clone();
        this.account = new double[worth.length];
        this.asked = new double[worth.length];
        this.common = 1;
        this.share = figures.budgetShare();
        this.paidAt = now;
        Arrays.fill(asked, NEVER);
    }

    @Override
    public void firstTry(long now) {
        // Asking pays nothing in.
    }

    @Override
    public void gotThrough(long now, boolean again) {
        payForTime(now);
        // Guards the proportion: a redial that got through, and paid for others, would let a storm feed itself.
        if (!again) {
            pay(now, share);
        }
    }

    @Override
    public boolean lets(long now, int callClass, double width) {
        payForTime(now);
        asked[callClass] = now;
        if (account[callClass] + common < width) {
            return false;
        }
        double own = Math.min(account[callClass], width);
        account[callClass] -= own;
        common -= width - own;
        return true;
    }

    @Override
    public void began(long now, double throughPerSecond) {
        // What was saved up before the storm is not spent in it at once: one redial, as at the start.
        payForTime(now);
        Arrays.fill(account, 0);
        common = Math.min(common, 1);
    }

    @Override
    public void share(double newShare) {
        share = newShare;
    }

    /** What is there, in redials; never below 0 nor above the most. */
    double balance() {
        return common + Arrays.stream(account).sum();
    }

    private void payForTime(long now) {
        if (now > paidAt) {
            pay(now, (now - paidAt) / SECOND * figures.budgetFloor());
            paidAt = now;
        }
    }

    private void pay(long now, double amount) {
        double active = 0;
        for (int i = 0; i < worth.length; i++) {
            if (asked[i] > now - window) {
                active += worth[i];
            } else {
                // A class that asks no longer leaves what it had to the others.
                common += account[i];
                account[i] = 0;
            }
        }
        double left = Math.min(amount, Math.max(0, figures.budgetMost() - balance()));
        if (!(active > 0)) {
            common += left;
            return;
        }
        double over = 0;
        for (int i = 0; i < worth.length; i++) {
            if (asked[i] > now - window) {
                double most = figures.budgetMost() * worth[i] / active;
                double given = left * worth[i] / active;
                double taken = Math.max(0, Math.min(given, most - account[i]));
                account[i] += taken;
                over += given - taken;
            }
        }
        common += over;
    }
}
