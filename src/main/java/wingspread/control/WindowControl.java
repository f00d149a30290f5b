// Interface: CallControl.java (settings, events, actions, types). All decisions of the call control are made
// in this file; their parameters are declared in a class of their own.
package wingspread.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The window-based overload control of Noel and Johnson ("Novel Overload Controls for SIP Networks",
 * section III) for one exchange, with the parameters of {@link ControlParameters}.
 *
 * <p>For each far processor it keeps a real-valued window of unanswered set-ups, which grows slowly on good
 * answers and is cut sharply on 'processor full', time-out and reset. A call takes the direct route while the
 * group of circuits to its destination has free circuits, and otherwise the tandem remembered for that
 * destination. Calls that the window does not admit are refused here, at the source.
 *
 * <p>All times are microseconds on the host's clock.
 */
public final class WindowControl implements CallControl {

    private static final long TOKEN_DEADLINE = 0;
    private static final long TOKEN_RETRY = 1;
    private static final long TOKEN_LIST_RETRY = 2;
    private static final long TOKEN_HOLD_END = 3;
    private static final int TOKEN_SHIFT = 56;
    private static final int MAX_REFUSED_NUMBERS = 4_096;

    private final Settings settings;
    private final ControlParameters parameters;
    private final Host host;
    private final SplittableRandom random;
    private final double meanWidth;
    private final double maxWidth;
    private final double gapScale;
    /** The number of circuits in all groups from this exchange. */
    private double totalCircuits;
    /** The far exchanges, in the order in which they were first listed. */
    private final List<FarExchange> exchanges = new ArrayList<>();
    private final Map<Long, FarExchange> exchangesByAddress = new HashMap<>();
    private final Map<Integer, List<FarExchange>> exchangesByPlace = new HashMap<>();
    private final Map<Long, CallState> calls = new HashMap<>();
    private final Map<Integer, AlternateRoute> alternateRoutes = new HashMap<>();
    private final Map<Long, HotNumber> hotNumbers = new LinkedHashMap<>();
    /** The calls held at source, in descending order of value per circuit and second. */
    private final List<CallState> heldCalls = new ArrayList<>();
    /** When a number that was refused here was first offered, to recognize redials. */
    private final Map<Long, Long> refusedNumbers = new LinkedHashMap<>();
    /** The window over all set-ups from here, which protects the own processor. */
    private final FarExchange ownProcessor;
    /**
     * Late and missing answers since the last timely one; from several exchanges they indicate own overload.
     */
    private int consecutiveBadAnswers;
    private boolean badAnswersFromSeveral;
    private FarExchange lastBadExchange;
    /** Whether the own window has rejected a set-up since held calls were last served. */
    private boolean blockedByOwnWindow;
    private final Gap listRetryGap = new Gap();
    /** The probability with which a blocked call may try a tandem. */
    private double tandemProbability = 1;
    /** Decaying average of the calls per second from own subscribers, as of {@code ownCallRateAt}. */
    private double ownCallRate;
    private long ownCallRateAt;
    private final long startedAt;

    /**
     * A far exchange: the window of its processor, the group of circuits to it and the state of its health.
     */
    private static final class FarExchange {
        final long address;
        final int place;
        Readiness readiness = Readiness.GONE;
        long upSince;
        double window;
        /** Set-ups that were sent and have no answer yet. */
        int unanswered;
        /** Good answers since the window was last changed. */
        int goodAnswers;
        double freeCircuits = Double.NaN;
        double circuits = Double.NaN;
        boolean cold;
        long coldSince;
        /** Set-ups that may be sent to the cold processor now. */
        double coldCredit;
        long coldCreditAt;
        /** Set-ups counted by {@link #recordMissedAnswer} since the last good answer. */
        int missedAnswers;
        long missedAnswersSince;
        final Gap gap = new Gap();
        long lastSetUpAt;

        FarExchange(long address, int place, double window) {
            this.address = address;
            this.place = place;
            this.window = window;
        }

        /** Whether there is no group of circuits to this exchange, so that calls need a tandem. */
        boolean hasNoDirectGroup() {
            return circuits == 0;
        }

        /**
         * Whether set-ups are limited to one per gap, because the processor is overloaded or unresponsive.
         */
        boolean isGapped() {
            return gap.lengthMicros > 0;
        }
    }

