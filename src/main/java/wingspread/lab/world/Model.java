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
import wingspread.lab.rules.RuleBook;
import wingspread.lab.scenario.Day;
import wingspread.lab.scenario.RecordedTraffic;
import wingspread.lab.sim.Streams;
import wingspread.lab.sim.VirtualTime;

/**
 * One run of the model: a day, the softswitches that meet it, and what came of it. Confined to one thread; the same
 * day, streams and softswitches give the same run to the last bit.
 */
public final class Model {
    /** Where the clock starts; anything but 0, so that a time taken for a duration shows. */
    private static final long START = 1_000_000_000;
    /** After the last caller has waited, for what is still on its way. */
    private static final long RUN_OUT = 2_000_000;
    private static final long SECOND = 1_000_000;
    private static final long LONGEST_HOLDING = 40;

    /** What came of a run; {@code happened} counts the model's events. */
    public record Run(Service service, List<Breach> breaches, long breachCount, long calls, long happened,
            Timeline timeline, @JsonIgnore List<Histogram> delays) { }

    /** How the model's time passes. */
    public interface Pacing {
        /** Lets everything happen up to a time of the model. */
        void runUntil(VirtualTime time, long end);

        /** The run may end once nobody was owed an answer for so long, in microseconds; never early by itself. */
        default long quiet() {
            return Long.MAX_VALUE;
        }
    }

    private final Day day;
    private final Streams streams;
    private final VirtualTime time = new VirtualTime(START);
    private final RuleBook rules;
    private final Tally tally;
    private final Network network;
    private final Traffic traffic;
    private final Consumer<RecordedTraffic.Call> heard;

    /** Sets a run up; {@code controllerSeeds} gives the softswitches their own randomness. */
    public Model(Day day, Streams streams, Streams controllerSeeds, Softswitches softswitches) {
        this(day, streams, controllerSeeds, softswitches, call -> { });
    }

    /** The same; {@code heard} is told of each caller's first try. */
    public Model(Day day, Streams streams, Streams controllerSeeds, Softswitches softswitches,
            Consumer<RecordedTraffic.Call> heard) {
        this(day, streams, controllerSeeds, softswitches, heard, 0);
    }

    /** The same; the rules about times are judged with so much slack, in microseconds, where time is the wall's. */
    public Model(Day day, Streams streams, Streams controllerSeeds, Softswitches softswitches,
            Consumer<RecordedTraffic.Call> heard, long slack) {
        this.day = day;
        this.heard = heard;
        this.streams = streams;
        Obligations obligations = obligations(day);
        this.rules = new RuleBook(new Obligations(obligations.answerGrace() + slack, obligations.drainGrace() + slack,
                obligations.askWithin(), obligations.coldShare(), obligations.cold(), obligations.fallMultiple(),
                obligations.fall()), day.rules().maxAttempts(), Math.max(0, day.rules().release() - slack), START);
        this.tally = new Tally(day);
        this.network = new Network(day, streams, time, rules, tally);
        this.traffic = new Traffic(network, streams);
        traffic.buildGroups();
        network.turnedBy(new Turns(time, softswitches, network.nodes(), day.tick()));
        softswitches.begin(START, network.nodes().stream().map(node -> new Softswitches.Start(
                settings(node, obligations), controllerSeeds.seedOf("softswitch", node.place))).toList());
        Directory directory = new Directory(network, streams);
        network.listedBy(directory);
        directory.begin();
        new Troubles(network, traffic, directory, streams).begin();
    }

    private static Obligations obligations(Day day) {
        Day.Rules r = day.rules();
        return new Obligations(r.answerGrace(), r.drainGrace(), 0, r.coldShare(), r.cold(), r.fallMultiple(), r.fall());
    }

    private Settings settings(Node node, Obligations obligations) {
        List<CallClass> classes = day.classes().stream().map(c -> new CallClass(c.name(), c.aim(), c.deadline(),
                c.worth(), c.lateWorth(), c.width(), c.holding(), Effect.SAFE, RepeatGroup.ALL, 0, List.of())).toList();
        return new Settings(Layout.NETWORK, node.place, node.region, node.place, day.fleet().exchanges(), classes,
                false, Reports.PIGGYBACK, false, false, true, false, false, true, day.callers().mostWait(),
                day.rules().maxAttempts(), day.rules().release(), 0, obligations);
    }

    /** Plays the day and lets every caller have an answer. */
    public Run play() {
        return play(VirtualTime::runUntil);
    }

    /** The same, in a time that passes otherwise. */
    public Run play(Pacing pacing) {
        sampleLoads();
        for (int second = 0; (second + 1L) * SECOND <= day.length(); second++) {
            int which = second;
            time.at(START + (second + 1L) * SECOND, () -> lookRound(which));
        }
        traffic.begin(heard);
        long longest = day.classes().stream().mapToLong(Day.ClassOfCall::deadline).max().orElse(0);
        pacing.runUntil(time, START + day.length());
        long end = START + day.length() + 2 * longest + RUN_OUT;
        for (long quiet = 0; time.getAsLong() < end && quiet < pacing.quiet(); ) {
            pacing.runUntil(time, Math.min(end, time.getAsLong() + SECOND));
            quiet = rules.owed() == 0 ? quiet + SECOND : 0;
        }
        rules.close(time.getAsLong());
        return new Run(tally.service(), rules.breaches(), rules.counted(), traffic.arrivals(), time.happened(),
                tally.timeline(), tally.delays());
    }

    /** Lets every call end after the day, and counts the circuits that are still busy; there should be none. */
    public int busyAfterAll() {
        long longest = day.classes().stream().mapToLong(Day.ClassOfCall::holding).max().orElse(0);
        time.runUntil(time.getAsLong() + LONGEST_HOLDING * longest);
        List<Node> nodes = network.nodes();
        return IntStream.range(0, nodes.size() * nodes.size()).filter(i -> i / nodes.size() < i % nodes.size())
                .map(i -> network.group(nodes.get(i / nodes.size()), nodes.get(i % nodes.size())).busy()).sum();
    }

    private void lookRound(int second) {
        int busy = 0;
        int working = 0;
        int out = 0;
        List<Node> nodes = network.nodes();
        for (int a = 0; a < nodes.size(); a++) {
            for (int b = a + 1; b < nodes.size(); b++) {
                Group group = network.group(nodes.get(a), nodes.get(b));
                busy += group.busy();
                working += group.working();
                out += group.out();
            }
        }
        tally.stands(second, working == 0 ? 0 : busy / (double) working, out);
    }

    private void sampleLoads() {
        UniformRandomProvider phase = streams.stream("report phase");
        for (Node node : network.nodes()) {
            sampleLater(node, START + Math.round(phase.nextDouble() * day.reports().period()));
        }
    }

    private void sampleLater(Node node, long at) {
        if (at < START + day.length()) {
            time.at(at, () -> {
                node.sample(network.work(1));
                sampleLater(node, at + day.reports().period());
            });
        }
    }
}
