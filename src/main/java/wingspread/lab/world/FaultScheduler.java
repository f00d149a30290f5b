package wingspread.lab.world;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import wingspread.lab.scenario.ScenarioFault;
import wingspread.lab.sim.Streams;

/**
 * Schedules the faults of a scenario, each at its time. The exchanges that a fault affects are drawn from a random
 * stream of its own.
 */
final class FaultScheduler {
    /** Number of steps in which a surge rises and falls. */
    private static final int SURGE_STEPS = 10;

    private final Network network;
    private final Traffic traffic;
    private final Directory directory;
    private final Streams streams;
    /** The current factor of each surge. Overlapping surges multiply, as do overlapping slowdowns. */
    private final List<Double> surgeFactors = new ArrayList<>();
    private long nextAddress;

    FaultScheduler(Network network, Traffic traffic, Directory directory, Streams streams) {
        this.network = network;
        this.traffic = traffic;
        this.directory = directory;
        this.streams = streams;
        this.nextAddress = network.nodes().size() + 1L;
    }

    /** Schedules all faults of the scenario. */
    void scheduleAll() {
        int index = 0;
        for (ScenarioFault trouble : network.day().troubles()) {
            schedule(trouble, streams.stream("trouble", index++));
        }
    }

    private void schedule(ScenarioFault trouble, UniformRandomProvider random) {
        if (trouble instanceof ScenarioFault.Surge t) {
            scheduleSurge(t);
        } else if (trouble instanceof ScenarioFault.HotCaller t) {
            Traffic.HotCallers hotCallers = new Traffic.HotCallers(
                    drawNodes(random, t.exchanges()).stream().mapToInt(node -> node.place).toArray(), t.share());
            scheduleBetween(t, () -> traffic.hotCallers().add(hotCallers),
                    () -> traffic.hotCallers().remove(hotCallers));
        } else if (trouble instanceof ScenarioFault.HotNumber t) {
            String number = HexFormat.of().toHexDigits(random.nextLong());
            Traffic.HotNumber hot = new Traffic.HotNumber(random.nextInt(network.nodes().size()), number, t.share());
            network.hotNumberLines().add(number, t.lines());
            scheduleBetween(t, () -> traffic.hotNumbers().add(hot), () -> traffic.hotNumbers().remove(hot));
        } else if (trouble instanceof ScenarioFault.CircuitLoss t) {
            scheduleBetween(t, () -> forEachGroup(t.region(),
                    group -> group.loseCircuits(t.keep(), random).forEach(network::cut)),
                    () -> forEachGroup(t.region(), group -> group.repair(t.keep())));
        } else if (trouble instanceof ScenarioFault.SlowProcessors t) {
            List<Node> affected = drawNodes(random, (int) Math.round(t.share() * network.nodes().size()));
            scheduleBetween(t,
                    () -> affected.forEach(node -> node.processor.setSlowness(node.processor.slowness() * t.factor())),
                    () -> affected.forEach(node -> node.processor.setSlowness(node.processor.slowness() / t.factor())));
        } else if (trouble instanceof ScenarioFault.LateReports t) {
            scheduleBetween(t, () -> network.addReportDelay(t.delay()), () -> network.addReportDelay(-t.delay()));
        } else if (trouble instanceof ScenarioFault.Crash t) {
            List<Node> affected = drawNodes(random, t.exchanges());
            scheduleBetween(t, () -> affected.forEach(this::stopProcess),
                    () -> affected.forEach(node -> network.startCold(node, node.address())));
        } else if (trouble instanceof ScenarioFault.Silence t) {
            List<Node> affected = drawNodes(random, t.exchanges());
            scheduleBetween(t, () -> affected.forEach(node -> node.processor.setHung(true)),
                    () -> affected.forEach(node -> node.processor.setHung(false)));
        } else if (trouble instanceof ScenarioFault.Replace t) {
            List<Node> affected = drawNodes(random, t.exchanges());
            scheduleOneByOne(t, affected, node -> {
                stopProcess(node);
                network.startCold(node, nextAddress++);
            });
        } else if (trouble instanceof ScenarioFault.Drain t) {
            List<Node> affected = drawNodes(random, t.exchanges());
            scheduleBetween(t, () -> affected.forEach(directory::exchangeDraining), () -> affected.forEach(node -> {
                stopProcess(node);
                network.startCold(node, nextAddress++);
            }));
        }
    }

    private void stopProcess(Node node) {
        network.stop(node);
        directory.processStopped(node);
    }

    /** Schedules the start and the end of a fault. */
    private void scheduleBetween(ScenarioFault trouble, Runnable onStart, Runnable onEnd) {
        network.time().scheduleAt(network.start() + trouble.at(), onStart);
        network.time().scheduleAt(network.start() + trouble.until(), onEnd);
    }

    /** Schedules an action on one exchange after the other, spread evenly over the duration of the fault. */
    private void scheduleOneByOne(ScenarioFault trouble, List<Node> affected, Consumer<Node> action) {
        long interval = affected.size() < 2 ? 0 : (trouble.until() - trouble.at()) / (affected.size() - 1);
        long at = network.start() + trouble.at();
        for (Node node : affected) {
            network.time().scheduleAt(at, () -> action.accept(node));
            at += interval;
        }
    }

    /** Draws this number of distinct exchanges, or all if there are fewer. */
    private List<Node> drawNodes(UniformRandomProvider random, int count) {
        List<Node> candidates = new ArrayList<>(network.nodes());
        List<Node> out = new ArrayList<>();
        while (out.size() < count && !candidates.isEmpty()) {
            out.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return out;
    }

    private void scheduleSurge(ScenarioFault.Surge t) {
        int index = surgeFactors.size();
        surgeFactors.add(1.0);
        for (int step = 1; step <= SURGE_STEPS; step++) {
            double rising = 1 + (t.factor() - 1) * step / SURGE_STEPS;
            long offset = t.rise() * step / SURGE_STEPS;
            network.time().scheduleAt(network.start() + t.at() + offset, () -> updateSurge(index, rising));
            double falling = 1 + (t.factor() - 1) * (SURGE_STEPS - step) / SURGE_STEPS;
            network.time().scheduleAt(network.start() + t.until() - t.rise() + offset,
                    () -> updateSurge(index, falling));
        }
    }

    private void updateSurge(int index, double factor) {
        surgeFactors.set(index, factor);
        traffic.setSurgeFactor(surgeFactors.stream().reduce(1.0, (a, b) -> a * b));
    }

    /** Applies an action to the groups between a region and the others, or to all groups, and notifies both ends. */
    private void forEachGroup(int region, Consumer<CircuitGroup> action) {
        for (Node a : network.nodes()) {
            for (Node b : network.nodes()) {
                if (region == ScenarioFault.CircuitLoss.EVERYWHERE ? a.place < b.place
                        : a.region == region && b.region != region) {
                    action.accept(network.group(a, b));
                    a.onGroupChanged(b);
                    b.onGroupChanged(a);
                }
            }
        }
    }
}
