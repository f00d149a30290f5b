package wingspread.lab.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Status;
import wingspread.core.Planner;
import wingspread.core.Request;
import wingspread.lab.host.Effect;
import wingspread.lab.host.Happening;
import wingspread.lab.measure.Tally;
import wingspread.lab.rules.RuleBook;
import wingspread.lab.scenario.Day;
import wingspread.lab.sim.Streams;
import wingspread.lab.sim.VirtualTime;

/**
 * The exchanges, the circuits between them, and what becomes of a set-up on its way: work at each processor, delay
 * between them, the answer back by the same way, the release from the far end. Decides nothing of routes.
 */
final class Network {
    /** Set-ups by which chance may overshoot the budget of a cold processor. */
    private static final double PUSH_SLACK = 3;
    private static final byte[] DESCRIPTION = new byte[0];

    private final Day day;
    private final VirtualTime time;
    private final long start;
    private final RuleBook rules;
    private final Tally tally;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Long, Node> byAddress = new HashMap<>();
    private final Group[] groups;
    private final double setUpWork;
    private final UniformRandomProvider jitter;
    private final UniformRandomProvider faults;
    private final HotLines hotLines = new HotLines();
    private Turns turns;
    private Directory directory;
    private long reportsLater;
    private long calls;

    Network(Day day, Streams streams, VirtualTime time, RuleBook rules, Tally tally) {
        this.day = day;
        this.time = time;
        this.start = time.getAsLong();
        this.rules = rules;
        this.tally = tally;
        this.jitter = streams.stream("jitter");
        this.faults = streams.stream("faults");
        this.setUpWork = setUpWork(day);
        int n = day.fleet().exchanges();
        this.groups = new Group[n * n];
        for (int place = 0; place < n; place++) {
            Processor processor = new Processor(time, day.work().answersFirst(), tally::worked);
            Node node = new Node(this, place, place % day.fleet().regions().size(), place + 1L, processor,
                    streams.stream("report noise", place));
            nodes.add(node);
            name(node, node.address());
        }
    }

    /** Microseconds of one set-up, such that processors are as busy at load 1 as the day says. */
    private static double setUpWork(Day day) {
        Day.Work work = day.work();
        double callsPerMicro = day.fleet().erlangs() / Traffic.circuitTime(day.classes());
        double setUpsPerCall = work.look() + 2 + 4 * work.follow();
        return work.use() / (callsPerMicro * setUpsPerCall);
    }

    void join(int a, int b, Group group) {
        groups[a * nodes.size() + b] = group;
        groups[b * nodes.size() + a] = group;
    }

    void turnedBy(Turns when) {
        turns = when;
    }

    void listedBy(Directory names) {
        directory = names;
    }

    private void name(Node node, long address) {
        byAddress.put(address, node);
    }

    Day day() {
        return day;
    }

    VirtualTime time() {
        return time;
    }

    long now() {
        return time.getAsLong();
    }

    long start() {
        return start;
    }

    RuleBook rules() {
        return rules;
    }

    Tally tally() {
        return tally;
    }

    List<Node> nodes() {
        return nodes;
    }

    HotLines hotLines() {
        return hotLines;
    }

    /** The circuits between two exchanges; null for none. */
    Group group(Node a, Node b) {
        return groups[a.place * nodes.size() + b.place];
    }

    /** Microseconds of so many set-ups on a warm processor. */
    double work(double setUps) {
        return setUps * setUpWork;
    }

    long nextCallId() {
        return ++calls;
    }

    long groupReportDelay() {
        return day.net().groupReport();
    }

    /** When softswitches take their turns. */
    Turns turns() {
        return turns;
    }

    /** Reports are later by so much more, or less again. */
    void lateReports(long more) {
        reportsLater += more;
    }

    private long delay(Leg leg) {
        long base = leg.from.region == leg.to.region ? day.net().withinRegion() : day.net().betweenRegions();
        return Math.round(base * (1 + day.net().jitter() * jitter.nextDouble()));
    }

    // A set-up on its way.

