package wingspread.testbed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import wingspread.testbed.soak.Schedule.PlannedFault;

/**
 * Reduces a schedule that breaks a rule to fewer faults that still break one, which makes the cause easier to find.
 */
final class Shrinker {
    /** Runs a schedule and reports whether it breaks a rule. */
    interface ScheduleRunner {
        boolean breaksRule(Schedule schedule) throws IOException, InterruptedException;
    }

    private final ScheduleRunner runner;
    private final int maxTrials;
    private int trials;

    Shrinker(ScheduleRunner runner, int maxTrials) {
        this.runner = runner;
        this.maxTrials = maxTrials;
    }

    /**
     * Returns the smallest schedule found within the maximum number of trials. Drops half of the faults at a time
     * first, then smaller and smaller chunks down to single faults.
     */
    Schedule shrink(Schedule failing) throws IOException, InterruptedException {
        Schedule smallest = failing;
        for (int chunk = Math.max(1, failing.faults().size() / 2); chunk >= 1; chunk /= 2) {
            int from = 0;
            while (from < smallest.faults().size() && trials < maxTrials) {
                List<PlannedFault> remaining = new ArrayList<>(smallest.faults());
                remaining.subList(from, Math.min(remaining.size(), from + chunk)).clear();
                Schedule candidate = smallest.withFaults(remaining);
                trials++;
                if (runner.breaksRule(candidate)) {
                    smallest = candidate;
                } else {
                    from += chunk;
                }
            }
        }
        return smallest;
    }

    /** Returns the number of trials run so far. */
    int trials() {
        return trials;
    }
}
