package wingspread.lab.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wingspread.lab.host.Softswitches;
import wingspread.lab.host.Softswitches.Input;
import wingspread.lab.host.Softswitches.Output;
import wingspread.lab.sim.VirtualTime;

/**
 * When softswitches take their turns. All that are due at one time take it together; only then is carried out what
 * they did, in the order of their turns. So it makes no difference whether they run here or in another process.
 */
final class Turns {
    private final VirtualTime time;
    private final Softswitches softswitches;
    private final List<Node> nodes;
    private final long tick;
    private final Map<Long, List<Node>> due = new HashMap<>();

    Turns(VirtualTime time, Softswitches softswitches, List<Node> nodes, long tick) {
        this.time = time;
        this.softswitches = softswitches;
        this.nodes = nodes;
        this.tick = tick;
    }

    /** A softswitch wants a turn at this time, or at the first tick after it. */
    void ask(Node node, long wanted) {
        long soonest = Math.max(wanted, time.getAsLong());
        long at = tick == 0 ? soonest : (soonest + tick - 1) / tick * tick;
        if (at < node.turnAt) {
            node.turnAt = at;
            due.computeIfAbsent(at, t -> {
                time.at(t, () -> play(t));
                return new ArrayList<>(2);
            }).add(node);
        }
    }

    private void play(long at) {
        List<Input> inputs = new ArrayList<>();
        for (Node node : due.remove(at)) {
            // One that has asked for an earlier turn since has had it, and asked anew.
            if (node.turnAt == at) {
                node.turnAt = Long.MAX_VALUE;
                inputs.add(new Input(node.place, node.drain()));
            }
        }
        for (Output output : softswitches.turn(at, inputs)) {
            Node node = nodes.get(output.place());
            output.effects().forEach(node::carryOut);
            if (output.nextDue() != Long.MAX_VALUE) {
                ask(node, output.nextDue());
            }
        }
    }
}
