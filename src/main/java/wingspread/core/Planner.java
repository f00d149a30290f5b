package wingspread.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.Outcome;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Settings;
import wingspread.control.CallControl.Status;
import wingspread.control.ControlParameters;
import wingspread.control.ExchangeLiveness;
import wingspread.control.WindowControl;
import wingspread.core.CallCounters.Answer;
import wingspread.core.CallLog.AnswerReason;
import wingspread.core.CallLog.EndReason;
import wingspread.core.CallLog.IgnoredReleaseReason;
import wingspread.metrics.Metrics;
import wingspread.storm.CallOffer;
import wingspread.storm.StormParameters;
import wingspread.turn.Deadlines;
import wingspread.turn.Worker;

/**
 * Plans the calls of one softswitch, which acts for one exchange: keeps their state and deadlines, and owns the
 * instance of {@link CallControl} that decides on them. Independent of the wire protocols.
 *
 * <p>Forwarders {@link #post} events. Each {@link #turn} passes all of them to the call control and then carries out
 * the requested actions in order. Each call gets exactly one final answer, whatever the call control requests. All
 * times are microseconds on the clock given.
 */
public final class Planner implements CallControl.Host, Worker {
    /** Q.850 cause 16, normal call clearing. */
    public static final int CAUSE_NORMAL_CLEARING = 16;
    /** Q.850 cause 41, temporary failure. */
    public static final int CAUSE_TEMPORARY_FAILURE = 41;
    private static final Logger LOG = LoggerFactory.getLogger(Planner.class);
    private static final long NO_NUMBER = 0;
    /** Time within which an exchange may send a second copy of a response. */
    private static final long RESPONSE_COPY_MICROS = 50_000;
    /** Time within which an exchange may respond to a set-up that has been withdrawn. */
    private static final long LATE_RESPONSE_MICROS = 4_000_000;
    /** Time that an exchange has to send its pending releases after its first report on a connection. */
    private static final long RELEASE_GRACE_MICROS = 500_000;
    /** Maximum time from when an exchange composes its first report to when it sends it. */
    private static final long MAX_REPORT_AGE_MICROS = 100_000;
    /** Total size of what callers sent for the open calls; limits its share of the heap. */
    private static final long MAX_REQUEST_BYTES = 16 << 20;

    private final LongSupplier clock;
    private final Settings settings;
    private final ExchangeTransport exchanges;
    private final Metrics metrics;
    private final int maxCalls;
    private final Caller.UnknownCallListener unknownCalls;
    private final CallControl control;
    private final CallLog log = new CallLog();
    private final CallCounters counters;
    /** Null if storms of redials are not damped. */
    private final StormGateAdapter stormGate;
    private final ArrayDeque<Event> inbox = new ArrayDeque<>();
    private final ArrayDeque<Runnable> actions = new ArrayDeque<>();
    private final Deadlines deadlines = new Deadlines();
    private final Map<String, CallState> byId = new LinkedHashMap<>();
    private final Map<Long, CallState> byNumber = new HashMap<>();
    private final ExchangeMonitor exchangeMonitor;
    /** Start time of each listed exchange, by address. */
    private final Map<Long, Long> startTimes = new HashMap<>();
    private final EndedCallIds endedCallIds = new EndedCallIds();
    private long nextCallNumber = 1;
    private long requestBytes;
    /** Latest time of any answer; {@link Long#MAX_VALUE} until a shutdown is planned. */
    private long answerDeadline = Long.MAX_VALUE;
    private boolean draining;

    /**
     * Creates a planner that offers every call to the call control.
     *
     * @param maxCalls open calls kept at a time; further ones are refused
     * @param unknownCalls receives the releases of calls that this process did not set up
     */
    public Planner(LongSupplier clock, Settings settings, ControlParameters parameters, long seed, int maxCalls,
            ExchangeTransport exchanges, Caller.UnknownCallListener unknownCalls, Metrics metrics) {
        this(clock, settings, parameters, seed, maxCalls, exchanges, unknownCalls, metrics, null);
    }