    /** A call from its arrival to the outcome of its last attempt. */
    private static final class CallState {
        final Call call;
        final long deadline;
        /** The time by which the call should be established. */
        final long aimAt;
        /** The time until which the call may be held at source. */
        final long holdUntil;
        int attempts;
        int tandemAttempts;
        boolean directTried;
        int signallingFaults;
        boolean attemptPending;
        boolean established;
        /** Whether the call needs no final answer any longer. */
        boolean closed;
        long retryNotBefore;
        FarExchange lastExchange;
        boolean heldAtSource;
        final List<FarExchange> triedExchanges = new ArrayList<>();
        /** The first exchange that may have executed the set-up without a usable answer, null for none. */
        FarExchange maybeExecutedBy;
        long maybeExecutedSince;

        CallState(Call call, long firstOfferedAt, long aim, double holdShare) {
            this.call = call;
            this.deadline = call.deadline();
            this.aimAt = firstOfferedAt + aim;
            this.holdUntil = firstOfferedAt + (long) (holdShare * aim);
        }
    }

    /**
     * The alternate route to one destination: the last tandem that worked, and the pause while none works.
     */
    private static final class AlternateRoute {
        FarExchange tandem;
        /** Crankbacks since a tandem last completed a call. */
        int crankbacks;
        final Gap pause = new Gap();
    }

    /** A number whose lines were busy, last at {@code busyAt}. */
    private static final class HotNumber {
        final Gap gap = new Gap();
        long busyAt;
    }

    /**
     * A gap between calls (call gapping): initially zero, doubled by each failure between a minimum and a
     * maximum.
     */
    private static final class Gap {
        long lengthMicros;
        long until;
        long grownAt;

        void grow(long now, long min, long max) {
            grownAt = now;
            lengthMicros = Math.max(min, Math.min(2 * lengthMicros, max));
            until = now + lengthMicros;
        }
    }

    /**
     * Creates a control that knows no exchange yet.
     *
     * @param seed the seed of all random choices, so that the same events give the same actions
     */
    public WindowControl(long now, Settings settings, ControlParameters parameters, long seed, Host host) {
        this.settings = settings;
        this.parameters = parameters;
        this.host = host;
        this.random = new SplittableRandom(seed);
        this.ownCallRateAt = now;
        this.startedAt = now;
        this.gapScale = Math.max(1, settings.softswitches() / parameters.fewSenders);
        this.ownProcessor = new FarExchange(-1, -1, parameters.ownWindowStart);
        this.meanWidth = settings.classes().stream().mapToDouble(CallClass::width).average().orElse(1);
        this.maxWidth = settings.classes().stream().mapToDouble(CallClass::width).max().orElse(1);
        if (settings.askForList()) {
            host.subscribe(true);
        }
    }

    // Events.

    @Override
    public void onCall(long now, Call call) {
        CallClass callClass = settings.classes().get(call.callClass());
        CallState state = new CallState(call, firstOfferedAt(now, call, callClass), callClass.aim(),
                parameters.holdShare);
        calls.put(call.id(), state);
        if (!call.transit()) {
            ownCallRate = ownCallRate * Math.exp((ownCallRateAt - now) / parameters.rateTimeConstantMicros)
                    + 1_000_000 / parameters.rateTimeConstantMicros;
            ownCallRateAt = now;
        }
        host.setCallTimer(call.id(), Math.max(now, call.deadline() - parameters.answerMarginMicros),
                token(TOKEN_DEADLINE, call.id()));
        route(now, state);
    }

    @Override
    public void onCallEstablished(long now, long id, int attempt, long address, long elapsed) {
        CallState state = calls.get(id);
        if (state == null || !state.attemptPending || attempt != state.attempts - 1 || state.established) {
            return;
        }
        state.established = true;
        state.closed = true;
        recordGoodAnswer(now, state.lastExchange);
        if (elapsed > slowThreshold(state.call)) {
            recordBadAnswer(now, state.lastExchange, now - elapsed, false);
        } else {
            recordOwnGoodAnswer();
        }
        state.lastExchange.unanswered--;
        ownProcessor.unanswered--;
        serveHeldCalls(now, state.lastExchange);
        if (state.tandemAttempts > 0 && state.lastExchange.place != state.call.destination()) {
            AlternateRoute route = alternateRoute(state.call.destination());
            route.tandem = state.lastExchange;
            route.crankbacks = 0;
            route.pause.lengthMicros = 0;
            tandemProbability = Math.min(1, tandemProbability + parameters.tandemProbabilityGain);
        }
    }

    @Override
    public void onOutcome(long now, Outcome outcome) {
        CallState state = calls.get(outcome.call());
        if (state == null || !state.attemptPending || outcome.attempt() != state.attempts - 1) {
            return;
        }
        state.attemptPending = false;
        FarExchange exchange = state.lastExchange;
        updateCircuits(exchange, outcome.report());
        if (!state.established) {
            exchange.unanswered--;
            ownProcessor.unanswered--;
            evaluateOutcome(now, state, exchange, outcome);
        }
        if (outcome.closed() || state.closed) {
            calls.remove(outcome.call());
        } else {
            handleFailedAttempt(now, state, exchange, outcome);
        }
        serveHeldCalls(now, exchange);
    }

