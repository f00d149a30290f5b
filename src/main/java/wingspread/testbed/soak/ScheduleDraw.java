package wingspread.testbed.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import wingspread.testbed.soak.FaultKind.Group;
import wingspread.testbed.soak.FaultKind.Target;
import wingspread.testbed.soak.Schedule.Deployment;
import wingspread.testbed.soak.Schedule.PlannedFault;

/** Draws the schedule of a seed: a deployment, and faults of every group that overlap. The same seed, the same draw. */
final class ScheduleDraw {
    private static final int FIRST_FAULT_MS = 500;
    /** No fault begins in the last of a trial, so that it has its effect. */
    private static final int LAST_FAULT_BEFORE_END_MS = 3_000;
    /** Faults begin so close to the middle of their cluster. */
    private static final int CLUSTER_MS = 1_500;
    private static final int MOST_MORE = 6;
    /**
     * From the end of one fault of the directory to the next. A list counts as told 7 s after a change, so a longer
     * outage would ask of a softswitch what it cannot know.
     */
    private static final int DIRECTORY_PAUSE_MS = 1_500;
    private static final int LONGEST_DIRECTORY_MS = 4_500;

    private ScheduleDraw() { }

    /**
     * The schedule of a seed.
     *
     * @param only the kinds to draw from; empty for all
     */
    static Schedule draw(long seed, int seconds, Collection<FaultKind> only) {
        SplittableRandom random = new SplittableRandom(seed);
        Deployment deployment = deployment(random);
        Set<FaultKind> kinds = only.isEmpty() ? EnumSet.allOf(FaultKind.class) : EnumSet.copyOf(only);
        List<FaultKind> drawn = new ArrayList<>();
        for (Group group : Group.values()) {
            List<FaultKind> ofGroup = kinds.stream().filter(kind -> kind.group() == group).toList();
            if (!ofGroup.isEmpty()) {
                drawn.add(ofGroup.get(random.nextInt(ofGroup.size())));
            }
        }
        List<FaultKind> all = List.copyOf(kinds);
        for (int more = random.nextInt(MOST_MORE + 1); more > 0; more--) {
            drawn.add(all.get(random.nextInt(all.size())));
        }
        int latest = Math.max(FIRST_FAULT_MS + 1, seconds * 1_000 - LAST_FAULT_BEFORE_END_MS);
        int[] clusters = {random.nextInt(FIRST_FAULT_MS, latest), random.nextInt(FIRST_FAULT_MS, latest)};
        List<PlannedFault> faults = new ArrayList<>();
        for (FaultKind kind : drawn) {
            int at = clusters[random.nextInt(clusters.length)] + random.nextInt(-CLUSTER_MS, CLUSTER_MS + 1);
            faults.add(fault(kind, Math.max(FIRST_FAULT_MS, Math.min(latest, at)), deployment, random));
        }
        return new Schedule(seed, seconds, deployment, inOrder(faults));
    }

    private static Deployment deployment(SplittableRandom random) {
        int softswitches = random.nextInt(2, 7);
        int exchanges = random.nextInt(Math.max(3, softswitches), 13);
        List<Integer> deadlines = new ArrayList<>();
        for (int classes = random.nextInt(1, 4); classes > 0; classes--) {
            // From 0.1 to 5 s, short ones as often as long ones.
            deadlines.add((int) (100 * Math.exp(random.nextDouble() * Math.log(50))));
        }
        return new Deployment(softswitches, exchanges, random.nextInt(1, 4), List.copyOf(deadlines),
                random.nextInt(40, 97), random.nextInt(192, 1_025), random.nextInt(3, 16), random.nextInt(500, 5_001),
                random.nextInt(40, 201));
    }

    private static PlannedFault fault(FaultKind kind, int at, Deployment deployment, SplittableRandom random) {
        int target = switch (kind.target()) {
            case NONE -> 0;
            case SOFTSWITCH -> random.nextInt(deployment.softswitches());
            case EXCHANGE -> random.nextInt(deployment.exchanges());
        };
        int length = random.nextInt(1_000, 5_001);
        int size = switch (kind) {
            case DIRECTORY_LATE -> random.nextInt(200, 1_500);
            case VANISH, REPLACE -> random.nextInt(1_500, 9_001);
            case DRAIN -> random.nextInt(500, 4_001);
            case CROWD -> random.nextInt(100, 2_001);
            case RESET_IN_MESSAGE -> random.nextInt(100, 3_000);
            case PIECES -> random.nextInt(3, 200);
            default -> 0;
        };
        int lasts = switch (kind) {
            case VANISH, REPLACE -> random.nextInt(1_000, 10_001);
            case CRASH -> random.nextInt(100, 3_001);
            case LATE_CONNECT -> random.nextInt(200, 1_001);
            default -> kind.target() == Target.NONE ? Math.min(length, LONGEST_DIRECTORY_MS) : length;
        };
        return new PlannedFault(kind, target, at, lasts, size);
    }

    /** In the order of their times, without faults of the directory that follow one another too soon. */
    private static List<PlannedFault> inOrder(List<PlannedFault> faults) {
        List<PlannedFault> out = new ArrayList<>();
        int directoryFrom = 0;
        for (PlannedFault fault : faults.stream().sorted(Comparator.comparingInt(PlannedFault::atMs)).toList()) {
            if (fault.kind().target() == Target.NONE) {
                if (fault.atMs() < directoryFrom) {
                    continue;
                }
                directoryFrom = fault.atMs() + fault.forMs() + DIRECTORY_PAUSE_MS;
            }
            out.add(fault);
        }
        return out;
    }
}
