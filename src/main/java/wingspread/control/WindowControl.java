// Interface: CallControl.java (settings, events, actions, types). All of wingspread's decisions are here,
// their figures in Figures.java.
package wingspread.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Window control of Noel and Johnson ("Novel Overload Controls for SIP Networks", section III) for one
 * exchange.
 *
 * <p>Per far processor it keeps a real-valued window of unanswered set-ups, which rises slowly on good
 * answers and is cut sharply on 'processor full', time-out and reset. A call goes direct while the own group
 * has room, else over the tandem remembered for its destination; what the window does not admit is refused
 * here, at the source.
 */
public final class WindowControl implements CallControl {

    private static final long TOKEN_DEADLINE = 0;
    private static final long TOKEN_RELEASE = 1;
    private static final long TOKEN_LIST = 2;
    private static final long TOKEN_HOLD = 3;
    private static final int TOKEN_SHIFT = 56;

    private final Settings settings;
    private final Figures figures;
    private final Host host;
    private final SplittableRandom random;
    private final double meanWidth;
    private final double widest;
    private final double gapScale;
    /** Circuits of all own groups. */
    private double allCircuits;
    /** Far exchanges: in the order in which they were first named, and by address. */
    private final List<Far> fars = new ArrayList<>();
    private final Map<Long, Far> byAddress = new HashMap<>();
    private final Map<Integer, List<Far>> byPlace = new HashMap<>();
    private final Map<Long, Held> calls = new HashMap<>();
    private final Map<Integer, Alternate> alternates = new HashMap<>();
    private final Map<Long, Hot> hot = new LinkedHashMap<>();
    /** Calls held at source, most worth per circuit and second first. */
    private final List<Held> waiting = new ArrayList<>();
    /** When a number that was refused here was first tried, to know the redial. */
    private final Map<Long, Long> refused = new LinkedHashMap<>();
    /** The own processor, with the bad answers in a row that speak against it and whose the last one was. */
    private final Far own;
    private int badAnswers;
    private boolean badFromSeveral;
    private Far lastBad;
    private boolean ownShut;
    private final Gap listRetry = new Gap();
    /** Probability with which a blocked call tries a tandem at all. */
    private double roundWindow = 1;
    private double ownRate;
    private long ownRateAt;
    private final long startedAt;

    /** A far exchange: its processor's window, its group of circuits and what is known of its health. */
    private static final class Far {
        final long address;
        final int place;
        Readiness readiness = Readiness.GONE;
        long upSince;
        double window;
        int unanswered;
        int good;
        double free = Double.NaN;
        double circuits = Double.NaN;
        boolean cold;
        long coldSince;
        double coldCredit;
        long creditAt;
        int missed;
        long missedSince;
        final Gap gap = new Gap();
        long lastSend;

        Far(long address, int place, double window) {
            this.address = address;
            this.place = place;
            this.window = window;
        }

        /** Whether there is no group of circuits between here and there. */
        boolean unlinked() {
            return circuits == 0;
        }

        boolean silent() {
            return gap.length > 0;
        }
    }

    /** A call between its coming in and the outcome of its last attempt. */
    private static final class Held {
        final Call call;
        final long deadline;
        final long aimAt;
        final long holdUntil;
        int attempts;
        int tandems;
        boolean directTried;
        int faults;
        boolean out;
        boolean stood;
        boolean closed;
        long notBefore;
        Far sentTo;
        boolean waits;
        final List<Far> tried = new ArrayList<>();
        Far maybeRanAt;
        long maybeRanSince;

        Held(Call call, long first, long aim, double holdShare) {
            this.call = call;
            this.deadline = call.deadline();
            this.aimAt = first + aim;
            this.holdUntil = first + (long) (holdShare * aim);
        }
    }

    /** The way round toward one destination: the tandem that worked, and the pause while none does. */
    private static final class Alternate {
        Far tandem;
        int turnBacks;
        final Gap pause = new Gap();
    }

    /** A number whose lines were busy. */
    private static final class Hot {
        final Gap gap = new Gap();
        long busyAt;
    }

    /** Call gapping: a gap of none, which each failure doubles from a first length up to a longest. */
    private static final class Gap {
        long length;
        long until;
        long grownAt;