    @Override
    public void onCallDropped(long now, long id) {
        CallState state = calls.get(id);
        if (state != null) {
            close(state);
        }
    }

    @Override
    public void onExchangeList(long now, ListKind kind, List<Exchange> entries) {
        if (kind == ListKind.FAILED) {
            listRetryGap.grow(now, parameters.listRetryMicros, parameters.listRetryMaxMicros);
            host.setTimer(listRetryGap.until, token(TOKEN_LIST_RETRY, 0));
            return;
        }
        if (kind != ListKind.CACHED) {
            listRetryGap.lengthMicros = 0;
        }
        if (kind != ListKind.DELTA) {
            for (FarExchange exchange : exchanges) {
                exchange.readiness = Readiness.GONE;
            }
        }
        for (Exchange entry : entries) {
            if (settings.layout() == Layout.SKILLS || entry.place() != settings.ownPlace()) {
                updateExchange(now, entry);
            }
        }
        exchanges.removeIf(this::removeIfGone);
    }

    @Override
    public int avoidedExchanges() {
        return (int) exchanges.stream()
                .filter(exchange -> exchange.readiness == Readiness.DRAINING || exchange.isGapped()).count();
    }

    /**
     * Removes an exchange that is no longer listed, and returns whether it did. Otherwise the state of
     * exchanges that are replaced repeatedly would accumulate, and their circuits would be counted in
     * addition to those of their successors, which lowers the share computed for a cold exchange.
     */
    private boolean removeIfGone(FarExchange exchange) {
        if (exchange.readiness != Readiness.GONE) {
            return false;
        }
        exchangesByAddress.remove(exchange.address);
        exchangesByPlace.get(exchange.place).remove(exchange);
        totalCircuits -= Double.isNaN(exchange.circuits) ? 0 : exchange.circuits;
        exchange.circuits = Double.NaN;
        return true;
    }

    @Override
    public void onReport(long now, long address, Status status, long elapsed, Report report) {
        FarExchange exchange = exchangesByAddress.get(address);
        if (exchange != null && status == Status.OK) {
            updateCircuits(exchange, report);
            serveHeldCalls(now, exchange);
        }
    }

    @Override
    public void onTimer(long now, long token) {
        long kind = token >>> TOKEN_SHIFT;
        CallState state = calls.get(token & ((1L << TOKEN_SHIFT) - 1));
        if (kind == TOKEN_LIST_RETRY) {
            host.subscribe(true);
        } else if (state != null && !state.closed && kind == TOKEN_RETRY) {
            route(now, state);
        } else if (state != null && !state.closed && kind == TOKEN_DEADLINE) {
            failAtDeadline(state);
        } else if (state != null && state.heldAtSource && kind == TOKEN_HOLD_END) {
            refuse(state, 0);
        }
    }

    @Override
    public void onPeer(long now, int from, byte[] message) {
        // Softswitches do not exchange messages yet.
    }

    // Routing.

    /** Sends a call to the next exchange on its routes, holds it at source or refuses it. */
    private void route(long now, CallState state) {
        if (state.attemptPending || state.closed) {
            return;
        }
        if (state.attempts >= settings.maxAttempts()
                || state.deadline - now < parameters.minAttemptMicros + parameters.answerMarginMicros) {
            refuse(state, 0);
            return;
        }
        FarExchange destination = readyExchangeAt(state.call.destination());
        if (destination == null && settings.layout() == Layout.NETWORK) {
            refuse(state, 0);
            return;
        }
        long numberGap = remainingNumberGap(now, state.call.number());
        if (numberGap > 0 && state.attempts == 0) {
            refuse(state, numberGap);
            return;
        }
        if (state.call.transit()) {
            if (admits(now, destination) && hasFreeCircuits(destination, state.call.width(), true)) {
                send(now, state, destination);
            } else {
                refuse(state, 0);
            }
            return;
        }
        if (destination != null && !state.directTried && mayRepeat(now, state, destination)) {
            if (!admits(now, destination)) {
                holdOrRefuse(now, state);
                return;
            }
            if (hasFreeCircuits(destination, state.call.width(), now >= state.aimAt)) {
                state.directTried = true;
                send(now, state, destination);
                return;
            }
        }
        FarExchange tandem = state.tandemAttempts < parameters.maxTandemsPerCall && mayTryTandem(destination)
                ? chooseTandem(now, state) : null;
        if (tandem == null) {
            holdOrRefuse(now, state);
        } else {
            state.tandemAttempts++;
            send(now, state, tandem);
        }
    }

