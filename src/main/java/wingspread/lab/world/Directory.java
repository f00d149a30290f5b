package wingspread.lab.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Readiness;
import wingspread.lab.host.SoftswitchEvent;
import wingspread.lab.scenario.Day;
import wingspread.lab.sim.Streams;

/**
 * The directory of exchanges. Knows only whether a process runs, and notifies every softswitch with a delay, in the
 * order of the updates.
 */
final class Directory {
    private final Network network;
    private final Streams streams;
    private final Map<Node, Long> startTimes = new HashMap<>();
    private int updates;

    Directory(Network network, Streams streams) {
        this.network = network;
        this.streams = streams;
    }

    /** Sends every softswitch the complete list of exchanges and a report of each of its circuit groups. */
    void publishInitialList() {
        List<Exchange> all = new ArrayList<>();
        for (Node node : network.nodes()) {
            startTimes.put(node, 0L);
            all.add(entry(node, node.address(), Readiness.READY));
        }
        for (Node node : network.nodes()) {
            for (Node other : network.nodes()) {
                network.rules().directoryNotified(node.place, other.address(), false, network.now());
                if (other != node) {
                    node.onGroupChanged(other);
                }
            }
            node.post(new SoftswitchEvent.Listed(ListKind.CACHED, all));
        }
    }

    /** Announces that the process of an exchange has started; {@code startTime} is in microseconds. */
    void processStarted(Node node, long startTime) {
        startTimes.put(node, startTime);
        notifyAll(node, node.address(), Readiness.READY, network.day().news().start());
    }

    /** Announces that an exchange drains: it completes its calls and accepts no new ones. */
    void exchangeDraining(Node node) {
        notifyAll(node, node.address(), Readiness.DRAINING, network.day().news().end());
    }

    /** Announces that the process of an exchange has stopped. */
    void processStopped(Node node) {
        notifyAll(node, node.address(), Readiness.GONE, network.day().news().end());
    }

    private Exchange entry(Node node, long address, Readiness readiness) {
        return new Exchange(address, node.region, 0, node.place, readiness, 1, startTimes.get(node));
    }

    private void notifyAll(Node subject, long address, Readiness readiness, long delay) {
        Exchange entry = entry(subject, address, readiness);
        Day.DirectoryDelays notificationDelays = network.day().news();
        UniformRandomProvider spread = streams.stream("news", updates++);
        for (Node node : network.nodes()) {
            long at = Math.max(node.lastDeliveryAt,
                    network.now() + delay + Math.round(notificationDelays.spread() * spread.nextDouble()));
            node.lastDeliveryAt = at;
            network.time().scheduleAt(at, () -> deliver(node, subject, entry));
        }
    }

    private void deliver(Node node, Node subject, Exchange entry) {
        network.rules().directoryNotified(node.place, entry.address(), entry.readiness() != Readiness.READY,
                network.now());
        if (entry.readiness() == Readiness.READY && entry.upSince() == startTimes.get(subject)) {
            subject.informedNodes.add(node);
        }
        node.post(new SoftswitchEvent.Listed(ListKind.DELTA, List.of(entry)));
    }
}