        void grow(long now, long first, long longest) {
            grownAt = now;
            length = Math.max(first, Math.min(2 * length, longest));
            until = now + length;
        }
    }

    /** Starts a control with nothing but its settings; all its randomness comes from {@code seed}. */
    public WindowControl(long now, Settings settings, Figures figures, long seed, Host host) {
        this.settings = settings;
        this.figures = figures;
        this.host = host;
        this.random = new SplittableRandom(seed);
        this.ownRateAt = now;
        this.startedAt = now;
        this.gapScale = Math.max(1, settings.softswitches() / figures.fewSenders);
        this.own = new Far(-1, -1, figures.ownWindowStart);
        this.meanWidth = settings.classes().stream().mapToDouble(CallClass::width).average().orElse(1);
        this.widest = settings.classes().stream().mapToDouble(CallClass::width).max().orElse(1);
        if (settings.askForList()) {
            host.subscribe(true);
        }
    }

    // Events.

    @Override
    public void onCall(long now, Call call) {
        CallClass callClass = settings.classes().get(call.callClass());
        Held held = new Held(call, firstTry(now, call, callClass), callClass.aim(),
                figures.holdShare);
        calls.put(call.id(), held);
        if (!call.transit()) {
            ownRate = ownRate * Math.exp((ownRateAt - now) / figures.rateTime) + 1_000_000 / figures.rateTime;
            ownRateAt = now;
        }
        host.timer(Math.max(now, call.deadline() - figures.answerMargin), token(TOKEN_DEADLINE, call.id()));
        route(now, held);
    }

    @Override
    public void onStood(long now, long id, int attempt, long exchange, long took) {
        Held held = calls.get(id);
        if (held == null || !held.out || attempt != held.attempts - 1 || held.stood) {
            return;
        }
        held.stood = true;
        held.closed = true;
        goodAnswer(now, held.sentTo);
        if (took > slowAfter(held.call)) {
            badAnswer(now, held.sentTo, now - took, false);
        } else {
            ownGood();
        }
        held.sentTo.unanswered--;
        own.unanswered--;
        serveWaiting(now, held.sentTo);
        if (held.tandems > 0 && held.sentTo.place != held.call.destination()) {
            Alternate alternate = alternate(held.call.destination());
            alternate.tandem = held.sentTo;
            alternate.turnBacks = 0;
            alternate.pause.length = 0;
            roundWindow = Math.min(1, roundWindow + figures.roundGain);
        }
    }

    @Override
    public void onOutcome(long now, Outcome outcome) {
        Held held = calls.get(outcome.call());
        if (held == null || !held.out || outcome.attempt() != held.attempts - 1) {
            return;
        }
        held.out = false;
        Far far = held.sentTo;
        learnGroup(far, outcome.report());
        if (!held.stood) {
            far.unanswered--;
            own.unanswered--;
            judge(now, held, far, outcome);
        }
        if (outcome.closed() || held.closed) {
            calls.remove(outcome.call());
        } else {
            afterAttempt(now, held, far, outcome);
        }
        serveWaiting(now, far);
    }

    @Override
    public void onDropped(long now, long id) {
        Held held = calls.get(id);
        if (held != null) {
            close(held);
        }
    }

    @Override
    public void onExchangeList(long now, ListKind kind, List<Exchange> entries) {
        if (kind == ListKind.FAILED) {
            listRetry.grow(now, figures.listRetry, figures.listRetryMax);
            host.timer(listRetry.until, token(TOKEN_LIST, 0));
            return;
        }
        if (kind != ListKind.CACHED) {
            listRetry.length = 0;
        }
        if (kind != ListKind.DELTA) {
            for (Far far : fars) {
                far.readiness = Readiness.GONE;
            }
        }
        for (Exchange entry : entries) {
            if (settings.layout() == Layout.SKILLS || entry.place() != settings.ownPlace()) {
                learnEntry(now, entry);
            }
        }
        fars.removeIf(this::forgetIfGone);
    }

    /**
     * Guards against exchanges that are replaced again and again: what is known of one that has gone would
     * pile up, and its circuits would count beside its successor's, which lowers the share of a cold one.
     */
    private boolean forgetIfGone(Far far) {
        if (far.readiness != Readiness.GONE) {
            return false;
        }
        byAddress.remove(far.address);
        byPlace.get(far.place).remove(far);
        allCircuits -= Double.isNaN(far.circuits) ? 0 : far.circuits;
        far.circuits = Double.NaN;
        return true;
    }