    void send(Node from, Offer offer, Effect.Invite attempt) {
        Node to = byAddress.get(attempt.exchange());
        // What the model cannot carry is a broken rule of its own: no such call is open, or no such exchange exists.
        if (offer == null || to == null) {
            rules.sentAstray(attempt.call(), from.place, now());
            return;
        }
        rules.sent(offer.taken, attempt.exchange(), to.place, now());
        Leg leg = new Leg(offer, attempt, from, to, group(from, to));
        offer.leg = leg;
        offer.lastWasFull = false;
        if (from.processor.down()) {
            refused(leg, Status.MOOT, Cause.PROCESSOR_FULL);
        } else if (leg.group == null || !leg.group.seize(leg)) {
            refused(leg, Status.MOOT, Cause.NO_CIRCUIT);
        } else {
            changed(leg);
            pushed(from, 1, from);
            from.processor.setUp(setUpWork, () -> {
                leg.spent += setUpWork;
                if (!leg.over) {
                    time.in(delay(leg), () -> arrived(leg));
                }
            });
        }
    }

    private void arrived(Leg leg) {
        Node to = leg.to;
        if (to.address() != leg.attempt.exchange() || to.processor.down()) {
            time.in(delay(leg), () -> unreachable(leg));
        } else if (leg.over && day.work().cancelDrops()) {
            return;
        } else if (!to.processor.hung() && to.processor.waitTime() > day.work().refuseAfter()) {
            pushed(to, day.work().refuse(), leg.from);
            to.processor.answer(work(day.work().refuse()), () -> {
                tally.wasted(work(day.work().refuse()));
                refuseBack(leg, Status.FULL, Cause.PROCESSOR_FULL);
            });
        } else {
            pushed(to, 1, leg.from);
            to.processor.setUp(setUpWork, () -> setUp(leg));
        }
    }

    private void setUp(Leg leg) {
        if (leg.over) {
            tally.wasted(setUpWork);
            return;
        }
        leg.spent += setUpWork;
        Request request = leg.request();
        if (day.work().faults() > 0 && faults.nextDouble() < day.work().faults()) {
            refuseBack(leg, Status.ERROR, Cause.NONE);
        } else if (leg.to.place != request.destination()) {
            Request onward = new Request(request.id(), request.className(), request.callClass(), request.number(),
                    DESCRIPTION, leg.attempt.deadline(), request.destination(), request.width(), leg.from.place,
                    request.redial(), true, request.cut());
            leg.onward = new Transit(leg, onward,
                    rules.taken(onward.id(), leg.to.place, onward.deadline(), onward.destination()));
            pushed(leg.to, day.work().look(), leg.from);
            leg.to.processor.setUp(work(day.work().look()), () -> { });
            leg.to.take(leg.onward);
        } else if (hotLines.takes(leg)) {
            answerBack(leg);
        } else {
            refuseBack(leg, Status.ERROR, Cause.LINES_BUSY);
        }
    }

    // Answers, which go back by the way the set-up came.

    /** The call stands beyond this leg; its sender hears so. */
    void answerBack(Leg leg) {
        double follow = work(day.work().follow());
        leg.to.processor.answer(follow, () -> time.in(delay(leg), () -> leg.from.processor.answer(follow, () -> {
            if (!leg.over) {
                leg.standing = true;
                leg.from.post(new Happening.Answered(leg.attempt.exchange(), leg.call()));
            }
        })));
    }

    /** The set-up comes to nothing beyond this leg; its sender hears so. */
    void refuseBack(Leg leg, Status status, Cause cause) {
        time.in(delay(leg), () -> refused(leg, status, cause));
    }

    private void refused(Leg leg, Status status, Cause cause) {
        if (!leg.over) {
            rules.ended(leg.offer.taken, status, now());
            leg.offer.lastWasFull = cause == Cause.PROCESSOR_FULL;
            end(leg);
            leg.from.post(new Happening.Rejected(leg.attempt.exchange(), leg.call(), status, cause,
                    leg.from.reportOf(leg.to, day.reports().delay() + reportsLater)));
        }
    }

    private void unreachable(Leg leg) {
        if (!leg.over) {
            rules.ended(leg.offer.taken, Status.CONNECT_FAILED, now());
            end(leg);
            leg.from.post(new Happening.AttemptAborted(leg.call(), leg.attempt.attempt(), Status.CONNECT_FAILED));
        }
    }

    /** The sending side gives the attempt up; what it held stays taken for the time of the rule. */
    void withdraw(Leg leg, Status status) {
        if (leg.over) {
            return;
        }
        rules.ended(leg.offer.taken, status, now());
        leg.over = true;
        tally.wasted(leg.spent);
        hotLines.leaves(leg);
        time.in(day.rules().release(), () -> {
            if (leg.placeInGroup >= 0) {
                leg.group.release(leg);
                changed(leg);
            }
        });
        leg.from.forgetIfDone(leg.offer);
        onward(leg, () -> leg.to.post(new Happening.CallerAbandoned(leg.call())));
    }

