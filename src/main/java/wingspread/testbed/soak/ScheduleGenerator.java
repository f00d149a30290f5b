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

/**
 * Generates the schedule of a seed at random: a deployment, and overlapping faults of every group. The same seed always
 * yields the same schedule.
 */
final class ScheduleGenerator {
    private static final int FIRST_FAULT_MS = 500;
    /** No fault starts in the last part of a trial, so that each has time to take effect. */
    private static final int LAST_FAULT_BEFORE_END_MS = 3_000;
    /** Maximum time between the start of a fault and the middle of its cluster. */
    private static final int CLUSTER_RADIUS_MS = 1_500;
    /** Maximum number of faults beyond one of each group. */
    private static final int MAX_ADDITIONAL_FAULTS = 6;
    /**
     * Minimum time from the end of one directory fault to the start of the next. Softswitches are required to know a
     * change of the list after 7 s, so a longer outage would require knowledge that they cannot have.
     */
    private static final int DIRECTORY_PAUSE_MS = 1_500;
    private static final int MAX_DIRECTORY_FAULT_MS = 4_500;
    /** Maximum number of faults of the kinds that are drawn separately; at least one is drawn if any is allowed. */
    private static final int MAX_SEPARATE_FAULTS = 4;
    private static final int MAX_DISTURBANCE_DELAY_MS = 2_000;
    /** Number of rounds in which faults are drawn after the first. */
    private static final int DRAWING_ROUNDS = 3;
    private static final long SEPARATE_SEED_OFFSET = 0x5eba_7a7eL;

    private ScheduleGenerator() { }

    /**
     * Returns the schedule of a seed.
     *
     * @param seconds how long callers offer calls
     * @param allowedKinds the kinds of faults to choose from; empty for all
     */
    static Schedule generate(long seed, int seconds, Collection<FaultKind> allowedKinds) {
        SplittableRandom random = new SplittableRandom(seed);
        Deployment deployment = generateDeployment(random);
        Set<FaultKind> allowed = allowedKinds.isEmpty() ? EnumSet.allOf(FaultKind.class) : EnumSet.copyOf(allowedKinds);
        List<FaultKind> kinds = allowed.stream().filter(kind -> kind.drawingRound() == 0).toList();
        List<FaultKind> chosenKinds = new ArrayList<>();
        for (Group group : Group.values()) {
            List<FaultKind> ofGroup = kinds.stream().filter(kind -> kind.group() == group).toList();
            if (!ofGroup.isEmpty()) {
                chosenKinds.add(ofGroup.get(random.nextInt(ofGroup.size())));
            }
        }
        int additionalFaults = kinds.isEmpty() ? 0 : random.nextInt(MAX_ADDITIONAL_FAULTS + 1);
        for (int remaining = additionalFaults; remaining > 0; remaining--) {
            chosenKinds.add(kinds.get(random.nextInt(kinds.size())));
        }
        int latestMs = Math.max(FIRST_FAULT_MS + 1, seconds * 1_000 - LAST_FAULT_BEFORE_END_MS);
        int[] clusterCentersMs = {random.nextInt(FIRST_FAULT_MS, latestMs), random.nextInt(FIRST_FAULT_MS, latestMs)};
        List<PlannedFault> faults = new ArrayList<>();
        for (FaultKind kind : chosenKinds) {
            int atMs = clusterCentersMs[random.nextInt(clusterCentersMs.length)]
                    + random.nextInt(-CLUSTER_RADIUS_MS, CLUSTER_RADIUS_MS + 1);
            faults.add(generateFault(kind, Math.max(FIRST_FAULT_MS, Math.min(latestMs, atMs)), deployment, random));
        }
        for (int round = 1; round <= DRAWING_ROUNDS; round++) {
            int present = round;
            List<FaultKind> ofRound = allowed.stream().filter(kind -> kind.drawingRound() == present).toList();
            addSeparateFaults(faults, ofRound, latestMs, deployment,
                    new SplittableRandom(seed + round * SEPARATE_SEED_OFFSET));
        }
        return new Schedule(seed, seconds, deployment, sortAndSpaceOut(faults));
    }

    private static void addSeparateFaults(List<PlannedFault> faults, List<FaultKind> kinds, int latestMs,
            Deployment deployment, SplittableRandom random) {
        if (kinds.isEmpty()) {
            return;
        }
        for (int remaining = random.nextInt(1, MAX_SEPARATE_FAULTS + 1); remaining > 0; remaining--) {
            FaultKind kind = kinds.get(random.nextInt(kinds.size()));
            PlannedFault fault = generateFault(kind, random.nextInt(FIRST_FAULT_MS, latestMs), deployment, random);
            faults.add(fault);
            if (kind == FaultKind.RETURN) {
                faults.add(disturbanceAfterReturn(fault, random));
            }
        }
    }

