package wingspread.lab.world;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import wingspread.control.CallControl.CallClass;
import wingspread.control.CallControl.Effect;
import wingspread.control.CallControl.Layout;
import wingspread.control.CallControl.Obligations;
import wingspread.control.CallControl.RepeatGroup;
import wingspread.control.CallControl.Reports;
import wingspread.control.CallControl.Settings;
import wingspread.lab.host.Softswitches;
import wingspread.lab.measure.Service;
import wingspread.lab.measure.Tally;
import wingspread.lab.measure.Timeline;
import wingspread.lab.rules.Breach;
import wingspread.lab.rules.RuleChecker;
import wingspread.lab.scenario.Day;
import wingspread.lab.scenario.RecordedTraffic;
import wingspread.lab.sim.Streams;
import wingspread.lab.sim.VirtualTime;

/**
 * One simulation run: the draw of a scenario, the softswitches under test, and the results. Confined to one thread; the
 * same day, streams and softswitches give bit-identical results.
 */
public final class Model {
    /** Start of the simulation clock; not 0, so that a time mistaken for a duration is noticed. */
    private static final long START_MICROS = 1_000_000_000;
    /** Additional run time after the deadline of the last caller, for messages still in transit. */
    private static final long IN_FLIGHT_MICROS = 2_000_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Upper bound of the exponential holding times, as a multiple of their mean. */
    private static final long MAX_HOLDING_TIME_FACTOR = 40;

    /**
     * The results of a run.
     *
     * @param breaches the first breaches, in order
     * @param breachCount number of all breaches
     * @param calls number of fresh calls
     * @param processedEvents number of simulation events processed
     * @param delays set-up delays in microseconds, one histogram per call class
     */
    public record Run(Service service, List<Breach> breaches, long breachCount, long calls, long processedEvents,
            Timeline timeline, @JsonIgnore List<Histogram> delays) { }

    /** Advances the simulation clock. */
    public interface Pacing {
        /** Processes all events up to a time of the simulation clock. */
        void runUntil(VirtualTime time, long end);

        /**
         * Returns how long no answer must have been pending, in microseconds, before the run may end early. By default,
         * runs do not end early.
         */
        default long idleMicrosBeforeEnd() {
            return Long.MAX_VALUE;
        }
    }

    private final Day day;
    private final Streams streams;
    private final VirtualTime time = new VirtualTime(START_MICROS);
    private final RuleChecker rules;
    private final Tally tally;
    private final Network network;
    private final Traffic traffic;
    private final Consumer<RecordedTraffic.Call> callListener;

    /** Sets up a run; {@code controllerSeeds} provides the random seeds of the softswitches. */
    public Model(Day day, Streams streams, Streams controllerSeeds, Softswitches softswitches) {
        this(day, streams, controllerSeeds, softswitches, call -> { });
    }

    /** Sets up a run; {@code callListener} is notified of each fresh call. */
    public Model(Day day, Streams streams, Streams controllerSeeds, Softswitches softswitches,
            Consumer<RecordedTraffic.Call> callListener) {
        this(day, streams, controllerSeeds, softswitches, callListener, 0);
    }

    /**
     * Sets up a run with a tolerance for rules that concern times, for runs in real time.
     *
     * @param callListener notified of each fresh call
     * @param slackMicros tolerance of the time limits in microseconds
     */
    public Model(Day day, Streams streams, Streams controllerSeeds, Softswitches softswitches,
            Consumer<RecordedTraffic.Call> callListener, long slackMicros) {
        this.day = day;
        this.callListener = callListener;
        this.streams = streams;
        Obligations obligations = obligations(day);
        this.rules = new RuleChecker(new Obligations(obligations.answerGrace() + slackMicros,
                obligations.drainGrace() + slackMicros, obligations.askWithin(), obligations.coldShare(),
                obligations.cold(), obligations.fallMultiple(), obligations.fall()), day.rules().maxAttempts(),
                Math.max(0, day.rules().release() - slackMicros), START_MICROS);
        this.tally = new Tally(day);
        this.network = new Network(day, streams, time, rules, tally);
        this.traffic = new Traffic(network, streams);
        traffic.buildGroups();
        network.setTurnScheduler(new TurnScheduler(time, softswitches, network.nodes(), day.tick()));
        softswitches.begin(START_MICROS, network.nodes().stream().map(node -> new Softswitches.Start(
                settings(node, obligations), controllerSeeds.seedOf("softswitch", node.place))).toList());
        Directory directory = new Directory(network, streams);
        network.setDirectory(directory);
        directory.publishInitialList();
        new FaultScheduler(network, traffic, directory, streams).scheduleAll();
    }