    /**
     * Holds a blocked call at source until capacity becomes free, as long as it can still be established
     * within its aim, and refuses it otherwise. Prevents the refusal of calls just before a circuit becomes
     * free. Drawback: where nothing becomes free for long, calls are refused later, though no more are lost.
     */
    private void holdOrRefuse(long now, CallState state) {
        if (now >= state.holdUntil || state.directTried) {
            refuse(state, 0);
        } else if (!state.heldAtSource) {
            state.heldAtSource = true;
            int at = heldCalls.size();
            while (at > 0 && valuePerCircuitSecond(heldCalls.get(at - 1)) < valuePerCircuitSecond(state)) {
                at--;
            }
            heldCalls.add(at, state);
            host.setCallTimer(state.call.id(), state.holdUntil, token(TOKEN_HOLD_END, state.call.id()));
        }
    }

    /**
     * Routes the held calls again after capacity toward an exchange has become free: those for this exchange,
     * or all where the own window was what blocked them.
     */
    private void serveHeldCalls(long now, FarExchange exchange) {
        if (heldCalls.isEmpty()) {
            return;
        }
        boolean all = blockedByOwnWindow;
        blockedByOwnWindow = false;
        for (CallState state : new ArrayList<>(heldCalls)) {
            if (state.heldAtSource && (all || state.call.destination() == exchange.place)) {
                route(now, state);
            }
        }
    }

    /** Returns the value of a call per circuit and second that it occupies. */
    private double valuePerCircuitSecond(CallState state) {
        CallClass callClass = settings.classes().get(state.call.callClass());
        return callClass.worth() / Math.max(1, state.call.width()) / Math.max(1, callClass.holding());
    }

    /**
     * Returns when a call was first offered. A call to a number that was refused here within the caller's
     * waiting time is a redial and counts from the first offer; one only marked as a redial counts as past
     * its aim.
     */
    private long firstOfferedAt(long now, Call call, CallClass callClass) {
        Long first = call.transit() ? null : refusedNumbers.get(call.number());
        if (first != null && now - first < callClass.deadline()) {
            return first;
        }
        return call.redial() ? now - callClass.aim() : now;
    }

    /**
     * Whether a blocked call may try a tandem. Prevents congestion by crankbacks, where many destinations
     * receive few calls each and no single one reveals the congestion: slow processors, lost circuits, a
     * flash crowd. Destinations without a direct group are exempt, because a tandem is their normal route.
     * Drawback: after the congestion, tandems stay limited until enough calls have been established.
     */
    private boolean mayTryTandem(FarExchange destination) {
        return destination != null && destination.hasNoDirectGroup()
                || random.nextDouble() < tandemProbability;
    }

    /**
     * Returns the remembered tandem while it is usable, else the one advised by the control centre, else one
     * chosen at random in proportion to its free circuits; null if there is none or alternate routing is
     * paused.
     */
    private FarExchange chooseTandem(long now, CallState state) {
        FarExchange destination = readyExchangeAt(state.call.destination());
        boolean leaveReserve = destination == null || !destination.hasNoDirectGroup();
        AlternateRoute route = alternateRoute(state.call.destination());
        if (route.tandem != null && isUsableTandem(now, route.tandem, state, leaveReserve)) {
            return route.tandem;
        }
        route.tandem = null;
        if (now < route.pause.until) {
            return null;
        }
        FarExchange advised = readyExchangeAt(state.call.via());
        if (advised != null && isUsableTandem(now, advised, state, leaveReserve)) {
            return advised;
        }
        double sum = 0;
        FarExchange chosen = null;
        for (FarExchange exchange : exchanges) {
            if (isUsableTandem(now, exchange, state, leaveReserve)) {
                double weight = Double.isNaN(exchange.freeCircuits)
                        ? 1 : 1 + exchange.freeCircuits - reservedCircuits(exchange);
                sum += weight;
                if (random.nextDouble() * sum < weight) {
                    chosen = exchange;
                }
            }
        }
        return chosen;
    }

    /** Whether an exchange is usable as the tandem, or as the pool of second choice, for a call. */
    private boolean isUsableTandem(long now, FarExchange exchange, CallState state, boolean leaveReserve) {
        CallClass callClass = settings.classes().get(state.call.callClass());
        return exchange.readiness == Readiness.READY && exchange.place != state.call.destination()
                && !state.triedExchanges.contains(exchange)
                && (settings.layout() == Layout.NETWORK || callClass.pools().contains(exchange.place))
                && !exchange.isGapped() && !exchange.cold
                && hasFreeCircuits(exchange, state.call.width(), leaveReserve)
                && mayRepeat(now, state, exchange) && admits(now, exchange);
    }