    @Override
    public void onReport(long now, long exchange, Status status, long took, Report report) {
        Far far = byAddress.get(exchange);
        if (far != null && status == Status.OK) {
            learnGroup(far, report);
            serveWaiting(now, far);
        }
    }

    @Override
    public void onTimer(long now, long token) {
        long kind = token >>> TOKEN_SHIFT;
        Held held = calls.get(token & ((1L << TOKEN_SHIFT) - 1));
        if (kind == TOKEN_LIST) {
            host.subscribe(true);
        } else if (held != null && !held.closed && kind == TOKEN_RELEASE) {
            route(now, held);
        } else if (held != null && !held.closed && kind == TOKEN_DEADLINE) {
            giveUp(held);
        } else if (held != null && held.waits && kind == TOKEN_HOLD) {
            refuse(held, 0);
        }
    }

    @Override
    public void onPeer(long now, int from, byte[] message) {
        // Softswitches tell each other nothing yet.
    }

    // Routing.

    /** Finds the next exchange for a call, or answers it. */
    private void route(long now, Held held) {
        if (held.out || held.closed) {
            return;
        }
        if (held.attempts >= settings.maxAttempts()
                || held.deadline - now < figures.leastLimit + figures.answerMargin) {
            refuse(held, 0);
            return;
        }
        Far destination = at(held.call.destination());
        if (destination == null && settings.layout() == Layout.NETWORK) {
            refuse(held, 0);
            return;
        }
        long hold = holdNumber(now, held.call.number());
        if (hold > 0 && held.attempts == 0) {
            refuse(held, hold);
            return;
        }
        if (held.call.transit()) {
            if (admits(now, destination) && hasRoom(destination, held.call.width(), true)) {
                send(now, held, destination);
            } else {
                refuse(held, 0);
            }
            return;
        }
        if (destination != null && !held.directTried && mayRepeat(now, held, destination)) {
            if (!admits(now, destination)) {
                holdOrRefuse(now, held);
                return;
            }
            if (hasRoom(destination, held.call.width(), now >= held.aimAt)) {
                held.directTried = true;
                send(now, held, destination);
                return;
            }
        }
        Far tandem = held.tandems < figures.tandems && roundAdmits(destination) ? tandem(now, held) : null;
        if (tandem == null) {
            holdOrRefuse(now, held);
        } else {
            held.tandems++;
            send(now, held, tandem);
        }
    }

    /**
     * Queues a blocked call at source for room that comes free, while it can still stand within its aim; one
     * that is given up is answered at once. Guards against calls refused a moment before a circuit clears.
     * May hurt where nothing comes free for long: the refusal is later, not the loss greater.
     */
    private void holdOrRefuse(long now, Held held) {
        if (now >= held.holdUntil || held.directTried) {
            refuse(held, 0);
        } else if (!held.waits) {
            held.waits = true;
            int at = waiting.size();
            while (at > 0 && worthOfCircuit(waiting.get(at - 1)) < worthOfCircuit(held)) {
                at--;
            }
            waiting.add(at, held);
            host.timer(held.holdUntil, token(TOKEN_HOLD, held.call.id()));
        }
    }

    /** Gives what has come free toward an exchange to the calls held for it. */
    private void serveWaiting(long now, Far far) {
        if (waiting.isEmpty()) {
            return;
        }
        boolean all = ownShut;
        ownShut = false;
        for (Held held : new ArrayList<>(waiting)) {
            if (held.waits && (all || held.call.destination() == far.place)) {
                route(now, held);
            }
        }
    }

    /** Worth of a call for each circuit and second it takes. */
    private double worthOfCircuit(Held held) {
        CallClass callClass = settings.classes().get(held.call.callClass());
        return callClass.worth() / Math.max(1, held.call.width()) / Math.max(1, callClass.holding());
    }

    /** When a call was first tried: a number refused here not long ago is dialled again. */
    private long firstTry(long now, Call call, CallClass callClass) {
        Long first = call.transit() ? null : refused.get(call.number());
        if (first != null && now - first < callClass.deadline()) {
            return first;
        }
        return call.redial() ? now - callClass.aim() : now;
    }

