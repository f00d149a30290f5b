package wingspread.storm;

import java.util.Arrays;

/**
 * A token budget for redials, shared by call classes in proportion to their value. Each established fresh call adds a
 * share, elapsed time adds a small amount, and each admitted redial takes its width. Redials thereby stay in proportion
 * to the established fresh calls, however many are offered. Added tokens are divided among the classes that offered
 * redials recently, by class value and not by offered load; what exceeds the limit of a class goes to the common
 * balance, and so does everything while no class is active. The sum of all balances is bounded.
 */
final class FairBudget implements RedialLimiter {
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final StormParameters.Damping parameters;
    private final long activityWindowMicros;
    private final double[] classValues;
    private final double[] classBalances;
    /** Time of the latest redial offered, by class. */
    private final double[] lastOfferedAt;
    private double commonBalance;
    private double share;
    private long refilledAt;

    /**
     * Creates a budget of one redial in the common balance.
     *
     * @param activityWindowMicros time in microseconds for which a class counts as active after it offered a redial
     * @param classValues value of each call class, indexed by class number
     */
    FairBudget(long now, StormParameters.Damping parameters, long activityWindowMicros, double[] classValues) {
        this.parameters = parameters;
        this.activityWindowMicros = activityWindowMicros;
        this.classValues = classValues.clone();
        this.classBalances = new double[classValues.length];
        this.lastOfferedAt = new double[classValues.length];
        this.commonBalance = 1;
        this.share = parameters.budgetShare();
        this.refilledAt = now;
        Arrays.fill(lastOfferedAt, NEVER);
    }

    @Override
    public void onFreshCall(long now) {
        // Only established calls add to the budget.
    }

    @Override
    public void onCallEstablished(long now, boolean redial) {
        refillForTime(now);
        // Established redials add nothing, or a storm would finance itself and exceed the configured proportion.
        if (!redial) {
            refill(now, share);
        }
    }

    @Override
    public boolean tryAcquire(long now, int callClass, double width) {
        refillForTime(now);
        lastOfferedAt[callClass] = now;
        if (classBalances[callClass] + commonBalance < width) {
            return false;
        }
        double fromClass = Math.min(classBalances[callClass], width);
        classBalances[callClass] -= fromClass;
        commonBalance -= width - fromClass;
        return true;
    }

    @Override
    public void onStormBegan(long now, double establishedPerSecond) {
        // Savings from before the storm are dropped, so that they are not spent at once: one redial is left.
        refillForTime(now);
        Arrays.fill(classBalances, 0);
        commonBalance = Math.min(commonBalance, 1);
    }

    @Override
    public void setShare(double newShare) {
        share = newShare;
    }

    /** Returns the sum of all balances, in redials: from 0 to the configured maximum. */
    double totalBalance() {
        return commonBalance + Arrays.stream(classBalances).sum();
    }

    private void refillForTime(long now) {
        if (now > refilledAt) {
            refill(now, (now - refilledAt) / MICROS_PER_SECOND * parameters.budgetFloor());
            refilledAt = now;
        }
    }

    private void refill(long now, double amount) {
        double activeValue = 0;
        for (int i = 0; i < classValues.length; i++) {
            if (lastOfferedAt[i] > now - activityWindowMicros) {
                activeValue += classValues[i];
            } else {
                // The balance of a class that is no longer active becomes available to all.
                commonBalance += classBalances[i];
                classBalances[i] = 0;
            }
        }
        double added = Math.min(amount, Math.max(0, parameters.maxBudget() - totalBalance()));
        if (!(activeValue > 0)) {
            commonBalance += added;
            return;
        }
        double surplus = 0;
        for (int i = 0; i < classValues.length; i++) {
            if (lastOfferedAt[i] > now - activityWindowMicros) {
                double limit = parameters.maxBudget() * classValues[i] / activeValue;
                double classShare = added * classValues[i] / activeValue;
                double accepted = Math.max(0, Math.min(classShare, limit - classBalances[i]));
                classBalances[i] += accepted;
                surplus += classShare - accepted;
            }
        }
        commonBalance += surplus;
    }
}
