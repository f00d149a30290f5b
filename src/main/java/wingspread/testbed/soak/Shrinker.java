package wingspread.testbed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import wingspread.testbed.soak.Schedule.PlannedFault;

/** Drops faults of a schedule that breaks a rule for as long as it still breaks one, so that it can be read. */
final class Shrinker {
    /** Plays a schedule; whether it breaks a rule. */
    interface Player {
        boolean breaks(Schedule schedule) throws IOException, InterruptedException;
    }

    private final Player player;
    private final int mostTrials;
    private int trials;

    /** One that plays so many trials at the most. */
    Shrinker(Player player, int mostTrials) {
        this.player = player;
        this.mostTrials = mostTrials;
    }

    /** The smallest schedule found: halves are dropped first, then single faults. */
    Schedule shrink(Schedule broken) throws IOException, InterruptedException {
        Schedule smallest = broken;
        for (int chunk = Math.max(1, broken.faults().size() / 2); chunk >= 1; chunk /= 2) {
            int from = 0;
            while (from < smallest.faults().size() && trials < mostTrials) {
                List<PlannedFault> fewer = new ArrayList<>(smallest.faults());
                fewer.subList(from, Math.min(fewer.size(), from + chunk)).clear();
                Schedule candidate = smallest.withFaults(fewer);
                trials++;
                if (player.breaks(candidate)) {
                    smallest = candidate;
                } else {
                    from += chunk;
                }
            }
        }
        return smallest;
    }

    /** Trials that were played. */
    int trials() {
        return trials;
    }
}