    /**
     * Whether a blocked call may try a tandem. Guards against jams of crank-backs, where many destinations
     * see few calls each and no single one shows the jam: slow processors, lost circuits, a crowd. Pairs
     * without a group are not bound, a tandem being their ordinary way. May hurt after the jam, until enough
     * calls stood.
     */
    private boolean roundAdmits(Far destination) {
        return destination != null && destination.unlinked() || random.nextDouble() < roundWindow;
    }

    /** The remembered tandem while it serves, else one newly drawn, the centre's advice first. */
    private Far tandem(long now, Held held) {
        Far destination = at(held.call.destination());
        boolean leaveReserve = destination == null || !destination.unlinked();
        Alternate alternate = alternate(held.call.destination());
        if (alternate.tandem != null && serves(now, alternate.tandem, held, leaveReserve)) {
            return alternate.tandem;
        }
        alternate.tandem = null;
        if (now < alternate.pause.until) {
            return null;
        }
        Far advised = at(held.call.via());
        if (advised != null && serves(now, advised, held, leaveReserve)) {
            return advised;
        }
        double sum = 0;
        Far drawn = null;
        for (Far far : fars) {
            if (serves(now, far, held, leaveReserve)) {
                double room = Double.isNaN(far.free) ? 1 : 1 + far.free - reserve(far);
                sum += room;
                if (random.nextDouble() * sum < room) {
                    drawn = far;
                }
            }
        }
        return drawn;
    }

    /** Whether an exchange can be the tandem, or the pool of second choice, of a call. */
    private boolean serves(long now, Far far, Held held, boolean leaveReserve) {
        CallClass callClass = settings.classes().get(held.call.callClass());
        return far.readiness == Readiness.READY && far.place != held.call.destination()
                && !held.tried.contains(far)
                && (settings.layout() == Layout.NETWORK || callClass.pools().contains(far.place))
                && !far.silent() && !far.cold && hasRoom(far, held.call.width(), leaveReserve)
                && mayRepeat(now, held, far) && admits(now, far);
    }

    /** Room on the group toward an exchange; second choice and transit leave the reserve free. */
    private boolean hasRoom(Far far, double width, boolean leaveReserve) {
        return Double.isNaN(far.free) || far.free - width >= (leaveReserve ? reserve(far) : 0);
    }

    private double reserve(Far far) {
        return Double.isNaN(far.circuits) ? 1 : Math.min(
                Math.ceil(figures.reserve * Math.sqrt(far.circuits * meanWidth)),
                Math.floor(figures.reserveShare * Math.max(0, far.circuits - widest)));
    }

    /** Whether the window, and the budget of a cold or silent processor, let one more set-up go. */
    private boolean admits(long now, Far far) {
        if (own.unanswered >= own.window) {
            ownShut = true;
            return false;
        }
        if (far.silent()) {
            return far.unanswered == 0 && now - far.lastSend >= far.gap.length;
        }
        if (isCold(now, far) && far.coldCredit < 1) {
            return false;
        }
        if (far.unanswered == 0 && far.window < 1) {
            return random.nextDouble() < far.window;
        }
        return far.unanswered < far.window;
    }

    private void send(long now, Held held, Far far) {
        CallClass callClass = settings.classes().get(held.call.callClass());
        long latest = held.deadline - figures.answerMargin;
        long toAim = now >= held.aimAt ? now + callClass.aim()
                : Math.max(held.aimAt, now + callClass.aim() / 2);
        stopWaiting(held);
        held.attempts++;
        held.out = true;
        held.sentTo = far;
        held.tried.add(far);
        far.unanswered++;
        own.unanswered++;
        far.lastSend = now;
        far.free -= held.call.width();
        if (far.cold) {
            far.coldCredit--;
        }
        host.send(held.call.id(), far.address, held.call.transit() ? latest : Math.min(latest, toAim));
    }

    // Answers.