    // Ends of calls that stand.

    /** The caller's time on the line is over: the far end releases. */
    void hangUp(Leg first) {
        Leg last = first.onward != null && first.onward.leg != null ? first.onward.leg : first;
        last.to.processor.answer(work(day.work().follow()), () -> releaseBack(last, Planner.CAUSE_NORMAL_CLEARING));
    }

    /** The far side of a leg has released; its sender hears so. */
    void releaseBack(Leg leg, int cause) {
        time.in(delay(leg), () -> leg.from.processor.answer(work(day.work().follow()), () -> released(leg, cause)));
    }

    private void released(Leg leg, int cause) {
        if (!leg.over) {
            end(leg);
            leg.from.post(new Happening.Released(leg.attempt.exchange(), leg.call(), cause,
                    leg.from.reportOf(leg.to, day.reports().delay() + reportsLater)));
        }
    }

    /** The sending side releases. */
    void releaseOnward(Leg leg, int cause) {
        if (!leg.over) {
            end(leg);
            leg.to.processor.answer(work(day.work().follow()), () -> { });
            onward(leg, () -> leg.to.post(new Happening.CallerReleased(leg.call(), cause)));
        }
    }

    /** The circuits of a leg are lost, or the process at one of its ends: the call on it is cut. */
    void cut(Leg leg) {
        if (leg.over) {
            leg.group.release(leg);
            changed(leg);
        } else if (leg.standing) {
            released(leg, Planner.CAUSE_TEMPORARY_FAILURE);
            onward(leg, () -> leg.to.post(new Happening.CallerReleased(leg.call(), Planner.CAUSE_TEMPORARY_FAILURE)));
        } else {
            refused(leg, Status.RESET, Cause.NONE);
            onward(leg, () -> leg.to.post(new Happening.CallerAbandoned(leg.call())));
        }
    }

    /** Tells a tandem that the call in transit goes on no longer. */
    private void onward(Leg leg, Runnable news) {
        Transit transit = leg.onward;
        if (transit != null) {
            time.in(delay(leg), () -> {
                if (!transit.closed) {
                    transit.closed = true;
                    rules.givenUp(transit.taken);
                    news.run();
                    leg.to.forgetIfDone(transit);
                }
            });
        }
    }

    private void end(Leg leg) {
        leg.over = true;
        if (!leg.standing) {
            tally.wasted(leg.spent);
        }
        hotLines.leaves(leg);
        if (leg.placeInGroup >= 0) {
            leg.group.release(leg);
            changed(leg);
        }
        leg.from.forgetIfDone(leg.offer);
    }

    private void changed(Leg leg) {
        leg.from.groupChanged(leg.to);
        leg.to.groupChanged(leg.from);
    }

    // Processes that start and end.

    /** Work reaches a processor; a cold one that gets too much of it falls over and stays down. */
    void pushed(Node to, double setUps, Node sender) {
        if (to.processor.down() || !to.processor.cold()) {
            return;
        }
        Day.Rules figures = day.rules();
        to.pushed.add(now(), figures.fall(), work(setUps), sender == to || to.informed.contains(sender));
        double most = figures.fallMultiple() * to.processor.capacity() / to.processor.slowness() * figures.fall();
        if (to.pushed.sum() > most + PUSH_SLACK * setUpWork) {
            if (to.pushed.mostlyInformed()) {
                rules.pushedOver(to.place, now());
            }
            stop(to);
            directory.gone(to);
        }
    }

    /** The process of an exchange dies; all calls that touch it are cut. */
    void stop(Node node) {
        node.processor.die();
        node.pushed.clear();
        for (Node other : nodes) {
            Group group = group(node, other);
            if (group != null) {
                group.holders().forEach(this::cut);
            }
        }
    }

    /** A process starts, cold, at this address. */
    void startCold(Node node, long address) {
        if (address != node.address()) {
            node.replacedBy(address);
            name(node, address);
        }
        node.pushed.clear();
        node.informed.clear();
        node.processor.start(day.cold().from(), day.cold().time());
        directory.ready(node, now());
    }
}