    /**
     * Whether the group toward an exchange has free circuits; alternate and transit calls leave the reserve.
     */
    private boolean hasFreeCircuits(FarExchange exchange, double width, boolean leaveReserve) {
        return Double.isNaN(exchange.freeCircuits)
                || exchange.freeCircuits - width >= (leaveReserve ? reservedCircuits(exchange) : 0);
    }

    /** Returns the circuits kept for direct calls (trunk reservation) on the group toward an exchange. */
    private double reservedCircuits(FarExchange exchange) {
        return Double.isNaN(exchange.circuits) ? 1 : Math.min(
                Math.ceil(parameters.reserve * Math.sqrt(exchange.circuits * meanWidth)),
                Math.floor(parameters.reserveShare * Math.max(0, exchange.circuits - maxWidth)));
    }

    /** Whether the windows, and the budget of a cold or unresponsive processor, admit one more set-up. */
    private boolean admits(long now, FarExchange exchange) {
        if (ownProcessor.unanswered >= ownProcessor.window) {
            blockedByOwnWindow = true;
            return false;
        }
        if (exchange.isGapped()) {
            return exchange.unanswered == 0 && now - exchange.lastSetUpAt >= exchange.gap.lengthMicros;
        }
        if (isCold(now, exchange) && exchange.coldCredit < 1) {
            return false;
        }
        if (exchange.unanswered == 0 && exchange.window < 1) {
            return random.nextDouble() < exchange.window;
        }
        return exchange.unanswered < exchange.window;
    }

    private void send(long now, CallState state, FarExchange exchange) {
        CallClass callClass = settings.classes().get(state.call.callClass());
        long deadlineLimit = state.deadline - parameters.answerMarginMicros;
        long aimLimit = now >= state.aimAt ? now + callClass.aim()
                : Math.max(state.aimAt, now + callClass.aim() / 2);
        removeFromHeldCalls(state);
        state.attempts++;
        state.attemptPending = true;
        state.lastExchange = exchange;
        state.triedExchanges.add(exchange);
        exchange.unanswered++;
        ownProcessor.unanswered++;
        exchange.lastSetUpAt = now;
        exchange.freeCircuits -= state.call.width();
        if (exchange.cold) {
            exchange.coldCredit--;
        }
        host.send(state.call.id(), exchange.address,
                state.call.transit() ? deadlineLimit : Math.min(deadlineLimit, aimLimit));
    }

    // Answers.

    /**
     * Updates the state of the far processor by the outcome of an attempt that did not establish its call.
     */
    private void evaluateOutcome(long now, CallState state, FarExchange exchange, Outcome outcome) {
        Status status = outcome.status();
        if ((status == Status.FULL || status == Status.ERROR)
                && outcome.elapsed() <= slowThreshold(state.call)) {
            recordOwnGoodAnswer();
        }
        switch (status) {
            case TIMEOUT, CONNECT_FAILED -> recordBadAnswer(now, exchange, now - outcome.elapsed(), true);
            case RESET -> cutWindow(exchange);
            case FULL -> {
                if (outcome.cause() == Cause.PROCESSOR_FULL) {
                    if (exchange.window > parameters.windowMin) {
                        exchange.missedAnswers = 0;
                    } else {
                        recordMissedAnswer(now, exchange, now - outcome.elapsed());
                    }
                    cutWindow(exchange);
                } else {
                    recordGoodAnswer(now, exchange);
                    FarExchange destination = readyExchangeAt(state.call.destination());
                    if (outcome.cause() == Cause.BEYOND_FULL && destination != null) {
                        cutWindow(destination);
                    }
                }
            }
            case ERROR -> {
                recordGoodAnswer(now, exchange);
                if (outcome.cause() == Cause.LINES_BUSY) {
                    recordBusyNumber(now, state.call.number());
                }
            }
            // The caller cancelled the only set-up that the gap allowed: allow another one now.
            case CANCELLED -> exchange.lastSetUpAt =
                    exchange.isGapped() ? now - exchange.gap.lengthMicros : exchange.lastSetUpAt;
            case MOOT -> {
                // The set-up was never sent, so it occupies no circuits.
                if (outcome.cause() == Cause.NONE) {
                    exchange.freeCircuits += state.call.width();
                }
            }
            default -> { }
        }
    }