    /**
     * Creates a planner that passes subscribers' calls through a storm gate before the call control.
     *
     * @param maxCalls open calls kept at a time; further ones are refused
     * @param unknownCalls receives the releases of calls that this process did not set up
     * @param stormParameters parameters of the storm gate, which may refuse redials; null for none
     */
    public Planner(LongSupplier clock, Settings settings, ControlParameters parameters, long seed, int maxCalls,
            ExchangeTransport exchanges, Caller.UnknownCallListener unknownCalls, Metrics metrics,
            StormParameters stormParameters) {
        this.stormGate = stormParameters == null ? null
                : new StormGateAdapter(clock, settings, stormParameters, seed, metrics, deadlines);
        this.clock = clock;
        this.settings = settings;
        this.exchanges = exchanges;
        this.unknownCalls = unknownCalls;
        this.metrics = metrics;
        this.maxCalls = maxCalls;
        this.counters = new CallCounters(settings.classes().size());
        this.exchangeMonitor = new ExchangeMonitor(clock, deadlines, exchanges, this::hasReachableCaller,
                (exchange, silenceMicros) -> actions.add(() -> exchangeUnresponsive(exchange, silenceMicros)));
        this.control = new WindowControl(clock.getAsLong(), settings, parameters, seed, this);
        metrics.addGauge("kept.calls", byId::size);
        metrics.addGauge("kept.request-bytes", () -> requestBytes);
        metrics.addGauge("kept.ended-calls", endedCallIds::size);
        metrics.addGauge("kept.timers", deadlines::size);
    }

    /** Queues an event for the next turn. */
    public void post(Event event) {
        inbox.add(event);
    }

    @Override
    public void turn() {
        long now = clock.getAsLong();
        do {
            while (!inbox.isEmpty()) {
                handle(now, inbox.remove());
            }
            deadlines.runDue(now);
            while (!actions.isEmpty()) {
                actions.remove().run();
            }
        } while (!inbox.isEmpty());
    }

    @Override
    public long nextDue() {
        return deadlines.next();
    }

    /**
     * Sets the latest time of any answer, for open calls and for new ones, whose deadlines are shortened to it. SIGKILL
     * may come before the callers' own deadlines, and every call must be answered by then.
     */
    public void setAnswerDeadline(long latest) {
        answerDeadline = Math.min(answerDeadline, latest);
        exchangeMonitor.expediteChecks();
        for (CallState state : byId.values()) {
            if (!state.isAnswered() && state.request.deadline() > answerDeadline) {
                state.addTimer(deadlines.add(answerDeadline, () -> actions.add(() -> answerOverdue(state))));
            }
        }
    }

    /** Refuses every new call from now on; open calls continue. */
    public void refuseNewCalls() {
        draining = true;
    }

    /** Accepts new calls again after {@link #refuseNewCalls}. */
    public void acceptNewCalls() {
        draining = false;
    }

    /** Returns the counts of final answers. */
    public CallCounters counters() {
        return counters;
    }

    /** Returns the number of listed exchanges. */
    public int listedExchanges() {
        return startTimes.size();
    }

    /** Returns the number of listed exchanges that the call control avoids. */
    public int avoidedExchanges() {
        return control.avoidedExchanges();
    }

    /** Returns the number of calls that have no final answer yet. */
    public long unansweredCalls() {
        return byId.values().stream().filter(state -> !state.isAnswered()).count();
    }

    /**
     * Returns the number of established calls.
     *
     * @param connected whether callers hold connections on which they can be notified of an end; if not, calls that
     *     survive a restart of this process are not counted
     */
    public long establishedCalls(boolean connected) {
        return byId.values().stream()
                .filter(state -> state.isEstablished() && (connected || !state.caller.survivesRestart())).count();
    }

