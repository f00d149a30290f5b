package wingspread.testbed.soak;

import io.netty.channel.ChannelFutureListener;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wingspread.control.CallControl.Obligations;
import wingspread.control.CallControl.Status;
import wingspread.lab.rules.Breach;
import wingspread.lab.rules.Breach.Rule;
import wingspread.lab.rules.OfferedWork;
import wingspread.lab.rules.RuleChecker;
import wingspread.lab.rules.TrackedCall;
import wingspread.net.Loop;

/**
 * Checks the events that the stand-ins observe against the platform's rules, using the rule book of the laboratory. It
 * relies on the stand-ins alone and never queries a softswitch. Times are microseconds; confined to the trial's loop.
 */
final class Judge {
    /** The slack that the pages grant on every time, plus the delay of the stand-ins' loop on a busy machine. */
    static final long TIMING_SLACK_MICROS = 50_000 + 100_000;
    /** An answer that is late by no more than this earns no value, but breaks no rule. */
    static final long LATE_ANSWER_MICROS = 500_000;
    /** The pause after a time-out, reset or cancel, less the slack by which the stand-ins may see its end late. */
    private static final long RELEASE_PAUSE_MICROS = 150_000;
    private static final int MAX_ATTEMPTS = 6;
    private static final long DRAIN_GRACE_MICROS = 500_000;
    /** The load that a cold exchange may receive within the window, as a multiple of its cold capacity. */
    private static final double FAIL_BACK_MULTIPLE = 2;
    private static final long FAIL_BACK_WINDOW_MICROS = 1_000_000;
    /** How long after a delay of the stand-ins' loop the order of events counts as unknown. */
    private static final long LATE_LOOP_WINDOW_MICROS = 300_000;

    /** A call that a caller has offered, and its state. */
    private static final class Call {
        final TrackedCall taken;
        final int softswitch;
        /** The number of the softswitch's process that accepted the call, counted from its first start. */
        final int process;
        /** The exchange of the attempt in progress; null if there is none. */
        String attemptExchange;
        long attemptDeadline;
        String description;
        /** The exchange that answered last; the call is established there or nowhere. */
        String answeredBy;
        long answeredAt = Long.MIN_VALUE;
        boolean attempted;
        boolean established;
        boolean ended;
        boolean released;

        Call(TrackedCall taken, int softswitch, int process) {
            this.taken = taken;
            this.softswitch = softswitch;
            this.process = process;
        }
    }

    /** A change to the list of exchanges, with the serial number that the directory of one softswitch gave it. */
    private record Change(int serial, String uid, boolean removed) { }

    private final Loop loop;
    private final RuleChecker rules;
    private final TrialLog log;
    private final Map<String, Call> calls = new HashMap<>();
    /** The changes of the list that each softswitch has not been informed of yet. */
    private final Map<Integer, List<Change>> pendingChanges = new HashMap<>();
    /** The changes whose hosts, with address and start time, each softswitch has not been informed of yet. */
    private final Map<Integer, List<Change>> pendingHosts = new HashMap<>();
    /** The exchanges that the current process of each softswitch has been informed of, including removed ones. */
    private final Map<Integer, Set<String>> knownExchanges = new HashMap<>();
    private final Map<String, Long> addressIds = new LinkedHashMap<>();
    /** The recent set-ups at each exchange that arrived while it was cold. */
    private final Map<String, OfferedWork> coldLoads = new HashMap<>();
    /** Softswitches that were terminated by SIGKILL and have not been restarted yet. */
    private final Set<Integer> down = new HashSet<>();
    /** Softswitches whose callers have left for a while. */
    private final Set<Integer> absent = new HashSet<>();
    /** How many processes of each softswitch have been started. */
    private final Map<Integer, Integer> processes = new HashMap<>();
    private final Map<Excuse, Integer> excused = new EnumMap<>(Excuse.class);
    private final List<String> testbedFaults = new ArrayList<>();
    private final Counts counts = new Counts();
    private long loopLateUntil;

    /** Reports that the stand-ins' loop was delayed, so that the order of the events in that time is unknown. */
    void loopWasLate() {
        loopLateUntil = loop.now() + LATE_LOOP_WINDOW_MICROS;
    }

    /** Counts of the calls and attempts of a trial. */
    static final class Counts {
        long notChecked;
        long offered;
        long established;
        long refused;
        long failed;
        long late;
        long ended;
        long attempts;
    }

