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
import wingspread.lab.host.SoftswitchEvent;
import wingspread.lab.measure.Tally;
import wingspread.lab.rules.RuleChecker;
import wingspread.lab.scenario.Day;
import wingspread.lab.sim.Streams;
import wingspread.lab.sim.VirtualTime;

/**
 * The simulated network: the exchanges, the circuit groups between them, and the transport of set-ups,
 * answers and releases. It models the work at each processor and the transmission delay between exchanges; answers
 * return along the path of the set-up. Routing decisions are made by the softswitches alone.
 */
final class Network {
    /** Tolerance in set-ups by which random variation may exceed the work limit of a cold processor. */
    private static final double COLD_OVERLOAD_SLACK_SET_UPS = 3;
    private static final byte[] DESCRIPTION = new byte[0];

    private final Day day;
    private final VirtualTime time;
    private final long start;
    private final RuleChecker rules;
    private final Tally tally;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Long, Node> nodesByAddress = new HashMap<>();
    private final CircuitGroup[] groups;
    private final double setUpWork;
    private final UniformRandomProvider jitter;
    private final UniformRandomProvider signallingFaults;
    private final HotNumberLines hotNumberLines = new HotNumberLines();
    private TurnScheduler turns;
    private Directory directory;
    private long extraReportDelay;
    private long lastCallId;

    Network(Day day, Streams streams, VirtualTime time, RuleChecker rules, Tally tally) {
        this.day = day;
        this.time = time;
        this.start = time.getAsLong();
        this.rules = rules;
        this.tally = tally;
        this.jitter = streams.stream("jitter");
        this.signallingFaults = streams.stream("faults");
        this.setUpWork = setUpWork(day);
        int exchanges = day.fleet().exchanges();
        this.groups = new CircuitGroup[exchanges * exchanges];
        for (int place = 0; place < exchanges; place++) {
            Processor processor = new Processor(time, day.work().answersFirst(), tally::addWork);
            Node node = new Node(this, place, place % day.fleet().regions().size(), place + 1L, processor,
                    streams.stream("report noise", place));
            nodes.add(node);
            register(node, node.address());
        }
    }

    /** Returns the work of one set-up in microseconds that yields the configured processor utilisation at load 1. */
    private static double setUpWork(Day day) {
        Day.Work work = day.work();
        double callsPerMicro = day.fleet().erlangs() / Traffic.circuitTime(day.classes());
        double setUpsPerCall = work.look() + 2 + 4 * work.follow();
        return work.use() / (callsPerMicro * setUpsPerCall);
    }

    void connect(int a, int b, CircuitGroup group) {
        groups[a * nodes.size() + b] = group;
        groups[b * nodes.size() + a] = group;
    }

    void setTurnScheduler(TurnScheduler scheduler) {
        turns = scheduler;
    }

    void setDirectory(Directory newDirectory) {
        directory = newDirectory;
    }