    /**
     * Ends what cannot outlive this process: pending set-ups, and established calls whose callers the next process
     * could not notify, because the caller's protocol does not allow it or because the exchange is unresponsive and may
     * never release them. The other calls stay established; the next process passes the exchanges' releases on to
     * their callers. So do calls on an unresponsive exchange whose callers this process cannot notify either: the
     * exchange may only be late, and a call that nobody is told of must not be cut.
     */
    public void handOver() {
        long now = clock.getAsLong();
        for (CallState state : List.copyOf(byId.values())) {
            if (state.isEstablished() && mustEndBeforeExit(now, state)) {
                exchanges.release(state.lastAttempt().exchange(), state.request.id(), CAUSE_TEMPORARY_FAILURE);
                endEstablishedCall(clock.getAsLong(), state, Status.CANCELLED, Report.EMPTY, CAUSE_TEMPORARY_FAILURE,
                        EndReason.PLANNED_END);
            } else if (state.hasPendingAttempt()) {
                exchanges.cancelAttempt(state.lastAttempt());
                state.lastAttempt().end(now);
                removeIfDone(state);
            }
        }
    }

    private boolean mustEndBeforeExit(long now, CallState state) {
        if (!state.caller.survivesRestart()) {
            return true;
        }
        long exchange = state.lastAttempt().exchange();
        if (!exchangeMonitor.isSuspect(now, exchange)) {
            return false;
        }
        if (!state.caller.isReachable()) {
            log.leftToNextProcess(state.request.id(), exchange);
            return false;
        }
        return true;
    }

    // Event handlers.

    private void handle(long now, Event event) {
        recordSignOfLife(now, event);
        if (event instanceof Event.Offered e) {
            callOffered(now, e.request(), e.caller());
        } else if (event instanceof Event.CallerAbandoned e) {
            callerAbandoned(now, e.call(), e.caller());
        } else if (event instanceof Event.CallerReleased e) {
            callerReleased(now, e.call(), e.cause());
        } else if (event instanceof Event.Answered e) {
            exchangeAnswered(now, e);
        } else if (event instanceof Event.Rejected e) {
            Attempt attempt = findAttempt(e.exchange(), e.call());
            if (attempt != null && attempt.isPending()) {
                endAttempt(now, attempt, e.status(), e.cause(), e.report());
            }
        } else if (event instanceof Event.Released e) {
            exchangeReleased(now, e);
        } else if (event instanceof Event.AttemptAborted e) {
            if (e.attempt().isPending()) {
                endAttempt(now, e.attempt(), e.status(), Cause.NONE, Report.EMPTY);
            }
        } else if (event instanceof Event.ExchangeDown e) {
            endCallsSentBefore(now, e.exchange(), Long.MAX_VALUE, EndReason.EXCHANGE_DOWN);
        } else if (event instanceof Event.Reported e) {
            if (e.connectedAt() != Event.Reported.UNSOLICITED && exchangeMonitor.isMonitored(e.exchange())) {
                deadlines.add(now + RELEASE_GRACE_MICROS, () -> actions.add(() -> checkForLostCalls(e)));
            }
            if (stormGate != null) {
                stormGate.circuitsReported(now, e.exchange(), e.report());
            }
            control.onReport(now, e.exchange(), Status.OK, 0, e.report());
        } else if (event instanceof Event.Listed e) {
            exchangesListed(now, e);
        }
    }

    /** Records the sign of life if the event results from a message of an exchange. */
    private void recordSignOfLife(long now, Event event) {
        if (event instanceof Event.ExchangeAlive e) {
            exchangeMonitor.recordMessage(now, e.exchange());
        } else if (event instanceof Event.Answered e) {
            exchangeMonitor.recordMessage(now, e.exchange());
        } else if (event instanceof Event.Rejected e) {
            exchangeMonitor.recordMessage(now, e.exchange());
        } else if (event instanceof Event.Released e) {
            exchangeMonitor.recordMessage(now, e.exchange());
            e.otherNumbers().forEach(number -> exchangeMonitor.recordMessage(now, number));
        } else if (event instanceof Event.Reported e) {
            exchangeMonitor.recordMessage(now, e.exchange());
        }
    }

