package wingspread.lab.world;

import java.util.ArrayList;
import java.util.List;
import java.util.HexFormat;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import wingspread.lab.scenario.Trouble;
import wingspread.lab.sim.Streams;

/** Lets the troubles of a day happen, each at its time. Whom they strike is drawn from a stream for each trouble. */
final class Troubles {
    /** A surge rises and falls in so many steps. */
    private static final int STEPS = 10;

    private final Network network;
    private final Traffic traffic;
    private final Directory directory;
    private final Streams streams;
    /** Several surges or slow times at once multiply. */
    private final List<Double> surges = new ArrayList<>();
    private long nextAddress;

    Troubles(Network network, Traffic traffic, Directory directory, Streams streams) {
        this.network = network;
        this.traffic = traffic;
        this.directory = directory;
        this.streams = streams;
        this.nextAddress = network.nodes().size() + 1L;
    }

    /** Sets everything up. */
    void begin() {
        int number = 0;
        for (Trouble trouble : network.day().troubles()) {
            begin(trouble, streams.stream("trouble", number++));
        }
    }

    private void begin(Trouble trouble, UniformRandomProvider random) {
        if (trouble instanceof Trouble.Surge t) {
            surge(t);
        } else if (trouble instanceof Trouble.HotCaller t) {
            Traffic.Crowd crowd = new Traffic.Crowd(
                    some(random, t.exchanges()).stream().mapToInt(node -> node.place).toArray(), t.share());
            between(t, () -> traffic.crowds().add(crowd), () -> traffic.crowds().remove(crowd));
        } else if (trouble instanceof Trouble.HotNumber t) {
            String number = HexFormat.of().toHexDigits(random.nextLong());
            Traffic.HotNumber hot = new Traffic.HotNumber(random.nextInt(network.nodes().size()), number, t.share());
            network.hotLines().add(number, t.lines());
            between(t, () -> traffic.hotNumbers().add(hot), () -> traffic.hotNumbers().remove(hot));
        } else if (trouble instanceof Trouble.CircuitLoss t) {
            between(t, () -> eachGroupOf(t.region(),
                    group -> group.lose(t.keep(), random).forEach(network::cut)),
                    () -> eachGroupOf(t.region(), group -> group.repair(t.keep())));
        } else if (trouble instanceof Trouble.SlowProcessors t) {
            List<Node> slow = some(random, (int) Math.round(t.share() * network.nodes().size()));
            between(t, () -> slow.forEach(node -> node.processor.slow(node.processor.slowness() * t.factor())),
                    () -> slow.forEach(node -> node.processor.slow(node.processor.slowness() / t.factor())));
        } else if (trouble instanceof Trouble.LateReports t) {
            between(t, () -> network.lateReports(t.delay()), () -> network.lateReports(-t.delay()));
        } else if (trouble instanceof Trouble.Crash t) {
            List<Node> struck = some(random, t.exchanges());
            between(t, () -> struck.forEach(this::end),
                    () -> struck.forEach(node -> network.startCold(node, node.address())));
        } else if (trouble instanceof Trouble.Silence t) {
            List<Node> struck = some(random, t.exchanges());
            between(t, () -> struck.forEach(node -> node.processor.hang(true)),
                    () -> struck.forEach(node -> node.processor.hang(false)));
        } else if (trouble instanceof Trouble.Replace t) {
            List<Node> struck = some(random, t.exchanges());
            inTurn(t, struck, node -> {
                end(node);
                network.startCold(node, nextAddress++);
            });
        } else if (trouble instanceof Trouble.Drain t) {
            List<Node> struck = some(random, t.exchanges());
            between(t, () -> struck.forEach(directory::draining), () -> struck.forEach(node -> {
                end(node);
                network.startCold(node, nextAddress++);
            }));
        }
    }

    private void end(Node node) {
        network.stop(node);
        directory.gone(node);
    }

    private void between(Trouble trouble, Runnable begins, Runnable ends) {
        network.time().at(network.start() + trouble.at(), begins);
        network.time().at(network.start() + trouble.until(), ends);
    }

    private void inTurn(Trouble trouble, List<Node> struck, Consumer<Node> strike) {
        long gap = struck.size() < 2 ? 0 : (trouble.until() - trouble.at()) / (struck.size() - 1);
        long at = network.start() + trouble.at();
        for (Node node : struck) {
            network.time().at(at, () -> strike.accept(node));
            at += gap;
        }
    }

    /** So many different exchanges, drawn. */
    private List<Node> some(UniformRandomProvider random, int howMany) {
        List<Node> left = new ArrayList<>(network.nodes());
        List<Node> out = new ArrayList<>();
        while (out.size() < howMany && !left.isEmpty()) {
            out.add(left.remove(random.nextInt(left.size())));
        }
        return out;
    }

    private void surge(Trouble.Surge t) {
        int which = surges.size();
        surges.add(1.0);
        for (int step = 1; step <= STEPS; step++) {
            double factor = 1 + (t.factor() - 1) * step / STEPS;
            long after = t.rise() * step / STEPS;
            network.time().at(network.start() + t.at() + after, () -> setSurge(which, factor));
            double back = 1 + (t.factor() - 1) * (STEPS - step) / STEPS;
            network.time().at(network.start() + t.until() - t.rise() + after, () -> setSurge(which, back));
        }
    }

    private void setSurge(int which, double factor) {
        surges.set(which, factor);
        traffic.surge(surges.stream().reduce(1.0, (a, b) -> a * b));
    }

    /** The groups between a region and the others, or all; both ends are told of what changes. */
    private void eachGroupOf(int region, Consumer<Group> what) {
        for (Node a : network.nodes()) {
            for (Node b : network.nodes()) {
                if (region == Trouble.CircuitLoss.EVERYWHERE ? a.place < b.place
                        : a.region == region && b.region != region) {
                    what.accept(network.group(a, b));
                    a.groupChanged(b);
                    b.groupChanged(a);
                }
            }
        }
    }
}
