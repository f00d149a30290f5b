package wingspread.lab.world;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** The circuits between two exchanges, shared by both ends and by calls in transit. */
final class CircuitGroup {
    private final int size;
    private int working;
    /** The share of circuits that each current loss leaves in service. */
    private final List<Double> remainingShares = new ArrayList<>(0);
    private int busy;
    /** The legs that hold circuits; each stores its index in this list, so that removal needs no search. */
    private final List<Leg> holders = new ArrayList<>(0);

    CircuitGroup(int size) {
        this.size = size;
        this.working = size;
    }

    /** Returns the number of circuits in service; the group size in reports is this number. */
    int working() {
        return working;
    }

    /** Returns the number of attempts on this group that have not been answered. */
    int pendingAttempts() {
        return (int) holders.stream().filter(leg -> !leg.established && !leg.ended).count();
    }

    int busy() {
        return busy;
    }

    int free() {
        return Math.max(0, working - busy);
    }

    /** Seizes circuits for a leg; returns false if too few are free. */
    boolean seize(Leg leg) {
        if (free() < leg.width) {
            return false;
        }
        busy += leg.width;
        leg.indexInGroup = holders.size();
        holders.add(leg);
        return true;
    }

    /** Releases the circuits of a leg; does nothing if it holds none. */
    void release(Leg leg) {
        if (leg.indexInGroup < 0) {
            return;
        }
        busy -= leg.width;
        Leg last = holders.remove(holders.size() - 1);
        if (last != leg) {
            holders.set(leg.indexInGroup, last);
            last.indexInGroup = leg.indexInGroup;
        }
        leg.indexInGroup = -1;
    }

    /**
     * Takes circuits out of service so that {@code share} of those working remain. Each call is on a lost circuit with
     * the same probability; if more calls survive than fit the remaining circuits, further random calls are lost.
     * Overlapping losses multiply.
     *
     * @return the legs that lose their circuits; they hold them until the caller releases them
     */
    List<Leg> loseCircuits(double share, UniformRandomProvider random) {
        remainingShares.add(share);
        updateWorking();
        List<Leg> remaining = new ArrayList<>();
        List<Leg> lost = new ArrayList<>();
        int circuitsHeld = 0;
        for (Leg leg : holders) {
            if (random.nextDouble() < share) {
                remaining.add(leg);
                circuitsHeld += leg.width;
            } else {
                lost.add(leg);
            }
        }
        while (circuitsHeld > working) {
            Leg leg = remaining.remove(random.nextInt(remaining.size()));
            lost.add(leg);
            circuitsHeld -= leg.width;
        }
        return lost;
    }

    /** Returns a copy of the legs that hold circuits. */
    List<Leg> holders() {
        return List.copyOf(holders);
    }

    /** Ends a loss that left this share of the circuits in service. */
    void repair(double share) {
        remainingShares.remove(share);
        updateWorking();
    }

    private void updateWorking() {
        working = (int) Math.round(size * remainingShares.stream().reduce(1.0, (a, b) -> a * b));
    }
}