    private void register(Node node, long address) {
        nodesByAddress.put(address, node);
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

    RuleChecker rules() {
        return rules;
    }

    Tally tally() {
        return tally;
    }

    List<Node> nodes() {
        return nodes;
    }

    HotNumberLines hotNumberLines() {
        return hotNumberLines;
    }

    /** Returns the circuit group between two exchanges, or null if there is none. */
    CircuitGroup group(Node a, Node b) {
        return groups[a.place * nodes.size() + b.place];
    }

    /** Returns the work of this number of set-ups, in microseconds of a warm processor. */
    double work(double setUps) {
        return setUps * setUpWork;
    }

    long nextCallId() {
        return ++lastCallId;
    }

    long groupReportDelay() {
        return day.net().groupReport();
    }

    TurnScheduler turns() {
        return turns;
    }

    /** Increases the delay of load reports by this many microseconds; a negative value reduces it again. */
    void addReportDelay(long micros) {
        extraReportDelay += micros;
    }

    private long delay(Leg leg) {
        long base = leg.from.region == leg.to.region ? day.net().withinRegion() : day.net().betweenRegions();
        return Math.round(base * (1 + day.net().jitter() * jitter.nextDouble()));
    }

    // Set-ups, towards the destination.

    void send(Node from, OfferedCall offer, Effect.Invite attempt) {
        Node to = nodesByAddress.get(attempt.exchange());
        // A set-up for a call that is not open or to an unknown exchange cannot be modelled and breaches a rule itself.
        if (offer == null || to == null) {
            rules.setUpMisrouted(attempt.call(), from.place, now());
            return;
        }
        rules.setUpSent(offer.trackedCall, attempt.exchange(), to.place, now());
        Leg leg = new Leg(offer, attempt, from, to, group(from, to));
        offer.leg = leg;
        offer.lastRejectedByFullProcessor = false;
        if (from.processor.down()) {
            onRejected(leg, Status.MOOT, Cause.PROCESSOR_FULL);
        } else if (leg.group == null || !leg.group.seize(leg)) {
            onRejected(leg, Status.MOOT, Cause.NO_CIRCUIT);
        } else {
            notifyGroupChanged(leg);
            recordOfferedWork(from, 1, from);
            from.processor.submitSetUp(setUpWork, () -> {
                leg.workSpent += setUpWork;
                if (!leg.ended) {
                    time.scheduleIn(delay(leg), () -> onSetUpArrived(leg));
                }
            });
        }
    }

    private void onSetUpArrived(Leg leg) {
        Node to = leg.to;
        if (to.address() != leg.attempt.exchange() || to.processor.down()) {
            time.scheduleIn(delay(leg), () -> onUnreachable(leg));
        } else if (leg.ended && day.work().cancelDrops()) {
            return;
        } else if (!to.processor.hung() && to.processor.waitTime() > day.work().refuseAfter()) {
            recordOfferedWork(to, day.work().refuse(), leg.from);
            to.processor.submitAnswer(work(day.work().refuse()), () -> {
                tally.addWastedWork(work(day.work().refuse()));
                sendRejectionBack(leg, Status.FULL, Cause.PROCESSOR_FULL);
            });
        } else {
            recordOfferedWork(to, 1, leg.from);
            to.processor.submitSetUp(setUpWork, () -> processSetUp(leg));
        }
    }

    private void processSetUp(Leg leg) {
        if (leg.ended) {
            tally.addWastedWork(setUpWork);
            return;
        }
        leg.workSpent += setUpWork;
        Request request = leg.request();
        if (day.work().faults() > 0 && signallingFaults.nextDouble() < day.work().faults()) {
            sendRejectionBack(leg, Status.ERROR, Cause.NONE);
        } else if (leg.to.place != request.destination()) {
            Request transitRequest = new Request(request.id(), request.className(), request.callClass(),
                    request.number(), DESCRIPTION, leg.attempt.deadline(), request.destination(), request.width(),
                    leg.from.place, request.redial(), true, request.cut());
            leg.transitCall = new TransitCall(leg, transitRequest,
                    rules.callAccepted(transitRequest.id(), leg.to.place, transitRequest.deadline(),
                            transitRequest.destination()));
            recordOfferedWork(leg.to, day.work().look(), leg.from);
            leg.to.processor.submitSetUp(work(day.work().look()), () -> { });
            leg.to.acceptCall(leg.transitCall);
        } else if (hotNumberLines.seize(leg)) {
            sendAnswerBack(leg);
        } else {
            sendRejectionBack(leg, Status.ERROR, Cause.LINES_BUSY);
        }
    }

    // Answers, which return along the path of the set-up.

    /** Reports to the sender of a leg that the call was established beyond it. */
    void sendAnswerBack(Leg leg) {
        double follow = work(day.work().follow());
        leg.to.processor.submitAnswer(follow, () -> time.scheduleIn(delay(leg),
                () -> leg.from.processor.submitAnswer(follow, () -> {
                    if (!leg.ended) {
                        leg.established = true;
                        leg.from.post(new SoftswitchEvent.Answered(leg.attempt.exchange(), leg.call()));
                    }
                })));
    }

    /** Reports to the sender of a leg that the set-up was rejected beyond it. */
    void sendRejectionBack(Leg leg, Status status, Cause cause) {
        time.scheduleIn(delay(leg), () -> onRejected(leg, status, cause));
    }

    private void onRejected(Leg leg, Status status, Cause cause) {
        if (!leg.ended) {
            rules.attemptEnded(leg.offer.trackedCall, status, now());
            leg.offer.lastRejectedByFullProcessor = cause == Cause.PROCESSOR_FULL;
            endLeg(leg);
            leg.from.post(new SoftswitchEvent.Rejected(leg.attempt.exchange(), leg.call(), status, cause,
                    leg.from.reportOf(leg.to, day.reports().delay() + extraReportDelay)));
        }
    }

    private void onUnreachable(Leg leg) {
        if (!leg.ended) {
            rules.attemptEnded(leg.offer.trackedCall, Status.CONNECT_FAILED, now());
            endLeg(leg);
            leg.from.post(new SoftswitchEvent.AttemptAborted(leg.call(), leg.attempt.attempt(), Status.CONNECT_FAILED));
        }
    }

    /**
     * Ends an attempt from the sending side, by time-out or cancellation. Its circuits stay busy for the release time
     * of the rules.
     */
    void cancelAttempt(Leg leg, Status status) {
        if (leg.ended) {
            return;
        }
        rules.attemptEnded(leg.offer.trackedCall, status, now());
        leg.ended = true;
        tally.addWastedWork(leg.workSpent);
        hotNumberLines.release(leg);
        time.scheduleIn(day.rules().release(), () -> {
            if (leg.indexInGroup >= 0) {
                leg.group.release(leg);
                notifyGroupChanged(leg);
            }
        });
        leg.from.removeIfDone(leg.offer);
        notifyTandem(leg, () -> leg.to.post(new SoftswitchEvent.CallerAbandoned(leg.call())));
    }

    // Release of established calls.

    /** Ends a call whose holding time is over: the far end releases it. */
    void hangUp(Leg first) {
        Leg last = first.transitCall != null && first.transitCall.leg != null ? first.transitCall.leg : first;
        last.to.processor.submitAnswer(work(day.work().follow()),
                () -> sendReleaseBack(last, Planner.CAUSE_NORMAL_CLEARING));
    }

    /** Notifies the sender of a leg that its far side has released the call. */
    void sendReleaseBack(Leg leg, int cause) {
        time.scheduleIn(delay(leg), () -> leg.from.processor.submitAnswer(work(day.work().follow()),
                () -> onReleased(leg, cause)));
    }

    private void onReleased(Leg leg, int cause) {
        if (!leg.ended) {
            endLeg(leg);
            leg.from.post(new SoftswitchEvent.Released(leg.attempt.exchange(), leg.call(), cause,
                    leg.from.reportOf(leg.to, day.reports().delay() + extraReportDelay)));
        }
    }

    /** Releases a call from the sending side. */
    void sendReleaseForward(Leg leg, int cause) {
        if (!leg.ended) {
            endLeg(leg);
            leg.to.processor.submitAnswer(work(day.work().follow()), () -> { });
            notifyTandem(leg, () -> leg.to.post(new SoftswitchEvent.CallerReleased(leg.call(), cause)));
        }
    }

    /** Cuts the call on a leg whose circuits, or the process at one of its ends, have been lost. */
    void cut(Leg leg) {
        if (leg.ended) {
            leg.group.release(leg);
            notifyGroupChanged(leg);
        } else if (leg.established) {
            onReleased(leg, Planner.CAUSE_TEMPORARY_FAILURE);
            notifyTandem(leg,
                    () -> leg.to.post(new SoftswitchEvent.CallerReleased(leg.call(), Planner.CAUSE_TEMPORARY_FAILURE)));
        } else {
            onRejected(leg, Status.RESET, Cause.NONE);
            notifyTandem(leg, () -> leg.to.post(new SoftswitchEvent.CallerAbandoned(leg.call())));
        }
    }

    /** Closes the transit call of a leg, if any, and notifies the tandem after the transmission delay. */
    private void notifyTandem(Leg leg, Runnable notification) {
        TransitCall transit = leg.transitCall;
        if (transit != null) {
            time.scheduleIn(delay(leg), () -> {
                if (!transit.closed) {
                    transit.closed = true;
                    rules.callerAbandoned(transit.trackedCall);
                    notification.run();
                    leg.to.removeIfDone(transit);
                }
            });
        }
    }

    private void endLeg(Leg leg) {
        leg.ended = true;
        if (!leg.established) {
            tally.addWastedWork(leg.workSpent);
        }
        hotNumberLines.release(leg);
        if (leg.indexInGroup >= 0) {
            leg.group.release(leg);
            notifyGroupChanged(leg);
        }
        leg.from.removeIfDone(leg.offer);
    }

    private void notifyGroupChanged(Leg leg) {
        leg.from.onGroupChanged(leg.to);
        leg.to.onGroupChanged(leg.from);
    }

    // Start and stop of processes.

    /** Records work offered to a processor; a cold processor that is offered too much crashes and stays down. */
    void recordOfferedWork(Node to, double setUps, Node sender) {
        if (to.processor.down() || !to.processor.cold()) {
            return;
        }
        Day.Rules ruleParameters = day.rules();
        to.offeredWork.add(now(), ruleParameters.fall(), work(setUps),
                sender == to || to.informedNodes.contains(sender));
        double maxWork = ruleParameters.fallMultiple() * to.processor.capacity() / to.processor.slowness()
                * ruleParameters.fall();
        if (to.offeredWork.sum() > maxWork + COLD_OVERLOAD_SLACK_SET_UPS * setUpWork) {
            if (to.offeredWork.mostlyInformed()) {
                rules.coldExchangeOverloaded(to.place, now());
            }
            stop(to);
            directory.processStopped(to);
        }
    }

    /** Stops the process of an exchange and cuts all calls that pass through it. */
    void stop(Node node) {
        node.processor.stop();
        node.offeredWork.clear();
        for (Node other : nodes) {
            CircuitGroup group = group(node, other);
            if (group != null) {
                group.holders().forEach(this::cut);
            }
        }
    }

    /** Starts the process of an exchange, cold, under this address. */
    void startCold(Node node, long address) {
        if (address != node.address()) {
            node.setAddress(address);
            register(node, address);
        }
        node.offeredWork.clear();
        node.informedNodes.clear();
        node.processor.start(day.cold().from(), day.cold().time());
        directory.processStarted(node, now());
    }
}