    private void callOffered(long now, Request received, Caller caller) {
        Request request = received.withDeadlineAtMost(answerDeadline);
        metrics.count("taken.calls");
        log.received(request, now);
        // A set-up with the id of an open call must not start a second attempt: it fails, whatever else it requests,
        // and the first one continues.
        // Nor must one with the id of a call that an exchange may have run: its caller left and sends it again.
        if (byId.containsKey(request.id()) || endedCallIds.contains(request.id())) {
            metrics.count("taken.repeats");
            log.answered(request.id(), "failed", AnswerReason.REPEATED_ID, 0);
            counters.count(request.callClass(), Answer.FAILED);
            caller.onFailed();
            return;
        }
        if (draining) {
            metrics.count("answered.draining");
            counters.count(request.callClass(), Answer.REFUSED);
            log.answered(request.id(), "refused", AnswerReason.PLANNED_END, 0);
            caller.onRefused(0);
            return;
        }
        // Calls beyond what the memory can hold are refused before they reach the call control.
        if (byId.size() >= maxCalls || requestBytes + request.sizeBytes() > MAX_REQUEST_BYTES) {
            metrics.count("answered.overfull");
            counters.count(request.callClass(), Answer.REFUSED);
            log.answered(request.id(), "refused", AnswerReason.TOO_MANY_CALLS, 0);
            caller.onRefused(settings.maxRetryAfter());
            return;
        }
        CallState state = new CallState(request, caller, nextCallNumber++);
        if (stormGate != null && !request.transit()) {
            Optional<CallOffer> admitted = stormGate.admit(now, request, parseNumber(request.number()), caller);
            if (admitted.isEmpty()) {
                counters.count(request.callClass(), Answer.REFUSED);
                log.answered(request.id(), "refused", AnswerReason.STORM, 0);
                return;
            }
            state.callOffer = admitted.get();
        }
        byId.put(request.id(), state);
        byNumber.put(state.callNumber, state);
        requestBytes += request.sizeBytes();
        state.addTimer(deadlines.add(request.deadline(), () -> actions.add(() -> answerOverdue(state))));
        control.onCall(now, new CallControl.Call(state.callNumber, request.callClass(), parseNumber(request.number()),
                request.deadline(), request.destination(), request.width(), request.via(), request.redial(),
                request.transit(), request.cut()));
    }