    /** Returns a fault that ends connections of an exchange which has just returned. */
    private static PlannedFault disturbanceAfterReturn(PlannedFault returned, SplittableRandom random) {
        FaultKind kind = random.nextBoolean() ? FaultKind.CLOSE_IDLE : FaultKind.FORGET_IDLE;
        int returnedAtMs = returned.atMs() + returned.size() + returned.forMs();
        return new PlannedFault(kind, returned.target(), returnedAtMs + random.nextInt(MAX_DISTURBANCE_DELAY_MS),
                random.nextInt(1_000, 5_001), 0);
    }

    private static Deployment generateDeployment(SplittableRandom random) {
        int softswitches = random.nextInt(2, 7);
        int exchanges = random.nextInt(Math.max(3, softswitches), 13);
        List<Integer> deadlines = new ArrayList<>();
        for (int remaining = random.nextInt(1, 4); remaining > 0; remaining--) {
            // From 0.1 to 5 s, log-uniformly distributed.
            deadlines.add((int) (100 * Math.exp(random.nextDouble() * Math.log(50))));
        }
        return new Deployment(softswitches, exchanges, random.nextInt(1, 4), List.copyOf(deadlines),
                random.nextInt(40, 97), random.nextInt(192, 1_025), random.nextInt(3, 16), random.nextInt(500, 5_001),
                random.nextInt(40, 201));
    }

    private static PlannedFault generateFault(FaultKind kind, int atMs, Deployment deployment,
            SplittableRandom random) {
        int target = switch (kind.target()) {
            case NONE -> 0;
            case SOFTSWITCH -> random.nextInt(deployment.softswitches());
            case EXCHANGE -> random.nextInt(deployment.exchanges());
        };
        int defaultDurationMs = random.nextInt(1_000, 5_001);
        int size = switch (kind) {
            case DIRECTORY_LATE -> random.nextInt(200, 1_500);
            case VANISH, REPLACE -> random.nextInt(1_500, 9_001);
            case DRAIN, RETURN -> random.nextInt(500, 4_001);
            case RETURN_WITHOUT_HOSTS -> random.nextInt(300, 1_001);
            case CROWD -> random.nextInt(100, 2_001);
            case BURST -> random.nextInt(20, 151);
            case RESET_IN_MESSAGE -> random.nextInt(100, 3_000);
            case PIECES -> random.nextInt(3, 200);
            default -> 0;
        };
        int durationMs = switch (kind) {
            case VANISH, REPLACE -> random.nextInt(1_000, 10_001);
            case CRASH -> random.nextInt(100, 3_001);
            case QUIET_RESTART -> random.nextInt(1_000, 3_001);
            case RETURN -> random.nextInt(300, 2_001);
            case RETURN_WITHOUT_HOSTS -> random.nextInt(500, 1_201);
            case LATE_CONNECT -> random.nextInt(200, 1_001);
            default -> kind.target() == Target.NONE ? Math.min(defaultDurationMs, MAX_DIRECTORY_FAULT_MS)
                    : defaultDurationMs;
        };
        return new PlannedFault(kind, target, atMs, durationMs, size);
    }

    /**
     * Sorts faults by their start and drops directory faults that are too close to another one. Of two such faults the
     * one of the earlier round stays, or else the one that starts first.
     */
    private static List<PlannedFault> sortAndSpaceOut(List<PlannedFault> faults) {
        List<PlannedFault> ofDirectory = new ArrayList<>();
        faults.stream().filter(ScheduleGenerator::affectsDirectory)
                .sorted(Comparator.<PlannedFault>comparingInt(fault -> fault.kind().drawingRound())
                        .thenComparingInt(PlannedFault::atMs))
                .filter(fault -> ofDirectory.stream().noneMatch(other -> areTooClose(fault, other)))
                .forEach(ofDirectory::add);
        return faults.stream().filter(fault -> !affectsDirectory(fault) || ofDirectory.contains(fault))
                .sorted(Comparator.comparingInt(PlannedFault::atMs)).toList();
    }

    private static boolean affectsDirectory(PlannedFault fault) {
        return fault.kind().target() == Target.NONE;
    }

    private static boolean areTooClose(PlannedFault fault, PlannedFault other) {
        return fault.atMs() < other.atMs() + other.forMs() + DIRECTORY_PAUSE_MS
                && other.atMs() < fault.atMs() + fault.forMs() + DIRECTORY_PAUSE_MS;
    }
}