    Judge(Loop loop, TrialLog log) {
        this.loop = loop;
        this.log = log;
        this.rules = new RuleChecker(new Obligations(LATE_ANSWER_MICROS + TIMING_SLACK_MICROS,
                DRAIN_GRACE_MICROS + TIMING_SLACK_MICROS, 0, 0, 0, FAIL_BACK_MULTIPLE, FAIL_BACK_WINDOW_MICROS),
                MAX_ATTEMPTS, RELEASE_PAUSE_MICROS, loop.now());
    }

    Counts counts() {
        return counts;
    }

    Map<Excuse, Integer> excused() {
        return excused;
    }

    List<Breach> breaches() {
        return rules.breaches();
    }

    /** Faults of the test bed itself; a trial with any of them is no evidence about the softswitch. */
    List<String> testbedFaults() {
        return testbedFaults;
    }

    /** Returns a listener that records a fault of the test bed if a stand-in fails to bind its port. */
    ChannelFutureListener bindCheck(String standIn, int port) {
        return bound -> {
            // A listener that was closed before it was bound was no longer needed.
            if (!bound.isSuccess() && !(bound.cause() instanceof ClosedChannelException)) {
                testbedFaults.add(standIn + " cannot bind port " + port + ": " + bound.cause());
            }
        };
    }

    /** Records a fault of the test bed itself. */
    void testbedFailed(String description) {
        testbedFaults.add(description);
    }

    private void recordExcuse(Excuse excuse, String call) {
        excused.merge(excuse, 1, Integer::sum);
        log.add("judge", call, "excused: " + excuse + " (" + excuse.sentence() + ")");
    }

    // Softswitches and exchanges.

    /** A process of a softswitch starts; it knows only the listed exchanges, not what its predecessor had learnt. */
    void processStarted(int softswitch, List<String> listed) {
        processes.merge(softswitch, 1, Integer::sum);
        down.remove(softswitch);
        pendingChanges.put(softswitch, new ArrayList<>());
        pendingHosts.put(softswitch, new ArrayList<>());
        knownExchanges.put(softswitch, new HashSet<>(listed));
        listed.forEach(uid -> rules.directoryNotified(softswitch, addressId(uid), false, loop.now()));
    }

    /** Returns the number by which the rule book knows an exchange. */
    private long addressId(String uid) {
        return addressIds.computeIfAbsent(uid, ignored -> addressIds.size() + 1L);
    }

    /** The list has changed; the softswitch counts as informed once an answer with this serial is sent to it. */
    void listChanged(int softswitch, int serial, String uid, boolean removed) {
        Change change = new Change(serial, uid, removed);
        pendingChanges.computeIfAbsent(softswitch, ignored -> new ArrayList<>()).add(change);
        pendingHosts.computeIfAbsent(softswitch, ignored -> new ArrayList<>()).add(change);
    }

    /** The softswitch has been sent the list with this serial, or must know it by now. */
    void listDelivered(int softswitch, int serial) {
        servicesDelivered(softswitch, serial);
        List<Change> changes = pendingHosts.get(softswitch);
        if (changes != null) {
            changes.stream().filter(change -> change.serial() <= serial)
                    .forEach(change -> knownExchanges.get(softswitch).add(change.uid()));
            changes.removeIf(change -> change.serial() <= serial);
        }
    }

    /**
     * An answer was sent that names all exchanges with their states, and may lack their hosts: who drains, has gone or
     * is back is known by it, and not yet that a process is another one or cold.
     */
    void servicesDelivered(int softswitch, int serial) {
        List<Change> changes = pendingChanges.get(softswitch);
        if (changes == null) {
            return;
        }
        for (Change change : List.copyOf(changes)) {
            if (change.serial() <= serial) {
                changes.remove(change);
                rules.directoryNotified(softswitch, addressId(change.uid()), change.removed(), loop.now());
            }
        }
    }

    /**
     * A process of a softswitch is terminated by SIGKILL: releases that it received and did not pass on to callers
     * count as never sent.
     */
    void processKilled(int softswitch) {
        down.add(softswitch);
        calls.forEach((id, call) -> {
            if (call.softswitch == softswitch && call.established && call.released) {
                releaseLost(id);
            }
        });
    }

    /**
     * The callers of a softswitch leave, or come back. While they are away no release can be sent to them, and what was
     * sent just before may have crossed their leaving.
     */
    void callersAway(int softswitch, boolean away) {
        if (!away) {
            absent.remove(softswitch);
            return;
        }
        absent.add(softswitch);
        calls.forEach((id, call) -> {
            if (call.softswitch == softswitch && call.established && call.released) {
                releaseLost(id);
            }
        });
    }