    /** What an attempt that did not stand says of the far processor. */
    private void judge(long now, Held held, Far far, Outcome outcome) {
        Status status = outcome.status();
        if ((status == Status.FULL || status == Status.ERROR) && outcome.took() <= slowAfter(held.call)) {
            ownGood();
        }
        switch (status) {
            case TIMEOUT, CONNECT_FAILED -> badAnswer(now, far, now - outcome.took(), true);
            case RESET -> cut(far);
            case FULL -> {
                if (outcome.cause() == Cause.PROCESSOR_FULL) {
                    if (far.window > figures.windowMin) {
                        far.missed = 0;
                    } else {
                        noGoodAnswer(now, far, now - outcome.took());
                    }
                    cut(far);
                } else {
                    goodAnswer(now, far);
                    Far beyond = at(held.call.destination());
                    if (outcome.cause() == Cause.BEYOND_FULL && beyond != null) {
                        cut(beyond);
                    }
                }
            }
            case ERROR -> {
                goodAnswer(now, far);
                if (outcome.cause() == Cause.LINES_BUSY) {
                    numberBusy(now, held.call.number());
                }
            }
            // Guards against a caller that gives up the one set-up toward a silent processor.
            case CANCELLED -> far.lastSend = far.silent() ? now - far.gap.length : far.lastSend;
            case MOOT -> {
                // Guards against circuits counted as taken by a set-up that never left.
                if (outcome.cause() == Cause.NONE) {
                    far.free += held.call.width();
                }
            }
            default -> { }
        }
    }

    /** What to do with a call whose attempt ended without standing. */
    private void afterAttempt(long now, Held held, Far far, Outcome outcome) {
        Status status = outcome.status();
        boolean provesNothingRan = status == Status.FULL || status == Status.CONNECT_FAILED
                || status == Status.MOOT;
        if (!provesNothingRan && held.maybeRanAt == null) {
            held.maybeRanAt = far;
            held.maybeRanSince = now - outcome.took();
        }
        if (status == Status.TIMEOUT || status == Status.RESET || status == Status.CANCELLED) {
            held.notBefore = now + settings.release();
        }
        if (far.place != held.call.destination()) {
            turnedBack(now, held, far);
        }
        boolean hopeless = held.call.transit() || outcome.cause() == Cause.LINES_BUSY
                || outcome.cause() == Cause.BEYOND_FULL || far.place == held.call.destination()
                && (outcome.cause() == Cause.PROCESSOR_FULL || status == Status.CONNECT_FAILED);
        if (status == Status.ERROR && held.faults++ < figures.faultsRetried) {
            held.directTried = false;
        }
        if (outcome.cause() == Cause.NO_CIRCUIT && status == Status.MOOT) {
            far.free = Math.min(far.free, 0);
            held.directTried = false;
        }
        if (hopeless || held.notBefore >= held.aimAt) {
            refuse(held, 0);
        } else if (held.notBefore > now) {
            host.timer(held.notBefore, token(TOKEN_RELEASE, held.call.id()));
        } else {
            route(now, held);
        }
    }

    /**
     * A tandem did not bring the call through: another is drawn next. Guards against lost work where no way
     * round has room: few circuits, a slow tandem, groups that lost circuits. It may hurt where room comes
     * back within the pause.
     */
    private void turnedBack(long now, Held held, Far far) {
        Alternate alternate = alternate(held.call.destination());
        if (alternate.tandem == far) {
            alternate.tandem = null;
        }
        alternate.turnBacks++;
        roundWindow = Math.max(figures.roundMin, roundWindow - figures.roundCut * (1 - 1 / gapScale));
        if (alternate.turnBacks >= figures.turnBacks) {
            alternate.pause.grow(now, figures.alternateGap, figures.alternateGapMax);
        }
    }

    private Alternate alternate(int destination) {
        return alternates.computeIfAbsent(destination, d -> new Alternate());
    }

    /**
     * A set-up went unanswered, or was refused by a full processor at the least window. Guards against
     * processors that hang, are gone or are slower than any window can tell, and against an own processor so
     * slow that nothing it sends is answered. May hurt in the seconds after the trouble has passed, until the
     * gap is worked off.
     */
    private void noGoodAnswer(long now, Far far, long sentAt) {
        if (far.missed++ == 0) {
            far.missedSince = now;
        }
        // Guards against a gap doubled at once by a whole window of set-ups that were sent before it began.
        if (far.silent() && sentAt < far.gap.grownAt) {
            return;
        }
        if (far.missed >= figures.silentAfter || far.silent()) {
            if (!far.silent()) {
                host.log("exchange " + far.place + " is gapped");
            }
            far.gap.grow(now, (long) (figures.silentGap * gapScale),
                    (long) (figures.silentGapMax * gapScale));
        }
    }