    /** Routes a call again or refuses it after an attempt that did not establish it. */
    private void handleFailedAttempt(long now, CallState state, FarExchange exchange, Outcome outcome) {
        Status status = outcome.status();
        boolean provesNotExecuted = status == Status.FULL || status == Status.CONNECT_FAILED
                || status == Status.MOOT;
        if (!provesNotExecuted && state.maybeExecutedBy == null) {
            state.maybeExecutedBy = exchange;
            state.maybeExecutedSince = now - outcome.elapsed();
        }
        if (status == Status.TIMEOUT || status == Status.RESET || status == Status.CANCELLED) {
            state.retryNotBefore = now + settings.release();
        }
        if (exchange.place != state.call.destination()) {
            recordCrankback(now, state, exchange);
        }
        boolean noFurtherAttempt = state.call.transit() || outcome.cause() == Cause.LINES_BUSY
                || outcome.cause() == Cause.BEYOND_FULL || exchange.place == state.call.destination()
                && (outcome.cause() == Cause.PROCESSOR_FULL || status == Status.CONNECT_FAILED);
        if (status == Status.ERROR && state.signallingFaults++ < parameters.maxFaultRetries) {
            state.directTried = false;
        }
        if (outcome.cause() == Cause.NO_CIRCUIT && status == Status.MOOT) {
            exchange.freeCircuits = Math.min(exchange.freeCircuits, 0);
            state.directTried = false;
        }
        if (noFurtherAttempt || state.retryNotBefore >= state.aimAt) {
            refuse(state, 0);
        } else if (state.retryNotBefore > now) {
            host.setCallTimer(state.call.id(), state.retryNotBefore, token(TOKEN_RETRY, state.call.id()));
        } else {
            route(now, state);
        }
    }

    /**
     * Records that a tandem did not complete a call, so that another one is chosen next. Prevents wasted work
     * where no alternate route has capacity: few circuits, a slow tandem, groups that lost circuits.
     * Drawback: capacity that becomes free within the pause stays unused.
     */
    private void recordCrankback(long now, CallState state, FarExchange exchange) {
        AlternateRoute route = alternateRoute(state.call.destination());
        if (route.tandem == exchange) {
            route.tandem = null;
        }
        route.crankbacks++;
        tandemProbability = Math.max(parameters.tandemProbabilityMin,
                tandemProbability - parameters.tandemProbabilityCut * (1 - 1 / gapScale));
        if (route.crankbacks >= parameters.crankbacksBeforePause) {
            route.pause.grow(now, parameters.alternateGapMicros, parameters.alternateGapMaxMicros);
        }
    }

    private AlternateRoute alternateRoute(int destination) {
        return alternateRoutes.computeIfAbsent(destination, d -> new AlternateRoute());
    }

    /**
     * Records a set-up that was not answered, or was refused by a full processor whose window is at its
     * minimum, and starts or extends call gapping. Protects against processors that hang, have disappeared or
     * are slower than any window can express, and against an own processor so slow that none of its set-ups
     * are answered. Drawback: after recovery, calls are limited for some seconds until the gap has shrunk.
     */
    private void recordMissedAnswer(long now, FarExchange exchange, long sentAt) {
        if (exchange.missedAnswers++ == 0) {
            exchange.missedAnswersSince = now;
        }
        // Set-ups sent before the gap last grew must not double it again: a full window would do so at once.
        if (exchange.isGapped() && sentAt < exchange.gap.grownAt) {
            return;
        }
        if (exchange.missedAnswers >= parameters.gapAfterMissedAnswers || exchange.isGapped()) {
            if (!exchange.isGapped()) {
                host.log("exchange " + exchange.place
                        + " is overloaded or unresponsive, call gapping started");
            }
            exchange.gap.grow(now, (long) (parameters.silentGapMicros * gapScale),
                    (long) (parameters.silentGapMaxMicros * gapScale));
        }
    }

    private void recordGoodAnswer(long now, FarExchange exchange) {
        if (exchange.isGapped()) {
            exchange.gap.lengthMicros /= parameters.silentGapDivisor;
            if (exchange.gap.lengthMicros < parameters.silentGapMicros * gapScale) {
                exchange.gap.lengthMicros = 0;
                host.log("exchange " + exchange.place + " answers again, call gapping ended");
            }
            if (exchange.missedAnswers > 0
                    && now - exchange.missedAnswersSince >= parameters.silentRestartMicros) {
                startColdPeriod(exchange, now, now);
            }
        }
        exchange.missedAnswers = 0;
        if (++exchange.goodAnswers >= parameters.goodAnswers) {
            exchange.goodAnswers = 0;
            exchange.window = Math.min(parameters.windowMax, exchange.window + parameters.windowGain);
        }
    }

