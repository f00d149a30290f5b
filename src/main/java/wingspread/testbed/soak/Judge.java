package wingspread.testbed.soak;

import io.netty.util.concurrent.Future;
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
import wingspread.lab.rules.Pushed;
import wingspread.lab.rules.RuleBook;
import wingspread.lab.rules.Taken;
import wingspread.net.Loop;

/**
 * Holds what the stand-ins have seen against the platform's rules, with the rule book of the laboratory. It never asks
 * a softswitch. Times are microseconds; confined to the trial's loop.
 */
final class Judge {
    /** The pages' own slack on every time, and what the stand-ins' loop may be late on a busy machine. */
    static final long SLACK = 50_000 + 100_000;
    /** An answer within this after the caller's time only earns nothing. */
    static final long LATE_ANSWER = 500_000;
    /** The pause after a time-out, reset or cancel, less the slack by which the stand-ins may see the end late. */
    private static final long RELEASE_PAUSE = 150_000;
    private static final int MOST_ATTEMPTS = 6;
    private static final long DRAIN_GRACE = 500_000;
    private static final double FALL_MULTIPLE = 2;
    private static final long FALL_WINDOW = 1_000_000;
    private static final long LATE_FOR = 300_000;

    /** A call that a caller has offered. */
    private static final class Call {
        final Taken taken;
        final int softswitch;
        /** Which process of the softswitch took it, counted from its first start. */
        final int process;
        /** The exchange of the attempt that is out; null for none. */
        String attemptAt;
        long attemptUntil;
        String description;
        /** The exchange that has answered last; a call stands there or nowhere. */
        String answeredBy;
        long answeredAt = Long.MIN_VALUE;
        boolean attempted;
        boolean standing;
        boolean over;
        boolean released;

        Call(Taken taken, int softswitch, int process) {
            this.taken = taken;
            this.softswitch = softswitch;
            this.process = process;
        }
    }

    /** A change of the list of exchanges, as the directory of one softswitch numbers it. */
    private record Change(int serial, String uid, boolean away) { }

    private final Loop loop;
    private final RuleBook rules;
    private final TrialLog log;
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<Integer, List<Change>> untold = new HashMap<>();
    private final Map<Integer, Set<String>> informed = new HashMap<>();
    private final Map<String, Long> addresses = new LinkedHashMap<>();
    private final Map<String, Pushed> pushed = new HashMap<>();
    /** Softswitches that were killed and not started again yet. */
    private final Set<Integer> down = new HashSet<>();
    private final Map<Integer, Integer> processes = new HashMap<>();
    private final Map<Excuse, Integer> excused = new EnumMap<>(Excuse.class);
    private final List<String> testbedFaults = new ArrayList<>();
    private final Counts counts = new Counts();
    private long lateUntil;

    /** The stand-ins' loop did not run for a while: the order of what came meanwhile is not known. */
    void loopWasLate() {
        lateUntil = loop.now() + LATE_FOR;
    }

    /** How much was judged. */
    static final class Counts {
        long unjudged;
        long offered;
        long stood;
        long refused;
        long failed;
        long late;
        long ended;
        long attempts;
    }