    /** A release was sent but not received, as its connection was closed while it was in transit. */
    void releaseLost(String id) {
        Call call = calls.get(id);
        if (call != null && call.established) {
            call.released = false;
            rules.releaseNotSent(id);
        }
    }

    /** Records a breach of the rules on a softswitch's process, such as a crash. */
    void processRuleBroken(int softswitch, String description) {
        log.add("n" + softswitch, "PROCESS " + description);
        rules.recordBreach(Rule.PROCESS, TrialLog.NO_CALL, softswitch, loop.now(), description);
    }

    // Events observed by callers.

    /**
     * A set-up was written in full.
     *
     * @param transitDestination the destination of a transit call; -1 for any other call
     */
    void offered(String id, int softswitch, long deadline, int transitDestination) {
        counts.offered++;
        calls.put(id, new Call(rules.callAccepted(id, softswitch, deadline, transitDestination), softswitch,
                processes.getOrDefault(softswitch, 0)));
    }

    /**
     * No answer is required, for a reason that the pages name. Takes effect after the slack, as a set-up may still be
     * in transit.
     */
    void excused(String id, Excuse excuse) {
        recordExcuse(excuse, id);
        loop.at(loop.now() + TIMING_SLACK_MICROS, () -> rules.callerAbandoned(calls.get(id).taken));
    }

    /** The connection of a set-up was closed without an answer. */
    void answerMissing(String id, String cause) {
        Call call = calls.get(id);
        rules.callerAbandoned(call.taken);
        log.add("judge", id, "LOST: " + cause);
        rules.recordBreach(Rule.ONE_ANSWER, id, call.softswitch, loop.now(), cause);
    }

    void refused(String id) {
        counts.refused++;
        answered(id);
    }

    void failed(String id) {
        counts.failed++;
        answered(id);
    }

    void established(String id, String description) {
        counts.established++;
        Call call = calls.get(id);
        answered(id);
        if (!description.equals(call.description)) {
            rules.recordBreach(Rule.ONE_ANSWER, id, call.softswitch, loop.now(),
                    "answered as established with '" + description + "', which no exchange returned for it");
        }
        call.established = true;
        rules.callEstablished(id, call.softswitch);
        if (call.ended) {
            rules.callEnded(id, loop.now());
        }
    }

    private void answered(String id) {
        Call call = calls.get(id);
        call.answeredAt = loop.now();
        rules.answered(call.taken, loop.now());
    }

    /** Whether a set-up of the call has reached an exchange, which shows that its softswitch has read it. */
    boolean wasAttempted(String id) {
        return calls.get(id).attempted;
    }

    /** Whether the call is established from its caller's point of view. */
    boolean isEstablished(String id) {
        return calls.containsKey(id) && calls.get(id).established;
    }

    /** An answer arrived under an id that belongs to no open or established call. */
    void unknownCallAnswered(String id, int softswitch) {
        rules.unknownCallAnswered(id, softswitch, loop.now());
    }

    /** Whether the call is known; queried only for calls that are no longer open, and so have been answered. */
    boolean isKnown(String id) {
        return calls.containsKey(id);
    }

    /** The caller has been notified of the end of its call, or ends the call itself. */
    void callerNotifiedOfEnd(String id) {
        Call call = calls.get(id);
        if (call.established) {
            call.established = false;
            counts.ended++;
            rules.callerNotified(id, loop.now());
        }
    }

    // Events observed by exchanges.

    /**
     * A set-up has arrived at an exchange. Where the list of its softswitch holds not this exchange but its predecessor
     * at the same address, the set-up counts as sent to the predecessor.
     *
     * @param leftMicros time left until the deadline of the attempt
     * @param coldCapacity set-ups a second that a cold exchange can handle; 0 if the exchange is warm
     */
    void attemptArrived(String id, String uid, String predecessor, int place, long leftMicros, double coldCapacity) {
        counts.attempts++;
        long now = loop.now();
        Call call = calls.get(id);
        if (call == null) {
            rules.setUpMisrouted(id, -1, now);
            return;
        }
        if (now < loopLateUntil && call.answeredAt > now - LATE_LOOP_WINDOW_MICROS) {
            // The stand-ins read late, so the order of this set-up and the answer is unknown.
            counts.notChecked++;
            return;
        }
        if (call.attemptExchange != null && now >= call.attemptDeadline) {
            end(call, Status.TIMEOUT, call.attemptDeadline);
        }
        Set<String> known = knownExchanges.getOrDefault(call.softswitch, Set.of());
        String addressee = !known.contains(uid) && known.contains(predecessor) ? predecessor : uid;
        rules.setUpSent(call.taken, addressId(addressee), place, now);
        call.attempted = true;
        call.attemptExchange = uid;
        call.attemptDeadline = now + leftMicros;
        if (coldCapacity > 0) {
            addColdLoad(uid, call.softswitch, now, coldCapacity);
        }
    }