    /**
     * Records a set-up that was answered late or not at all. Several in succession, toward more than one
     * exchange, point to the own processor as their common cause, whose window is then cut instead of theirs.
     * Protects against a slow or overloaded own processor. Drawback: where most exchanges are slow at once,
     * this one sends less to all.
     */
    private void recordBadAnswer(long now, FarExchange exchange, long sentAt, boolean unanswered) {
        consecutiveBadAnswers++;
        badAnswersFromSeveral |= lastBadExchange != null && lastBadExchange != exchange;
        lastBadExchange = exchange;
        if (badAnswersFromSeveral && consecutiveBadAnswers >= parameters.ownBadAnswers) {
            ownProcessor.goodAnswers = 0;
            ownProcessor.window = Math.max(parameters.ownWindowMin,
                    Math.min(ownProcessor.window, ownProcessor.unanswered + 1) - parameters.windowCut);
            return;
        }
        if (unanswered) {
            recordMissedAnswer(now, exchange, sentAt);
        }
        cutWindow(exchange);
    }

    private void recordOwnGoodAnswer() {
        consecutiveBadAnswers = 0;
        badAnswersFromSeveral = false;
        lastBadExchange = null;
        if (++ownProcessor.goodAnswers >= parameters.goodAnswers) {
            ownProcessor.goodAnswers = 0;
            ownProcessor.window = Math.min(parameters.windowMax, ownProcessor.window + parameters.windowGain);
        }
    }

    /** Returns the duration above which an answer counts as late. */
    private long slowThreshold(Call call) {
        return settings.resend() > 0 ? settings.resend()
                : (long) (parameters.slowShare * settings.classes().get(call.callClass()).aim());
    }

    private void cutWindow(FarExchange exchange) {
        exchange.goodAnswers = 0;
        exchange.window = Math.max(parameters.windowMin, exchange.window - parameters.windowCut);
    }

    // Final answers.

    /**
     * Refuses a call, or fails it where an attempt may have been executed and a repeat would not be
     * recognized.
     */
    private void refuse(CallState state, long retryAfter) {
        CallClass callClass = settings.classes().get(state.call.callClass());
        boolean mayRefuse = state.maybeExecutedBy == null || callClass.effect() == Effect.SAFE
                || callClass.effect() == Effect.KEYED && callClass.group() == RepeatGroup.ALL;
        if (mayRefuse) {
            host.refuse(state.call.id(), settings.retryAfter() ? Math.min(retryAfter,
                    settings.maxRetryAfter()) : 0);
        } else {
            host.fail(state.call.id());
        }
        if (!state.call.transit() && state.call.number() != 0) {
            rememberRefused(state, callClass);
        }
        close(state);
    }

    private void rememberRefused(CallState state, CallClass callClass) {
        long first = state.aimAt - callClass.aim();
        boolean full = refusedNumbers.size() >= MAX_REFUSED_NUMBERS
                && !refusedNumbers.containsKey(state.call.number());
        Iterator<Long> oldest = refusedNumbers.values().iterator();
        while (oldest.hasNext() && (first - oldest.next() > callClass.deadline() || full)) {
            oldest.remove();
            full = false;
        }
        refusedNumbers.putIfAbsent(state.call.number(), first);
    }

    private void removeFromHeldCalls(CallState state) {
        if (state.heldAtSource) {
            state.heldAtSource = false;
            heldCalls.remove(state);
        }
    }

    /** Fails a call whose deadline has come. */
    private void failAtDeadline(CallState state) {
        host.fail(state.call.id());
        close(state);
    }

    /**
     * Closes a call that needs no final answer any longer; a pending attempt is cancelled and its outcome
     * awaited.
     */
    private void close(CallState state) {
        if (state.closed) {
            return;
        }
        state.closed = true;
        removeFromHeldCalls(state);
        if (!state.attemptPending) {
            calls.remove(state.call.id());
        } else if (settings.cancel()) {
            host.cancel(state.call.id(), state.attempts - 1);
        }
    }

    /**
     * Whether the class of a call allows an attempt at an exchange, given that an earlier one may have been
     * executed.
     */
    private boolean mayRepeat(long now, CallState state, FarExchange exchange) {
        CallClass callClass = settings.classes().get(state.call.callClass());
        if (state.maybeExecutedBy == null || callClass.effect() == Effect.SAFE) {
            return true;
        }
        return callClass.effect() == Effect.KEYED && now - state.maybeExecutedSince < callClass.repeatWindow()
                && (callClass.group() == RepeatGroup.ALL || exchange == state.maybeExecutedBy);
    }

    // Hot numbers.

    private void recordBusyNumber(long now, long number) {
        if (number == 0) {
            return;
        }
        hotNumbers.values().removeIf(hotNumber -> now - hotNumber.busyAt > parameters.hotMemoryMicros);
        HotNumber hotNumber = hotNumbers.computeIfAbsent(number, n -> new HotNumber());
        hotNumber.busyAt = now;
        hotNumber.gap.grow(now, parameters.hotGapMicros, parameters.hotGapMaxMicros);
    }