    private void goodAnswer(long now, Far far) {
        if (far.silent()) {
            far.gap.length /= figures.silentGapDivisor;
            if (far.gap.length < figures.silentGap * gapScale) {
                far.gap.length = 0;
                host.log("exchange " + far.place + " answers again");
            }
            if (far.missed > 0 && now - far.missedSince >= figures.silentRestart) {
                startCold(far, now, now);
            }
        }
        far.missed = 0;
        if (++far.good >= figures.goodAnswers) {
            far.good = 0;
            far.window = Math.min(figures.windowMax, far.window + figures.windowGain);
        }
    }

    /**
     * A set-up went unanswered or was answered late. Where several in a row did, toward more than one
     * exchange, the own processor is what they share, and its window is cut in place of theirs. Guards
     * against a slow or crowded own processor. May hurt where most exchanges are slow at once: this one then
     * sends less to all.
     */
    private void badAnswer(long now, Far far, long sentAt, boolean unanswered) {
        badAnswers++;
        badFromSeveral |= lastBad != null && lastBad != far;
        lastBad = far;
        if (badFromSeveral && badAnswers >= figures.ownBadAnswers) {
            own.good = 0;
            own.window = Math.max(figures.ownWindowMin,
                    Math.min(own.window, own.unanswered + 1) - figures.windowCut);
            return;
        }
        if (unanswered) {
            noGoodAnswer(now, far, sentAt);
        }
        cut(far);
    }

    private void ownGood() {
        badAnswers = 0;
        badFromSeveral = false;
        lastBad = null;
        if (++own.good >= figures.goodAnswers) {
            own.good = 0;
            own.window = Math.min(figures.windowMax, own.window + figures.windowGain);
        }
    }

    private long slowAfter(Call call) {
        return settings.resend() > 0 ? settings.resend()
                : (long) (figures.slowShare * settings.classes().get(call.callClass()).aim());
    }

    private void cut(Far far) {
        far.good = 0;
        far.window = Math.max(figures.windowMin, far.window - figures.windowCut);
    }

    // Final answers.

    private void refuse(Held held, long retryAfter) {
        CallClass callClass = settings.classes().get(held.call.callClass());
        boolean mayRefuse = held.maybeRanAt == null || callClass.effect() == Effect.SAFE
                || callClass.effect() == Effect.KEYED && callClass.group() == RepeatGroup.ALL;
        if (mayRefuse) {
            host.refuse(held.call.id(), settings.retryAfter() ? Math.min(retryAfter,
                    settings.maxRetryAfter()) : 0);
        } else {
            host.fail(held.call.id());
        }
        if (!held.call.transit() && held.call.number() != 0) {
            rememberRefused(held, callClass);
        }
        close(held);
    }

    private void rememberRefused(Held held, CallClass callClass) {
        long first = held.aimAt - callClass.aim();
        Iterator<Long> oldest = refused.values().iterator();
        while (oldest.hasNext() && first - oldest.next() > callClass.deadline()) {
            oldest.remove();
        }
        refused.putIfAbsent(held.call.number(), first);
    }

    private void stopWaiting(Held held) {
        if (held.waits) {
            held.waits = false;
            waiting.remove(held);
        }
    }

    /** The caller's time is up. */
    private void giveUp(Held held) {
        host.fail(held.call.id());
        close(held);
    }

    /** No answer is owed any longer; an attempt still out is withdrawn and its outcome awaited. */
    private void close(Held held) {
        if (held.closed) {
            return;
        }
        held.closed = true;
        stopWaiting(held);
        if (!held.out) {
            calls.remove(held.call.id());
        } else if (settings.cancel()) {
            host.cancel(held.call.id(), held.attempts - 1);
        }
    }

    /** Whether a class allows another send after an attempt that may have run. */
    private boolean mayRepeat(long now, Held held, Far far) {
        CallClass callClass = settings.classes().get(held.call.callClass());
        if (held.maybeRanAt == null || callClass.effect() == Effect.SAFE) {
            return true;
        }
        return callClass.effect() == Effect.KEYED && now - held.maybeRanSince < callClass.repeatWindow()
                && (callClass.group() == RepeatGroup.ALL || far == held.maybeRanAt);
    }

