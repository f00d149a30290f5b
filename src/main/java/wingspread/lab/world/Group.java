package wingspread.lab.world;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** The circuits between two exchanges, shared by both ends and by calls in transit. */
final class Group {
    private final int size;
    private int working;
    /** The shares that the losses which are on leave. */
    private final List<Double> kept = new ArrayList<>(0);
    private int busy;
    /** Who holds circuits; each knows its place here, so that leaving costs no search. */
    private final List<Leg> holders = new ArrayList<>(0);

    Group(int size) {
        this.size = size;
        this.working = size;
    }

    /** Circuits that work now; the end that is told a group's size hears this number. */
    int working() {
        return working;
    }

    /** Attempts on it that have no answer yet. */
    int out() {
        return (int) holders.stream().filter(leg -> !leg.standing && !leg.over).count();
    }

    int busy() {
        return busy;
    }

    int free() {
        return Math.max(0, working - busy);
    }

    /** Takes circuits for a leg; false where too few are free. */
    boolean seize(Leg leg) {
        if (free() < leg.width) {
            return false;
        }
        busy += leg.width;
        leg.placeInGroup = holders.size();
        holders.add(leg);
        return true;
    }

    /** Gives a leg's circuits back; one that holds none is left alone. */
    void release(Leg leg) {
        if (leg.placeInGroup < 0) {
            return;
        }
        busy -= leg.width;
        Leg last = holders.remove(holders.size() - 1);
        if (last != leg) {
            holders.set(leg.placeInGroup, last);
            last.placeInGroup = leg.placeInGroup;
        }
        leg.placeInGroup = -1;
    }

    /**
     * Keeps a share of the circuits that work. Each call lies on a lost one with the same probability; should too many
     * be kept by chance, further ones are lost until the rest fit. Losses that overlap multiply.
     *
     * @return the legs that lose their circuits, which still hold them
     */
    List<Leg> lose(double share, UniformRandomProvider random) {
        kept.add(share);
        count();
        List<Leg> left = new ArrayList<>();
        List<Leg> lost = new ArrayList<>();
        int holding = 0;
        for (Leg leg : holders) {
            if (random.nextDouble() < share) {
                left.add(leg);
                holding += leg.width;
            } else {
                lost.add(leg);
            }
        }
        while (holding > working) {
            Leg leg = left.remove(random.nextInt(left.size()));
            lost.add(leg);
            holding -= leg.width;
        }
        return lost;
    }

    /** Who holds circuits now. */
    List<Leg> holders() {
        return List.copyOf(holders);
    }

    /** A loss of all but this share is over. */
    void repair(double share) {
        kept.remove(share);
        count();
    }

    private void count() {
        working = (int) Math.round(size * kept.stream().reduce(1.0, (a, b) -> a * b));
    }
}