    private static Obligations obligations(Day day) {
        Day.Rules r = day.rules();
        return new Obligations(r.answerGrace(), r.drainGrace(), 0, r.coldShare(), r.cold(), r.fallMultiple(), r.fall());
    }

    private Settings settings(Node node, Obligations obligations) {
        List<CallClass> classes = day.classes().stream().map(c -> new CallClass(c.name(), c.aim(), c.deadline(),
                c.worth(), c.lateWorth(), c.width(), c.holding(), Effect.SAFE, RepeatGroup.ALL, 0, List.of())).toList();
        return new Settings(Layout.NETWORK, node.place, node.region, node.place, day.fleet().exchanges(), classes,
                false, Reports.PIGGYBACK, false, false, true, false, false, true, day.callers().maxAdvisedWait(),
                day.rules().maxAttempts(), day.rules().release(), 0, obligations);
    }

    /** Runs the simulation until every caller has had time for an answer. */
    public Run run() {
        return run(VirtualTime::runUntil);
    }

    /** Runs the simulation with a different pacing of its clock. */
    public Run run(Pacing pacing) {
        sampleLoads();
        for (int second = 0; (second + 1L) * MICROS_PER_SECOND <= day.length(); second++) {
            int secondIndex = second;
            time.scheduleAt(START_MICROS + (second + 1L) * MICROS_PER_SECOND, () -> sampleSecond(secondIndex));
        }
        traffic.start(callListener);
        long maxDuration = day.classes().stream().mapToLong(Day.ClassOfCall::deadline).max().orElse(0);
        pacing.runUntil(time, START_MICROS + day.length());
        long end = START_MICROS + day.length() + 2 * maxDuration + IN_FLIGHT_MICROS;
        for (long idleMicros = 0; time.getAsLong() < end && idleMicros < pacing.idleMicrosBeforeEnd(); ) {
            pacing.runUntil(time, Math.min(end, time.getAsLong() + MICROS_PER_SECOND));
            idleMicros = rules.pendingAnswers() == 0 ? idleMicros + MICROS_PER_SECOND : 0;
        }
        rules.close(time.getAsLong());
        return new Run(tally.service(), rules.breaches(), rules.breachCount(), traffic.arrivals(), time.eventCount(),
                tally.timeline(), tally.delays());
    }

    /** Runs until every call has ended and returns the number of circuits still busy, which should be 0. */
    public int countBusyCircuitsAfterLastCall() {
        long maxDuration = day.classes().stream().mapToLong(Day.ClassOfCall::holding).max().orElse(0);
        time.runUntil(time.getAsLong() + MAX_HOLDING_TIME_FACTOR * maxDuration);
        List<Node> nodes = network.nodes();
        return IntStream.range(0, nodes.size() * nodes.size()).filter(i -> i / nodes.size() < i % nodes.size())
                .map(i -> network.group(nodes.get(i / nodes.size()), nodes.get(i % nodes.size())).busy()).sum();
    }

    private void sampleSecond(int second) {
        int busy = 0;
        int working = 0;
        int pendingAttempts = 0;
        List<Node> nodes = network.nodes();
        for (int a = 0; a < nodes.size(); a++) {
            for (int b = a + 1; b < nodes.size(); b++) {
                CircuitGroup group = network.group(nodes.get(a), nodes.get(b));
                busy += group.busy();
                working += group.working();
                pendingAttempts += group.pendingAttempts();
            }
        }
        tally.recordSecond(second, working == 0 ? 0 : busy / (double) working, pendingAttempts);
    }

    private void sampleLoads() {
        UniformRandomProvider phase = streams.stream("report phase");
        for (Node node : network.nodes()) {
            scheduleSample(node, START_MICROS + Math.round(phase.nextDouble() * day.reports().period()));
        }
    }

    private void scheduleSample(Node node, long at) {
        if (at < START_MICROS + day.length()) {
            time.scheduleAt(at, () -> {
                node.sample(network.work(1));
                scheduleSample(node, at + day.reports().period());
            });
        }
    }
}