    // Hot numbers.

    private void numberBusy(long now, long number) {
        if (number == 0) {
            return;
        }
        hot.values().removeIf(h -> now - h.busyAt > figures.hotMemory);
        Hot h = hot.computeIfAbsent(number, n -> new Hot());
        h.busyAt = now;
        h.gap.grow(now, figures.hotGap, figures.hotGapMax);
    }

    /** How long a call to a number must still be held back; a call let through starts the next gap. */
    private long holdNumber(long now, long number) {
        Hot h = hot.get(number);
        if (h == null || now - h.busyAt > figures.hotMemory) {
            return 0;
        }
        if (now < h.gap.until) {
            return h.gap.until - now;
        }
        h.gap.until = now + h.gap.length;
        return 0;
    }

    // What is known of exchanges.

    private Far at(int place) {
        Far best = null;
        for (Far far : byPlace.getOrDefault(place, List.of())) {
            if (far.readiness == Readiness.READY && (best == null || far.upSince > best.upSince)) {
                best = far;
            }
        }
        return best;
    }

    private void learnEntry(long now, Exchange entry) {
        Far far = byAddress.get(entry.address());
        if (far == null && entry.readiness() == Readiness.GONE) {
            return;
        }
        if (far == null) {
            far = new Far(entry.address(), entry.place(), figures.windowStart);
            byAddress.put(entry.address(), far);
            byPlace.computeIfAbsent(far.place, p -> new ArrayList<>()).add(far);
            fars.add(far);
        }
        far.readiness = entry.readiness();
        if (entry.upSince() > far.upSince) {
            far.upSince = entry.upSince();
            // What went unanswered was the old processor's; the new one's credit bounds what is sent.
            far.gap.length = 0;
            far.missed = 0;
            if (now - far.upSince < settings.obligations().cold()) {
                startCold(far, now, far.upSince);
            }
        }
    }

    private void learnGroup(Far far, Report report) {
        if (!Double.isNaN(report.free())) {
            far.free = report.free();
        }
        if (!Double.isNaN(report.circuits()) && far.readiness != Readiness.GONE) {
            allCircuits += report.circuits() - (Double.isNaN(far.circuits) ? 0 : far.circuits);
            far.circuits = report.circuits();
        }
    }

    private void startCold(Far far, long now, long since) {
        far.cold = true;
        far.coldSince = since;
        far.coldCredit = random.nextDouble();
        far.creditAt = now;
        far.window = Math.min(far.window, figures.windowCold);
        far.good = 0;
        host.log("exchange " + far.place + " is cold");
    }

    /**
     * Whether a processor is still held to be cold; if so, its credit of set-ups grows by this sender's share
     * of what all may send. Kept in fractions: guards against many senders with shares below one;
     * random at the start, so that senders who hear of it together do not send together. May hurt where few
     * want to call: what the others leave is not used.
     */
    private boolean isCold(long now, Far far) {
        if (far.cold && now - far.coldSince > settings.obligations().cold()) {
            far.cold = false;
        }
        if (far.cold) {
            double since = (now - far.creditAt) / 1_000_000.0;
            far.coldCredit = Math.min(1, far.coldCredit) + since * coldRate(now, far);
            far.creditAt = now;
        }
        return far.cold;
    }

    /**
     * Set-ups a second that this sender may send a cold processor: the rule's multiple of its usual rate
     * toward it, told by the own subscribers' calls and the groups, so that all shares add up to the whole.
     */
    private double coldRate(long now, Far far) {
        Obligations rules = settings.obligations();
        double rate = ownRate / (1 - Math.exp((startedAt - now - figures.rateLeastTime) / figures.rateTime));
        double part = Double.isNaN(far.circuits) || allCircuits == 0
                ? 1.0 / Math.max(1, settings.softswitches() - 1) : far.circuits / allCircuits;
        return figures.coldSafety * rules.fallMultiple() * rules.coldShare()
                * figures.capacityPerOwnCall * rate * part;
    }

    private static long token(long kind, long id) {
        return kind << TOKEN_SHIFT | id;
    }
}