    private static long parseNumber(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return text.isEmpty() ? NO_NUMBER : 1L + text.hashCode();
        }
    }

    /**
     * Fails a call whose deadline has passed although the call control has not answered it. Runs after the actions
     * that the call control has already requested.
     */
    private void answerOverdue(CallState state) {
        if (!state.isAnswered()) {
            boolean shutdown = state.request.deadline() > answerDeadline;
            LOG.warn("call {} reached {} without an answer", state.request.id(),
                    shutdown ? "the shutdown deadline" : "its deadline");
            control.onCallDropped(clock.getAsLong(), state.callNumber);
            recordFailedOffer(state);
            log.answered(state.request.id(), "failed", shutdown ? AnswerReason.PLANNED_END : AnswerReason.DEADLINE,
                    state.attempts.size());
            answer(state, Answer.FAILED, state.caller::onFailed);
        }
    }

    /** Reports to the storm gate that the caller got no call and may redial. */
    private void recordFailedOffer(CallState state) {
        if (state.callOffer != null) {
            stormGate.recordFailure(state.callOffer);
        }
    }

    private void callerReleased(long now, String id, int cause) {
        CallState state = byId.get(id);
        if (state != null && state.isEstablished()) {
            metrics.count("taken.releases");
            exchanges.release(state.lastAttempt().exchange(), id, cause);
            state.lastAttempt().end(now);
            exchangeMonitor.callEnded(state.lastAttempt().exchange());
            log.callEnded(state.lastAttempt(), EndReason.CALLER_RELEASED, cause);
            reportOutcome(now, state, state.lastAttempt(), Status.CANCELLED, Cause.NONE, Report.EMPTY);
            removeIfDone(state);
        }
    }

    /**
     * Abandons a set-up. Only the caller whose set-up was accepted can do so: another one may have used the id of this
     * open call and then closed its connection. If the call was established at the same time, its caller did not know
     * yet, and the call is released.
     */
    private void callerAbandoned(long now, String id, Caller caller) {
        CallState state = byId.get(id);
        if (state == null || state.caller != caller) {
            return;
        }
        if (state.isAnswered()) {
            callerReleased(now, id, CAUSE_NORMAL_CLEARING);
        } else {
            metrics.count("taken.given-up");
            log.answered(id, "abandoned", AnswerReason.CALLER_GAVE_UP, state.attempts.size());
            state.markAnswered();
            state.caller.onAbandoned();
            recordFailedOffer(state);
            control.onCallDropped(now, state.callNumber);
            removeIfDone(state);
        }
    }

    private void exchangeAnswered(long now, Event.Answered event) {
        Attempt attempt = findAttempt(event.exchange(), event.call());
        if (attempt != null && attempt.isEstablished()) {
            return;
        }
        CallState state = byId.get(event.call());
        // The answer may have crossed a CANCEL or a time-out of this side. The exchange then regards the call as
        // established and would keep its circuits, although no caller waits for it.
        if (attempt == null || !attempt.isPending() || state.isAnswered()) {
            metrics.count("sent.crossed-releases");
            log.lateAnswer(event.call(), event.exchange());
            exchanges.release(event.exchange(), event.call(), CAUSE_NORMAL_CLEARING);
            if (attempt != null && attempt.isPending()) {
                endAttempt(now, attempt, Status.CANCELLED, Cause.NONE, Report.EMPTY);
            }
            return;
        }
        attempt.establish(now);
        state.mayHaveRun = true;
        exchangeMonitor.callEstablished(now, attempt.exchange());
        log.established(attempt, now);
        control.onCallEstablished(now, state.callNumber, attempt.index(), attempt.exchange(), now - attempt.sentAt());
        if (state.callOffer != null) {
            stormGate.recordSuccess(now, state.callOffer);
        }
        answer(state, Answer.ESTABLISHED, () -> state.caller.onEstablished(event.description()));
    }

    private void exchangeReleased(long now, Event.Released event) {
        CallState state = byId.get(event.call());
        if (state == null) {
            unknownCallReleased(event);
            return;
        }
        Attempt attempt = state.lastAttempt();
        if (attempt == null || !event.isFrom(attempt.exchange())) {
            ignoreRelease(event, IgnoredReleaseReason.OTHER_EXCHANGE);
        } else if (attempt.isEstablished()) {
            endEstablishedCall(now, state, event.cause() == CAUSE_NORMAL_CLEARING ? Status.OK : Status.RESET,
                    event.report(), event.cause(), EndReason.EXCHANGE_RELEASED);
        } else if (attempt.isPending()) {
            endAttempt(now, attempt, Status.RESET, Cause.NONE, event.report());
        } else {
            ignoreRelease(event, IgnoredReleaseReason.ATTEMPT_ENDED);
        }
    }

    /**
     * Passes on the release of a call that is not kept. The call may have been set up by a process that ended before
     * this one was started, and its caller must be notified. An exchange repeats a release on its next connection,
     * which must not reach the caller twice.
     */
    private void unknownCallReleased(Event.Released event) {
        if (endedCallIds.add(event.call())) {
            metrics.count("answered.strangers");
            log.unknownCallReleased(event.call(), event.exchange(), event.cause());
            unknownCalls.onEnded(event.call(), event.cause());
        } else {
            ignoreRelease(event, IgnoredReleaseReason.ALREADY_ENDED);
        }
    }

    private void ignoreRelease(Event.Released event, IgnoredReleaseReason reason) {
        metrics.count("taken.releases-ignored." + reason);
        log.releaseIgnored(event.call(), event.exchange(), event.cause(), reason);
    }

    private void exchangesListed(long now, Event.Listed event) {
        control.onExchangeList(now, event.kind(), event.entries());
        for (Exchange entry : event.entries()) {
            if (entry.readiness() == Readiness.GONE) {
                endCallsOfRemovedExchange(now, entry.address());
                startTimes.remove(entry.address());
                if (stormGate != null) {
                    stormGate.exchangeRemoved(entry.address());
                }
                continue;
            }
            Long previousStart = startTimes.put(entry.address(), entry.upSince());
            boolean restarted = previousStart != null && entry.upSince() > previousStart;
            if (stormGate != null) {
                stormGate.exchangeListed(now, entry, restarted);
            }
            if (restarted) {
                endCallsSentBefore(now, entry.address(), entry.upSince(), EndReason.EXCHANGE_RESTARTED);
            }
        }
    }

    /** Ends the calls established through an exchange whose set-ups were sent before the given time. */
    private void endCallsSentBefore(long now, long exchange, long sentBefore, EndReason reason) {
        for (CallState state : establishedCallsThrough(exchange, attempt -> attempt.sentAt() < sentBefore)) {
            endEstablishedCall(now, state, Status.RESET, Report.EMPTY, CAUSE_TEMPORARY_FAILURE, reason);
        }
    }

    /**
     * Ends the calls on an exchange that has left the directory, also toward it: a process that took its address before
     * the directory told of the change may have set some of them up, and would keep their circuits.
     */
    private void endCallsOfRemovedExchange(long now, long exchange) {
        for (CallState state : establishedCallsThrough(exchange, attempt -> true)) {
            exchanges.release(exchange, state.request.id(), CAUSE_TEMPORARY_FAILURE);
            endEstablishedCall(now, state, Status.RESET, Report.EMPTY, CAUSE_TEMPORARY_FAILURE,
                    EndReason.EXCHANGE_REMOVED);
        }
    }

    private boolean hasReachableCaller(long exchange) {
        return establishedCallsThrough(exchange, attempt -> true).stream()
                .anyMatch(state -> state.caller.isReachable());
    }

    private List<CallState> establishedCallsThrough(long exchange, Predicate<Attempt> condition) {
        return byId.values().stream().filter(state -> state.isEstablished()
                && state.lastAttempt().exchange() == exchange && condition.test(state.lastAttempt())).toList();
    }

    /** Ends the calls on an exchange that has been unresponsive for too long, also at the exchange if it is alive. */
    private void exchangeUnresponsive(long exchange, long silenceMicros) {
        endCallsOfExchange(exchange, EndReason.EXCHANGE_SILENT, silenceMicros, attempt -> true);
    }

    /**
     * Compares the first report of an exchange on a connection with the calls established through it, after the time
     * in which it sends its pending releases. If it holds too few circuits for them, it has lost the calls. How many
     * circuits a call takes is taken from the settings, never from its caller.
     */
    private void checkForLostCalls(Event.Reported firstReport) {
        Predicate<Attempt> establishedBefore =
                attempt -> attempt.establishedAt() < firstReport.connectedAt() - MAX_REPORT_AGE_MICROS;
        double width = establishedCallsThrough(firstReport.exchange(), establishedBefore).stream()
                .mapToDouble(state -> settings.classes().get(state.request.callClass()).width()).sum();
        if (ExchangeLiveness.hasLostCalls(firstReport.report(), width)) {
            endCallsOfExchange(firstReport.exchange(), EndReason.EXCHANGE_LOST_CALLS, 0, establishedBefore);
        }
    }

    private void endCallsOfExchange(long exchange, EndReason reason, long silenceMicros, Predicate<Attempt> condition) {
        long now = clock.getAsLong();
        List<CallState> calls = establishedCallsThrough(exchange, condition);
        if (calls.isEmpty()) {
            return;
        }
        metrics.count("exchanges.down." + reason);
        log.exchangeDown(exchange, reason, calls.size(), silenceMicros);
        for (CallState state : calls) {
            // If the exchange is alive after all, it must not keep the circuits.
            exchanges.release(exchange, state.request.id(), CAUSE_TEMPORARY_FAILURE);
            endEstablishedCall(now, state, Status.RESET, Report.EMPTY, CAUSE_TEMPORARY_FAILURE, reason);
        }
    }

    /** Ends an established call and notifies its caller. */
    private void endEstablishedCall(long now, CallState state, Status status, Report report, int cause,
            EndReason reason) {
        Attempt attempt = state.lastAttempt();
        attempt.end(now);
        exchangeMonitor.callEnded(attempt.exchange());
        exchanges.callEnded(attempt.exchange(), state.request.id());
        metrics.count(cause == CAUSE_NORMAL_CLEARING ? "answered.over" : "answered.cut");
        log.callEnded(attempt, reason, cause);
        state.caller.onEnded(cause);
        reportOutcome(now, state, attempt, status, Cause.NONE, report);
        removeIfDone(state);
    }

    /** Ends an attempt that did not establish its call. */
    private void endAttempt(long now, Attempt attempt, Status status, Cause cause, Report report) {
        boolean withdrawn = status == Status.TIMEOUT || status == Status.CANCELLED;
        attempt.end(now + (withdrawn ? LATE_RESPONSE_MICROS : RESPONSE_COPY_MICROS));
        metrics.count("ended." + status + (cause == Cause.NONE ? "" : "." + cause));
        log.attemptEnded(attempt, now, status, cause);
        CallState state = byNumber.get(attempt.callNumber());
        state.mayHaveRun |= !provesNothingRan(status);
        reportOutcome(now, state, attempt, status, cause, report);
        removeIfDone(state);
    }

    private static boolean provesNothingRan(Status status) {
        return status == Status.FULL || status == Status.MOOT || status == Status.CONNECT_FAILED;
    }

    private void reportOutcome(long now, CallState state, Attempt attempt, Status status, Cause cause, Report report) {
        control.onOutcome(now, new Outcome(state.callNumber, attempt.index(), state.isAnswered(), attempt.exchange(),
                now - attempt.sentAt(), status, cause, 0, report));
    }

    /**
     * Returns the attempt to which a message from an exchange belongs: the last one of the call if it was sent to that
     * exchange, else null. The link drops rejections of earlier attempts; acceptances it cannot always tell apart.
     */
    private Attempt findAttempt(long exchange, String id) {
        CallState state = byId.get(id);
        Attempt last = state == null ? null : state.lastAttempt();
        return last != null && last.exchange() == exchange ? last : null;
    }

    /**
     * Removes a call for which nothing is pending. A call that is abandoned in the turn in which the call control
     * requests a set-up is kept until the call control has the outcome; otherwise its window would count the set-up as
     * unanswered forever.
     */
    private void removeIfDone(CallState state) {
        if (state.isAnswered() && !state.sendRequested && !state.hasPendingAttempt() && !state.isEstablished()) {
            byId.remove(state.request.id());
            if (state.mayHaveRun) {
                endedCallIds.add(state.request.id());
            }
            if (byNumber.remove(state.callNumber) != null) {
                requestBytes -= state.request.sizeBytes();
            }
        }
    }

    private void answer(CallState state, Answer answer, Runnable notification) {
        state.markAnswered();
        metrics.count("answered." + answer.label);
        counters.count(state.request.callClass(), answer);
        notification.run();
        removeIfDone(state);
    }

    // Actions requested by the call control.

    @Override
    public void send(long call, long exchange, long deadline) {
        CallState state = byNumber.get(call);
        state.sendRequested = true;
        actions.add(() -> {
            state.sendRequested = false;
            startAttempt(state, exchange, deadline);
        });
    }

    private void startAttempt(CallState state, long exchange, long deadline) {
        long now = clock.getAsLong();
        Attempt attempt = new Attempt(state.request, state.callNumber, exchange, now,
                Math.min(deadline, state.request.deadline()), state.lastAttempt());
        // Enforces the platform's rules whatever the call control requests: no set-up while another one is pending,
        // none for an answered call, none beyond the maximum number of attempts, none to an unlisted exchange.
        if (state.isAnswered() || state.hasPendingAttempt() || attempt.index() >= settings.maxAttempts()
                || !startTimes.containsKey(exchange) || attempt.deadline() <= now) {
            metrics.count("ended.MOOT.unsent");
            if (!state.hasPendingAttempt()) {
                state.attempts.add(attempt);
                endAttempt(now, attempt, Status.MOOT, Cause.NONE, Report.EMPTY);
            }
            return;
        }
        state.attempts.add(attempt);
        attempt.setTimeout(deadlines.add(attempt.deadline(), () -> attemptTimedOut(attempt)));
        metrics.count("sent.set-ups");
        log.attemptSent(attempt);
        exchanges.invite(attempt);
    }

    private void attemptTimedOut(Attempt attempt) {
        if (attempt.isPending()) {
            exchanges.cancelAttempt(attempt);
            endAttempt(clock.getAsLong(), attempt, Status.TIMEOUT, Cause.NONE, Report.EMPTY);
        }
    }

    @Override
    public void refuse(long call, long retryAfter) {
        actions.add(() -> answerIfOpen(call, Answer.REFUSED, state -> state.caller.onRefused(
                state.callOffer == null ? retryAfter : stormGate.waitAfterRefusal(state.callOffer, retryAfter))));
    }

    @Override
    public void fail(long call) {
        actions.add(() -> answerIfOpen(call, Answer.FAILED, state -> {
            recordFailedOffer(state);
            state.caller.onFailed();
        }));
    }

    /** Gives a call its final answer unless it already has one. */
    private void answerIfOpen(long call, Answer answer, Consumer<CallState> notification) {
        CallState state = byNumber.get(call);
        if (state != null && !state.isAnswered()) {
            log.answered(state.request.id(), answer.label, AnswerReason.DECIDED, state.attempts.size());
            answer(state, answer, () -> notification.accept(state));
        }
    }

    @Override
    public void cancel(long call, int attempt) {
        actions.add(() -> {
            CallState state = byNumber.get(call);
            if (state != null && state.hasPendingAttempt() && state.lastAttempt().index() == attempt) {
                exchanges.cancelAttempt(state.lastAttempt());
                inbox.add(new Event.AttemptAborted(state.lastAttempt(), Status.CANCELLED));
            }
        });
    }

    @Override
    public void setTimer(long at, long token) {
        deadlines.add(at, () -> control.onTimer(clock.getAsLong(), token));
    }

    @Override
    public void setCallTimer(long call, long at, long token) {
        CallState state = byNumber.get(call);
        if (state != null) {
            state.addTimer(deadlines.add(at, () -> control.onTimer(clock.getAsLong(), token)));
        }
    }

    @Override
    public void probe(long exchange) {
        LOG.warn("ignoring a probe of exchange {}: this platform does not allow probes", exchange);
    }

    @Override
    public void closeIdle(long exchange) {
        actions.add(() -> exchanges.closeIdle(exchange));
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        LOG.warn("ignoring a message to softswitch {}: this platform does not allow peer messages", peer);
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }

    @Override
    public void subscribe(boolean on) {
        // No-op: the softswitch is always subscribed to the directory.
    }

    @Override
    public void fetchList() {
        // No-op: the softswitch is always subscribed to the directory.
    }
}