    Judge(Loop loop, TrialLog log) {
        this.loop = loop;
        this.log = log;
        this.rules = new RuleBook(new Obligations(LATE_ANSWER + SLACK, DRAIN_GRACE + SLACK, 0, 0, 0, FALL_MULTIPLE,
                FALL_WINDOW), MOST_ATTEMPTS, RELEASE_PAUSE, loop.now());
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

    /** What went wrong with the testbed itself; a trial with any of it says nothing of the softswitch. */
    List<String> testbedFaults() {
        return testbedFaults;
    }

    /** Notes a stand-in that could not listen. */
    void bound(Future<?> bound) {
        // One that was closed before it listened was not wanted any longer.
        if (!bound.isSuccess() && !(bound.cause() instanceof ClosedChannelException)) {
            testbedFaults.add("a stand-in cannot listen: " + bound.cause());
        }
    }

    /** Something in the testbed itself has failed. */
    void testbedFailed(String what) {
        testbedFaults.add(what);
    }

    private void excuse(Excuse excuse, String call) {
        excused.merge(excuse, 1, Integer::sum);
        log.add("judge", call, "excused: " + excuse + " (" + excuse.sentence() + ")");
    }

    // Softswitches and exchanges.

    /** A process of a softswitch starts; it knows nothing of what the one before it was told. */
    void started(int softswitch, List<String> named) {
        processes.merge(softswitch, 1, Integer::sum);
        down.remove(softswitch);
        untold.put(softswitch, new ArrayList<>());
        informed.put(softswitch, new HashSet<>(named));
        named.forEach(uid -> rules.told(softswitch, address(uid), false, loop.now()));
    }

    private long address(String uid) {
        return addresses.computeIfAbsent(uid, u -> addresses.size() + 1L);
    }

    /** The list has changed; the softswitch counts as told once an answer with this number is sent to it. */
    void listChanged(int softswitch, int serial, String uid, boolean away) {
        untold.computeIfAbsent(softswitch, n -> new ArrayList<>()).add(new Change(serial, uid, away));
    }

    /** The softswitch has been sent the list of this number, or counts as told of it. */
    void listTold(int softswitch, int serial) {
        List<Change> changes = untold.get(softswitch);
        if (changes == null) {
            return;
        }
        for (Change change : List.copyOf(changes)) {
            if (change.serial() <= serial) {
                changes.remove(change);
                informed.get(softswitch).add(change.uid());
                rules.told(softswitch, address(change.uid()), change.away(), loop.now());
            }
        }
    }

    /** The process is killed outright: releases that it has heard and not told are as if they were never sent. */
    void killed(int softswitch) {
        down.add(softswitch);
        calls.forEach((id, call) -> {
            if (call.softswitch == softswitch && call.standing && call.released) {
                unsent(id);
            }
        });
    }

    /** A release that was sent has not been heard, as its connection ended with it. */
    void unsent(String id) {
        Call call = calls.get(id);
        if (call != null && call.standing) {
            call.released = false;
            rules.unsent(id);
        }
    }

    /** Something is wrong with a softswitch's process. */
    void processBroken(int softswitch, String what) {
        log.add("n" + softswitch, "PROCESS " + what);
        rules.broken(Rule.PROCESS, TrialLog.NO_CALL, softswitch, loop.now(), what);
    }

    // What callers see.

    /** A set-up was written whole; {@code onlyTo} is its destination where it is in transit, else -1. */
    void offered(String id, int softswitch, long deadline, int onlyTo) {
        counts.offered++;
        calls.put(id, new Call(rules.taken(id, softswitch, deadline, onlyTo), softswitch,
                processes.getOrDefault(softswitch, 0)));
    }

    /** No answer is owed, for a reason that the pages name; a set-up may be on its way for a moment still. */
    void excused(String id, Excuse excuse) {
        excuse(excuse, id);
        loop.at(loop.now() + SLACK, () -> rules.givenUp(calls.get(id).taken));
    }

    /** The connection of a set-up ended without an answer. */
    void lost(String id, String how) {
        Call call = calls.get(id);
        rules.givenUp(call.taken);
        log.add("judge", id, "LOST: " + how);
        rules.broken(Rule.ONE_ANSWER, id, call.softswitch, loop.now(), how);
    }

    void refused(String id) {
        counts.refused++;
        answered(id);
    }

    void failed(String id) {
        counts.failed++;
        answered(id);
    }

    void stood(String id, String description) {
        counts.stood++;
        Call call = calls.get(id);
        answered(id);
        if (!description.equals(call.description)) {
            rules.broken(Rule.ONE_ANSWER, id, call.softswitch, loop.now(),
                    "answered as standing with '" + description + "', which no exchange gave for it");
        }
        call.standing = true;
        rules.stood(id, call.softswitch);
        if (call.over) {
            rules.over(id, loop.now());
        }
    }

    private void answered(String id) {
        Call call = calls.get(id);
        call.answeredAt = loop.now();
        rules.answered(call.taken, loop.now());
    }

    /** Whether a set-up of the call has reached an exchange: its softswitch has read it. */
    boolean wasAttempted(String id) {
        return calls.get(id).attempted;
    }

    /** Whether a call stands for its caller. */
    boolean stands(String id) {
        return calls.containsKey(id) && calls.get(id).standing;
    }

    /** An answer under an id that is not open and does not stand. */
    void answeredAstray(String id, int softswitch) {
        rules.answeredAstray(id, softswitch, loop.now());
    }

    /** Whether a call is known and has had its final answer. */
    boolean isAnswered(String id) {
        return calls.containsKey(id);
    }

    /** The caller has heard that its call is over, or ends it itself. */
    void toldOver(String id) {
        Call call = calls.get(id);
        if (call.standing) {
            call.standing = false;
            counts.ended++;
            rules.toldOver(id, loop.now());
        }
    }

    // What exchanges see.

    /**
     * A set-up has arrived. Where the list of its softswitch does not name this exchange, but the one that had the
     * address before, it was sent to that one.
     *
     * @param coldCapacity what a cold exchange bears a second, 0 where it is warm
     */
    void attemptArrived(String id, String uid, String predecessor, int place, long leftMicros, double coldCapacity) {
        counts.attempts++;
        long now = loop.now();
        Call call = calls.get(id);
        if (call == null) {
            rules.sentAstray(id, -1, now);
            return;
        }
        if (now < lateUntil && call.answeredAt > now - LATE_FOR) {
            // The stand-ins have read late: which came first, this or the answer, cannot be told.
            counts.unjudged++;
            return;
        }
        if (call.attemptAt != null && now >= call.attemptUntil) {
            end(call, Status.TIMEOUT, call.attemptUntil);
        }
        Set<String> known = informed.getOrDefault(call.softswitch, Set.of());
        String addressee = !known.contains(uid) && known.contains(predecessor) ? predecessor : uid;
        rules.sent(call.taken, address(addressee), place, now);
        call.attempted = true;
        call.attemptAt = uid;
        call.attemptUntil = now + leftMicros;
        if (coldCapacity > 0) {
            push(uid, call.softswitch, now, coldCapacity);
        }
    }

    private void push(String uid, int softswitch, long now, double capacity) {
        Pushed onExchange = pushed.computeIfAbsent(uid, u -> new Pushed());
        onExchange.add(now, FALL_WINDOW, 1, informed.getOrDefault(softswitch, Set.of()).contains(uid));
        double allowed = FALL_MULTIPLE * capacity * FALL_WINDOW / 1_000_000;
        double slack = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
        if (onExchange.sum() > allowed + slack && onExchange.mostlyInformed()) {
            rules.broken(Rule.FAIL_BACK, TrialLog.NO_CALL, softswitch, now, uid + " got " + onExchange.sum()
                    + " set-ups within a second, " + allowed + " were allowed");
            onExchange.clear();
        }
    }

    private void end(Call call, Status status, long at) {
        call.attemptAt = null;
        rules.ended(call.taken, status, at);
    }

    private void ended(String id, Status status) {
        Call call = calls.get(id);
        if (call != null && call.attemptAt != null) {
            end(call, status, loop.now());
        }
    }

    void attemptReset(String id) {
        ended(id, Status.RESET);
    }

    void attemptGivenUp(String id) {
        ended(id, Status.CANCELLED);
    }

    void attemptRejected(String id) {
        ended(id, Status.FULL);
    }

    /** The exchange answers that the call stands. */
    void attemptAnswered(String id, String uid, String description) {
        Call call = calls.get(id);
        if (call != null && uid.equals(call.attemptAt)) {
            call.description = description;
            call.answeredBy = uid;
            end(call, Status.OK, loop.now());
        }
    }

    /** A call is over at an exchange, and no release can be sent. */
    void over(String id, String uid) {
        Call call = calls.get(id);
        if (call != null && uid.equals(call.answeredBy)) {
            call.over = true;
            rules.over(id, loop.now());
        }
    }

    /** Whether the exchange holds a call to be over. */
    boolean isOver(String id) {
        return calls.containsKey(id) && calls.get(id).over;
    }

    /** An exchange has sent the release of a call. */
    void released(String id, String uid) {
        Call call = calls.get(id);
        if (call == null || !uid.equals(call.answeredBy)) {
            return;
        }
        if (down.contains(call.softswitch)) {
            over(id, uid);
        } else {
            call.over = true;
            call.released = true;
            rules.released(id, loop.now());
        }
    }

    /** The softswitch has released a call at the exchange. */
    void releasedBySoftswitch(String id) {
        Call call = calls.get(id);
        if (call != null && call.standing) {
            // 'within 1 s of the release by the exchange or the softswitch'
            call.over = true;
            rules.released(id, loop.now());
        }
    }

    /** Calls that are owed an answer or, being over, word of their end. */
    long owed() {
        return rules.owed() + calls.values().stream().filter(c -> c.standing && c.over).count();
    }

    /** The trial is over. */
    void close() {
        calls.forEach((id, call) -> {
            if (call.standing && call.over && !call.released
                    && call.process != processes.getOrDefault(call.softswitch, 0)) {
                excuse(Excuse.STARTED_FROM_NOTHING, id);
                rules.excused(id);
            }
        });
        rules.close(loop.now());
    }
}