    /** Returns the time left in the gap for a number; 0 admits the call, which starts the next gap. */
    private long remainingNumberGap(long now, long number) {
        HotNumber hotNumber = hotNumbers.get(number);
        if (hotNumber == null || now - hotNumber.busyAt > parameters.hotMemoryMicros) {
            return 0;
        }
        if (now < hotNumber.gap.until) {
            return hotNumber.gap.until - now;
        }
        hotNumber.gap.until = now + hotNumber.gap.lengthMicros;
        return 0;
    }

    // State of the exchanges.

    /** Returns the ready exchange at a place that was started last, or null. */
    private FarExchange readyExchangeAt(int place) {
        FarExchange best = null;
        for (FarExchange exchange : exchangesByPlace.getOrDefault(place, List.of())) {
            if (exchange.readiness == Readiness.READY && (best == null || exchange.upSince > best.upSince)) {
                best = exchange;
            }
        }
        return best;
    }

    private void updateExchange(long now, Exchange entry) {
        FarExchange exchange = exchangesByAddress.get(entry.address());
        if (exchange == null && entry.readiness() == Readiness.GONE) {
            return;
        }
        if (exchange == null) {
            exchange = new FarExchange(entry.address(), entry.place(), parameters.windowStart);
            exchangesByAddress.put(entry.address(), exchange);
            exchangesByPlace.computeIfAbsent(exchange.place, p -> new ArrayList<>()).add(exchange);
            exchanges.add(exchange);
        }
        exchange.readiness = entry.readiness();
        if (entry.upSince() > exchange.upSince) {
            exchange.upSince = entry.upSince();
            // The missed answers were those of the previous process; the cold credit now limits the set-ups.
            exchange.gap.lengthMicros = 0;
            exchange.missedAnswers = 0;
            if (now - exchange.upSince < settings.obligations().cold()) {
                startColdPeriod(exchange, now, exchange.upSince);
            }
        }
    }

    private void updateCircuits(FarExchange exchange, Report report) {
        if (!Double.isNaN(report.free())) {
            exchange.freeCircuits = report.free();
        }
        if (!Double.isNaN(report.circuits()) && exchange.readiness != Readiness.GONE) {
            totalCircuits += report.circuits() - (Double.isNaN(exchange.circuits) ? 0 : exchange.circuits);
            exchange.circuits = report.circuits();
        }
    }

    private void startColdPeriod(FarExchange exchange, long now, long since) {
        exchange.cold = true;
        exchange.coldSince = since;
        exchange.coldCredit = random.nextDouble();
        exchange.coldCreditAt = now;
        exchange.window = Math.min(exchange.window, parameters.windowCold);
        exchange.goodAnswers = 0;
        host.log("exchange " + exchange.place + " is cold, set-ups limited");
    }

    /**
     * Whether a processor still counts as cold; if so, its credit of set-ups grows by this sender's share of
     * the total that all senders may send. The credit is fractional, because with many senders each share is
     * below one, and random at the start, so that senders notified at the same time do not send at the same
     * time. Drawback: where few senders have calls, the shares of the others stay unused.
     */
    private boolean isCold(long now, FarExchange exchange) {
        if (exchange.cold && now - exchange.coldSince > settings.obligations().cold()) {
            exchange.cold = false;
        }
        if (exchange.cold) {
            double since = (now - exchange.coldCreditAt) / 1_000_000.0;
            exchange.coldCredit = Math.min(1, exchange.coldCredit) + since * coldRate(now, exchange);
            exchange.coldCreditAt = now;
        }
        return exchange.cold;
    }

    /**
     * Returns the set-ups per second that this sender may send to a cold processor: the multiple set by the
     * rule of this sender's baseline rate toward it. The baseline is derived from the calls of the own
     * subscribers and from the sizes of the groups, so that the shares of all senders add up to the total.
     */
    private double coldRate(long now, FarExchange exchange) {
        Obligations rules = settings.obligations();
        double rate = ownCallRate / (1 - Math.exp(
                (startedAt - now - parameters.rateMinTimeMicros) / parameters.rateTimeConstantMicros));
        double part = Double.isNaN(exchange.circuits) || totalCircuits == 0
                ? 1.0 / Math.max(1, settings.softswitches() - 1) : exchange.circuits / totalCircuits;
        return parameters.coldSafety * rules.fallMultiple() * rules.coldShare()
                * parameters.capacityPerOwnCall * rate * part;
    }

    private static long token(long kind, long id) {
        return kind << TOKEN_SHIFT | id;
    }
}
