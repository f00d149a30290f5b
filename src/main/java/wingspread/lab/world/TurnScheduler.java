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
 * Schedules the turns of the softswitches. All softswitches that are due at the same time run together; their effects
 * are applied afterwards, in the order of the turns, so that it makes no difference whether the softswitches run in
 * this process or in another.
 */
final class TurnScheduler {
    private final VirtualTime time;
    private final Softswitches softswitches;
    private final List<Node> nodes;
    private final long tickMicros;
    private final Map<Long, List<Node>> nodesByDueTime = new HashMap<>();

    TurnScheduler(VirtualTime time, Softswitches softswitches, List<Node> nodes, long tickMicros) {
        this.time = time;
        this.softswitches = softswitches;
        this.nodes = nodes;
        this.tickMicros = tickMicros;
    }

    /** Requests a turn for a softswitch at this time, or at the first tick after it. */
    void requestTurn(Node node, long requestedAt) {
        long earliest = Math.max(requestedAt, time.getAsLong());
        long at = tickMicros == 0 ? earliest : (earliest + tickMicros - 1) / tickMicros * tickMicros;
        if (at < node.nextTurnAt) {
            node.nextTurnAt = at;
            nodesByDueTime.computeIfAbsent(at, t -> {
                time.scheduleAt(t, () -> runTurns(t));
                return new ArrayList<>(2);
            }).add(node);
        }
    }

    private void runTurns(long at) {
        List<Input> inputs = new ArrayList<>();
        for (Node node : nodesByDueTime.remove(at)) {
            // A node that requested an earlier turn in the meantime has had it already and has requested a new one.
            if (node.nextTurnAt == at) {
                node.nextTurnAt = Long.MAX_VALUE;
                inputs.add(new Input(node.place, node.takePendingEvents()));
            }
        }
        for (Output output : softswitches.turn(at, inputs)) {
            Node node = nodes.get(output.place());
            output.effects().forEach(node::applyEffect);
            if (output.nextDue() != Long.MAX_VALUE) {
                requestTurn(node, output.nextDue());
            }
        }
    }
}