    /** Adds a set-up to the load of a cold exchange, and checks the fail-back rule with slack for random arrivals. */
    private void addColdLoad(String uid, int softswitch, long now, double capacity) {
        OfferedWork load = coldLoads.computeIfAbsent(uid, ignored -> new OfferedWork());
        load.add(now, FAIL_BACK_WINDOW_MICROS, 1, knownExchanges.getOrDefault(softswitch, Set.of()).contains(uid));
        double allowed = FAIL_BACK_MULTIPLE * capacity * FAIL_BACK_WINDOW_MICROS / 1_000_000;
        double slack = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
        if (load.sum() > allowed + slack && load.mostlyInformed()) {
            rules.recordBreach(Rule.FAIL_BACK, TrialLog.NO_CALL, softswitch, now, uid + " received " + load.sum()
                    + " set-ups within a second, " + allowed + " were allowed");
            load.clear();
        }
    }

    private void end(Call call, Status status, long at) {
        call.attemptExchange = null;
        rules.attemptEnded(call.taken, status, at);
    }

    private void ended(String id, Status status) {
        Call call = calls.get(id);
        if (call != null && call.attemptExchange != null) {
            end(call, status, loop.now());
        }
    }

    void attemptReset(String id) {
        ended(id, Status.RESET);
    }

    void attemptCancelled(String id) {
        ended(id, Status.CANCELLED);
    }

    void attemptRejected(String id) {
        ended(id, Status.FULL);
    }

    /** The exchange has answered that the call is established. */
    void attemptAnswered(String id, String uid, String description) {
        Call call = calls.get(id);
        if (call != null && uid.equals(call.attemptExchange)) {
            call.description = description;
            call.answeredBy = uid;
            // An end that was seen before concerns an earlier attempt at another exchange.
            call.ended = false;
            call.released = false;
            end(call, Status.OK, loop.now());
        }
    }

    /** A call has ended at an exchange, and no release can be sent. */
    void callEnded(String id, String uid) {
        Call call = calls.get(id);
        if (call != null && uid.equals(call.answeredBy)) {
            call.ended = true;
            rules.callEnded(id, loop.now());
        }
    }

    /** Whether the call has ended at its exchange. */
    boolean hasEnded(String id) {
        return calls.containsKey(id) && calls.get(id).ended;
    }

    /** The exchange has sent the release of a call. */
    void released(String id, String uid) {
        Call call = calls.get(id);
        if (call == null || !uid.equals(call.answeredBy)) {
            return;
        }
        if (down.contains(call.softswitch) || absent.contains(call.softswitch)) {
            callEnded(id, uid);
        } else {
            call.ended = true;
            call.released = true;
            rules.releaseSent(id, loop.now());
        }
    }

    /** The softswitch has released a call at the exchange. */
    void releasedBySoftswitch(String id) {
        Call call = calls.get(id);
        if (call != null && call.established) {
            // The rule says 'within 1 s of the release by the exchange or the softswitch', so this counts as one.
            call.ended = true;
            if (absent.contains(call.softswitch)) {
                rules.callEnded(id, loop.now());
            } else {
                rules.releaseSent(id, loop.now());
            }
        }
    }

    /** Returns how many answers, and notifications of the end of a call, are still pending. */
    long pendingCount() {
        return rules.pendingAnswers() + calls.values().stream().filter(call -> call.established && call.ended).count();
    }

    /** Ends the trial: applies the remaining excuses and checks what is still pending. */
    void close() {
        calls.forEach((id, call) -> {
            if (call.established && call.ended && !call.released
                    && call.process != processes.getOrDefault(call.softswitch, 0)) {
                recordExcuse(Excuse.STARTED_FROM_NOTHING, id);
                rules.exemptCall(id);
            }
        });
        rules.close(loop.now());
    }
}
