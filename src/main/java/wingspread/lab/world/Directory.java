package wingspread.lab.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Readiness;
import wingspread.lab.host.Happening;
import wingspread.lab.scenario.Day;
import wingspread.lab.sim.Streams;

/** The directory: it knows only whether a process runs, and tells every softswitch late, in the order of events. */
final class Directory {
    private final Network network;
    private final Streams streams;
    private final Map<Node, Long> started = new HashMap<>();
    private int events;

    Directory(Network network, Streams streams) {
        this.network = network;
        this.streams = streams;
    }

    /** Gives every softswitch the whole list and the circuits of its groups. */
    void begin() {
        List<Exchange> all = new ArrayList<>();
        for (Node node : network.nodes()) {
            started.put(node, 0L);
            all.add(entry(node, node.address(), Readiness.READY));
        }
        for (Node node : network.nodes()) {
            for (Node other : network.nodes()) {
                network.rules().told(node.place, other.address(), false, network.now());
                if (other != node) {
                    node.groupChanged(other);
                }
            }
            node.post(new Happening.Listed(ListKind.CACHED, all));
        }
    }

    /** A process has started. */
    void ready(Node node, long since) {
        started.put(node, since);
        tell(node, node.address(), Readiness.READY, network.day().news().start());
    }

    /** An exchange finishes its calls and wants no new ones. */
    void draining(Node node) {
        tell(node, node.address(), Readiness.DRAINING, network.day().news().end());
    }

    /** A process has ended. */
    void gone(Node node) {
        tell(node, node.address(), Readiness.GONE, network.day().news().end());
    }

    private Exchange entry(Node node, long address, Readiness readiness) {
        return new Exchange(address, node.region, 0, node.place, readiness, 1, started.get(node));
    }

    private void tell(Node about, long address, Readiness readiness, long late) {
        Exchange entry = entry(about, address, readiness);
        Day.News news = network.day().news();
        UniformRandomProvider spread = streams.stream("news", events++);
        for (Node node : network.nodes()) {
            long at = Math.max(node.toldUntil, network.now() + late + Math.round(news.spread() * spread.nextDouble()));
            node.toldUntil = at;
            network.time().at(at, () -> hear(node, about, entry));
        }
    }

    private void hear(Node node, Node about, Exchange entry) {
        network.rules().told(node.place, entry.address(), entry.readiness() != Readiness.READY, network.now());
        if (entry.readiness() == Readiness.READY && entry.upSince() == started.get(about)) {
            about.informed.add(node);
        }
        node.post(new Happening.Listed(ListKind.DELTA, List.of(entry)));
    }
}
