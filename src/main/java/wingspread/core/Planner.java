package wingspread.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import wingspread.control.ExchangeLiveness;
import wingspread.control.Figures;
import wingspread.control.WindowControl;
import wingspread.core.CallLog.AnswerReason;
import wingspread.core.CallLog.EndReason;
import wingspread.turn.Deadlines;
import wingspread.metrics.Metrics;
import wingspread.storm.StormFigures;
import wingspread.storm.Try;
import wingspread.turn.Worker;

/**
 * One exchange's identity: its calls, its deadlines and its instance of the module. It knows no wire.
 * Forwarders {@link #post} events; a {@link #turn} hands all of them to the module in one go and then carries
 * out, in order, what the module asked for. Each call gets one final answer, whatever the module asks.
 */
public final class Planner implements CallControl.Host, Worker {
    /** Causes of Q.850: normal clearing, temporary failure. */
    public static final int NORMAL = 16;
    public static final int CUT = 41;
    private static final Logger LOG = LoggerFactory.getLogger(Planner.class);
    private static final long NO_NUMBER = 0;
    /** An exchange that has lost no call says its releases by then, after the first words of a connection. */
    private static final long RELEASES_FOLLOW = 500_000;
    /** An exchange's first words may have been put together so long before they were said. */
    private static final long REPORT_AGE = 100_000;
    private static final int MOST_ENDED = 8_192;
    /** Bytes of descriptions that are kept at a time, a share of the heap. */
    private static final long MOST_DESCRIPTIONS = 16 << 20;

    private final LongSupplier clock;
    private final Settings settings;
    private final Exchanges exchanges;
    private final Metrics metrics;
    private final int mostCalls;
    private final Caller.Strangers strangers;
    private final CallControl control;
    private final CallLog log = new CallLog();
    /** Null where storms are not damped. */
    private final StormDesk storms;
    private final ArrayDeque<Event> inbox = new ArrayDeque<>();
    private final ArrayDeque<Runnable> actions = new ArrayDeque<>();
    private final Deadlines deadlines = new Deadlines();
    private final Map<String, CallState> byId = new LinkedHashMap<>();
    private final Map<Long, CallState> byNumber = new HashMap<>();
    private final StandingWatch watch;
    /** When each exchange that is listed was started. */
    private final Map<Long, Long> started = new HashMap<>();
    /** Ids of the calls that have ended last, oldest first. */
    private final Set<String> over = new LinkedHashSet<>();
    private long nextCall = 1;
    private long descriptions;
    /** No answer is given later than this; {@link Long#MAX_VALUE} until an end is planned. */
    private long lastAnswer = Long.MAX_VALUE;
    private boolean draining;

    /** A planner that offers every call to the module. */
    public Planner(LongSupplier clock, Settings settings, Figures figures, long seed, int mostCalls,
            Exchanges exchanges, Caller.Strangers strangers, Metrics metrics) {
        this(clock, settings, figures, seed, mostCalls, exchanges, strangers, metrics, null);
    }

    /** A planner that asks a gate of these figures first whether a subscriber's redial may go to the module. */
    public Planner(LongSupplier clock, Settings settings, Figures figures, long seed, int mostCalls,
            Exchanges exchanges, Caller.Strangers strangers, Metrics metrics, StormFigures storm) {
        this.storms = storm == null ? null : new StormDesk(clock, settings, storm, seed, metrics, deadlines);
        this.clock = clock;
        this.settings = settings;
        this.exchanges = exchanges;
        this.strangers = strangers;
        this.metrics = metrics;
        this.mostCalls = mostCalls;
        this.watch = new StandingWatch(clock, deadlines, exchanges,
                (exchange, silence) -> actions.add(() -> silent(exchange, silence)));
        this.control = new WindowControl(clock.getAsLong(), settings, figures, seed, this);
    }

    /** Takes an event for the next turn. */
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
            deadlines.play(now);
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
     * From now on every call has its answer by this time at the latest, whatever time its caller leaves: those that are
     * open and those that still come in, which the module hears of with so much less time. Guards against SIGKILL,
     * which may come before their callers' time is up.
     */
    public void answerBy(long latest) {
        lastAnswer = Math.min(lastAnswer, latest);
        watch.hurry();
        for (CallState state : byId.values()) {
            if (!state.answered && state.request.deadline() > lastAnswer) {
                deadlines.add(lastAnswer, () -> actions.add(() -> overdue(state)));
            }
        }
    }

    /** From now on every call that comes in is refused at once; those that are open go on. */
    public void refuseNew() {
        draining = true;
    }

    /** Calls that are owed an answer. */
    public long unanswered() {
        return byId.values().stream().filter(state -> !state.answered).count();
    }

    /**
     * Calls that stand.
     *
     * @param connected whether callers are there who would be told of an end, also of a call that outlives this program
     */
    public long standing(boolean connected) {
        return byId.values().stream()
                .filter(state -> state.standing() && (connected || !state.caller.outlivesRestart())).count();
    }

    /**
     * Ends what would end with the program: set-ups, and standing calls whose callers no successor could tell, also
     * since their exchange is silent and may never release them. The others stand on; the exchanges' releases find
     * their callers through the program that is started next.
     */
    public void handOver() {
        long now = clock.getAsLong();
        for (CallState state : List.copyOf(byId.values())) {
            if (state.standing()
                    && (!state.caller.outlivesRestart() || watch.suspect(now, state.last().exchange()))) {
                exchanges.release(state.last().exchange(), state.request.id(), CUT);
                finish(clock.getAsLong(), state, Status.CANCELLED, Report.NOTHING, CUT, EndReason.PLANNED_END);
            } else if (state.out()) {
                exchanges.withdraw(state.last());
                state.last().end();
                forgetIfDone(state);
            }
        }
    }

    // Events.

    private void handle(long now, Event event) {
        hear(now, event);
        if (event instanceof Event.Offered e) {
            offered(now, e.request(), e.caller());
        } else if (event instanceof Event.GivenUp e) {
            givenUp(now, e.call(), e.caller());
        } else if (event instanceof Event.CallerEnded e) {
            callerEnded(now, e.call(), e.cause());
        } else if (event instanceof Event.Answered e) {
            answered(now, e);
        } else if (event instanceof Event.Rejected e) {
            Attempt attempt = attempt(e.exchange(), e.call());
            if (attempt != null && attempt.out()) {
                ended(now, attempt, e.status(), e.cause(), e.report());
            }
        } else if (event instanceof Event.Released e) {
            released(now, e);
        } else if (event instanceof Event.Broken e) {
            if (e.attempt().out()) {
                ended(now, e.attempt(), e.status(), Cause.NONE, Report.NOTHING);
            }
        } else if (event instanceof Event.Died e) {
            cutAll(now, e.exchange(), Long.MAX_VALUE, EndReason.EXCHANGE_DOWN);
        } else if (event instanceof Event.Reported e) {
            if (e.openedAt() != Event.Reported.UNSOLICITED && watch.watches(e.exchange())) {
                deadlines.add(now + RELEASES_FOLLOW, () -> actions.add(() -> audit(e)));
            }
            if (storms != null) {
                storms.reported(now, e.exchange(), e.report());
            }
            control.onReport(now, e.exchange(), Status.OK, 0, e.report());
        } else if (event instanceof Event.Listed e) {
            listed(now, e);
        }
    }

    /** Whatever an exchange sends shows that it lives. */
    private void hear(long now, Event event) {
        if (event instanceof Event.Heard e) {
            watch.heard(now, e.exchange());
        } else if (event instanceof Event.Answered e) {
            watch.heard(now, e.exchange());
        } else if (event instanceof Event.Rejected e) {
            watch.heard(now, e.exchange());
        } else if (event instanceof Event.Released e) {
            watch.heard(now, e.exchange());
        } else if (event instanceof Event.Reported e) {
            watch.heard(now, e.exchange());
        }
    }

    private void offered(long now, Request asked, Caller caller) {
        Request request = asked.by(lastAnswer);
        metrics.count("taken.calls");
        log.taken(request, now);
        // Guards against a set-up under the id of a call that is open, which must not start a second attempt: it
        // fails, whatever else it asks for, and the first one goes on.
        if (byId.containsKey(request.id())) {
            metrics.count("taken.repeats");
            log.answered(request.id(), "failed", AnswerReason.REPEATED_ID, 0);
            caller.failed();
            return;
        }
        if (draining) {
            metrics.count("answered.draining");
            log.answered(request.id(), "refused", AnswerReason.PLANNED_END, 0);
            caller.refused(0);
            return;
        }
        // Guards against more calls than the memory can hold: refused before the module hears of them.
        if (byId.size() >= mostCalls || descriptions + request.description().length > MOST_DESCRIPTIONS) {
            metrics.count("answered.overfull");
            log.answered(request.id(), "refused", AnswerReason.TOO_MANY_CALLS, 0);
            caller.refused(settings.maxRetryAfter());
            return;
        }
        CallState state = new CallState(request, caller, nextCall++);
        if (storms != null && !request.transit()) {
            Optional<Try> seen = storms.offered(now, request, number(request.number()), caller);
            if (seen.isEmpty()) {
                log.answered(request.id(), "refused", AnswerReason.STORM, 0);
                return;
            }
            state.tried = seen.get();
        }
        byId.put(request.id(), state);
        byNumber.put(state.number, state);
        descriptions += request.description().length;
        deadlines.add(request.deadline(), () -> actions.add(() -> overdue(state)));
        control.onCall(now, new CallControl.Call(state.number, request.callClass(), number(request.number()),
                request.deadline(), request.destination(), request.width(), request.via(), request.redial(),
                request.transit(), request.cut()));
    }

    private static long number(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return text.isEmpty() ? NO_NUMBER : 1L + text.hashCode();
        }
    }

    /**
     * Guards against a module that lets a caller's time run out: the answer owed is given all the same, after
     * what the module has already asked for.
     */
    private void overdue(CallState state) {
        if (!state.answered) {
            boolean early = state.request.deadline() > lastAnswer;
            LOG.warn("call {} came to {} unanswered", state.request.id(), early ? "the planned end" : "its deadline");
            control.onDropped(clock.getAsLong(), state.number);
            failed(state);
            log.answered(state.request.id(), "failed", early ? AnswerReason.PLANNED_END : AnswerReason.DEADLINE,
                    state.attempts.size());
            answer(state, "failed", state.caller::failed);
        }
    }

    /** Its caller got nothing and may dial again. */
    private void failed(CallState state) {
        if (state.tried != null) {
            storms.failed(state.tried);
        }
    }

    private void callerEnded(long now, String id, int cause) {
        CallState state = byId.get(id);
        if (state != null && state.standing()) {
            metrics.count("taken.releases");
            exchanges.release(state.last().exchange(), id, cause);
            state.last().end();
            watch.over(state.last().exchange());
            log.over(state.last(), EndReason.CALLER_RELEASED, cause);
            outcome(now, state, state.last(), Status.CANCELLED, Cause.NONE, Report.NOTHING);
            forgetIfDone(state);
        }
    }

    /**
     * Guards against a caller that asked under the id of another's open call and then closes: only the caller
     * whose set-up was taken can give it up. One whose call came to stand at the same time was not told so.
     */
    private void givenUp(long now, String id, Caller caller) {
        CallState state = byId.get(id);
        if (state == null || state.caller != caller) {
            return;
        }
        if (state.answered) {
            callerEnded(now, id, NORMAL);
        } else {
            metrics.count("taken.given-up");
            log.answered(id, "given up", AnswerReason.CALLER_GAVE_UP, state.attempts.size());
            state.answered = true;
            state.caller.givenUp();
            failed(state);
            control.onDropped(now, state.number);
            forgetIfDone(state);
        }
    }

    private void answered(long now, Event.Answered e) {
        Attempt attempt = attempt(e.exchange(), e.call());
        if (attempt != null && attempt.standing()) {
            return;
        }
        CallState state = byId.get(e.call());
        // Guards against an answer that crosses our CANCEL or time-out: the exchange holds a call to stand that
        // nobody waits for, and would keep its circuits.
        if (attempt == null || !attempt.out() || state.answered) {
            metrics.count("sent.crossed-releases");
            log.crossed(e.call(), e.exchange());
            exchanges.release(e.exchange(), e.call(), NORMAL);
            if (attempt != null && attempt.out()) {
                ended(now, attempt, Status.CANCELLED, Cause.NONE, Report.NOTHING);
            }
            return;
        }
        attempt.stand(now);
        watch.stood(now, attempt.exchange());
        log.stood(attempt, now);
        control.onStood(now, state.number, attempt.index(), attempt.exchange(), now - attempt.sentAt());
        if (state.tried != null) {
            storms.gotThrough(now, state.tried);
        }
        answer(state, "stood", () -> state.caller.stands(e.description()));
    }

    private void released(long now, Event.Released e) {
        CallState state = byId.get(e.call());
        // Guards the callers of a program that ended before this one was started: their calls stand without it.
        // An exchange says a release again on its next connection, which must not reach the caller twice.
        if (state == null && rememberOver(e.call())) {
            metrics.count("answered.strangers");
            log.unknownReleased(e.call(), e.exchange(), e.cause());
            strangers.over(e.call(), e.cause());
        }
        Attempt attempt = attempt(e.exchange(), e.call());
        if (attempt != null && attempt.standing()) {
            finish(now, state, e.cause() == NORMAL ? Status.OK : Status.RESET, e.report(), e.cause(),
                    EndReason.EXCHANGE_RELEASED);
        } else if (attempt != null && attempt.out()) {
            ended(now, attempt, Status.RESET, Cause.NONE, e.report());
        }
    }

    private void listed(long now, Event.Listed e) {
        control.onExchangeList(now, e.kind(), e.entries());
        for (Exchange entry : e.entries()) {
            if (entry.readiness() == Readiness.GONE) {
                cutAll(now, entry.address(), Long.MAX_VALUE, EndReason.EXCHANGE_REMOVED);
                started.remove(entry.address());
                if (storms != null) {
                    storms.gone(entry.address());
                }
                continue;
            }
            Long before = started.put(entry.address(), entry.upSince());
            boolean restarted = before != null && entry.upSince() > before;
            if (storms != null) {
                storms.listed(now, entry, restarted);
            }
            if (restarted) {
                cutAll(now, entry.address(), entry.upSince(), EndReason.EXCHANGE_RESTARTED);
            }
        }
    }

    /** Ends the calls that stood through an exchange and were sent before it last started. */
    private void cutAll(long now, long exchange, long sentBefore, EndReason reason) {
        for (CallState state : standingThrough(exchange, attempt -> attempt.sentAt() < sentBefore)) {
            finish(now, state, Status.RESET, Report.NOTHING, CUT, reason);
        }
    }

    private List<CallState> standingThrough(long exchange, Predicate<Attempt> which) {
        return byId.values().stream().filter(state -> state.standing() && state.last().exchange() == exchange
                && which.test(state.last())).toList();
    }

    /** An exchange has been silent for too long: its calls are over for their callers, and for it if it lives. */
    private void silent(long exchange, long silence) {
        giveUp(exchange, EndReason.EXCHANGE_SILENT, silence, attempt -> true);
    }

    /** Holds what an exchange said first on a connection against its calls; its releases have had their time since. */
    private void audit(Event.Reported first) {
        Predicate<Attempt> before = attempt -> attempt.stoodAt() < first.openedAt() - REPORT_AGE;
        double width = standingThrough(first.exchange(), before).stream().mapToDouble(h -> h.request.width()).sum();
        if (ExchangeLiveness.lacksCalls(first.report(), width)) {
            giveUp(first.exchange(), EndReason.EXCHANGE_LOST_CALLS, 0, before);
        }
    }

    private void giveUp(long exchange, EndReason reason, long silence, Predicate<Attempt> which) {
        long now = clock.getAsLong();
        List<CallState> calls = standingThrough(exchange, which);
        if (calls.isEmpty()) {
            return;
        }
        metrics.count("exchanges.down." + reason);
        log.exchangeDown(exchange, reason, calls.size(), silence);
        for (CallState state : calls) {
            // Should the exchange be there after all, it must not keep the circuits.
            exchanges.release(exchange, state.request.id(), CUT);
            finish(now, state, Status.RESET, Report.NOTHING, CUT, reason);
        }
    }

    /** A standing call is over. */
    private void finish(long now, CallState state, Status status, Report report, int cause, EndReason reason) {
        Attempt attempt = state.last();
        attempt.end();
        watch.over(attempt.exchange());
        metrics.count(cause == NORMAL ? "answered.over" : "answered.cut");
        log.over(attempt, reason, cause);
        state.caller.over(cause);
        outcome(now, state, attempt, status, Cause.NONE, report);
        forgetIfDone(state);
    }

    /** An attempt ended without bringing the call to stand. */
    private void ended(long now, Attempt attempt, Status status, Cause cause, Report report) {
        attempt.end();
        metrics.count("ended." + status + (cause == Cause.NONE ? "" : "." + cause));
        log.attemptEnded(attempt, now, status, cause);
        CallState state = byNumber.get(attempt.call());
        outcome(now, state, attempt, status, cause, report);
        forgetIfDone(state);
    }

    private void outcome(long now, CallState state, Attempt attempt, Status status, Cause cause, Report report) {
        control.onOutcome(now, new Outcome(state.number, attempt.index(), state.answered, attempt.exchange(),
                now - attempt.sentAt(), status, cause, 0, report));
    }

    /**
     * The attempt that a message of an exchange is about: the call's last, if it went there. Guards against
     * pairing by the number of the CSeq, which exchanges do not give back: an answer to a second attempt was
     * taken for one to the first, and its call released.
     */
    private Attempt attempt(long exchange, String id) {
        CallState state = byId.get(id);
        Attempt last = state == null ? null : state.last();
        return last != null && last.exchange() == exchange ? last : null;
    }

    /**
     * Guards the module's windows: a call given up in the turn in which its set-up is asked for is kept until the
     * module has heard what became of that, else the set-up would count as unanswered for ever.
     */
    private void forgetIfDone(CallState state) {
        if (state.answered && !state.asked && !state.out() && !state.standing()) {
            byId.remove(state.request.id());
            rememberOver(state.request.id());
            if (byNumber.remove(state.number) != null) {
                descriptions -= state.request.description().length;
            }
        }
    }

    /** Notes that a call is over; false if that was known. */
    private boolean rememberOver(String call) {
        if (over.size() >= MOST_ENDED) {
            over.remove(over.iterator().next());
        }
        return over.add(call);
    }

    private void answer(CallState state, String kind, Runnable saying) {
        state.answered = true;
        metrics.count("answered." + kind);
        saying.run();
        forgetIfDone(state);
    }

    // What the module asks for.

    @Override
    public void send(long call, long exchange, long deadline) {
        CallState state = byNumber.get(call);
        state.asked = true;
        actions.add(() -> {
            state.asked = false;
            start(state, exchange, deadline);
        });
    }

    private void start(CallState state, long exchange, long deadline) {
        long now = clock.getAsLong();
        Attempt attempt = new Attempt(state.request, state.number, state.attempts.size(), exchange, now,
                Math.min(deadline, state.request.deadline()));
        // Guards the rules whatever the module asks: no second set-up beside one that is out, no set-up of a
        // call that has its answer, none beyond the most attempts, none to an exchange that the list does not name.
        if (state.answered || state.out() || attempt.index() >= settings.maxAttempts() || !started.containsKey(exchange)
                || attempt.deadline() <= now) {
            metrics.count("ended.MOOT.unsent");
            if (!state.out()) {
                state.attempts.add(attempt);
                ended(now, attempt, Status.MOOT, Cause.NONE, Report.NOTHING);
            }
            return;
        }
        state.attempts.add(attempt);
        deadlines.add(attempt.deadline(), () -> timedOut(attempt));
        metrics.count("sent.set-ups");
        log.sent(attempt);
        exchanges.invite(attempt);
    }

    private void timedOut(Attempt attempt) {
        if (attempt.out()) {
            exchanges.withdraw(attempt);
            ended(clock.getAsLong(), attempt, Status.TIMEOUT, Cause.NONE, Report.NOTHING);
        }
    }

    @Override
    public void refuse(long call, long retryAfter) {
        actions.add(() -> unansweredCall(call, "refused", state -> state.caller.refused(
                state.tried == null ? retryAfter : storms.refused(state.tried, retryAfter))));
    }

    @Override
    public void fail(long call) {
        actions.add(() -> unansweredCall(call, "failed", state -> {
            failed(state);
            state.caller.failed();
        }));
    }

    /** Guards against a second final answer: what has been answered is left alone. */
    private void unansweredCall(long call, String kind, Consumer<CallState> saying) {
        CallState state = byNumber.get(call);
        if (state != null && !state.answered) {
            log.answered(state.request.id(), kind, AnswerReason.DECIDED, state.attempts.size());
            answer(state, kind, () -> saying.accept(state));
        }
    }

    @Override
    public void cancel(long call, int attempt) {
        actions.add(() -> {
            CallState state = byNumber.get(call);
            if (state != null && state.out() && state.last().index() == attempt) {
                exchanges.withdraw(state.last());
                inbox.add(new Event.Broken(state.last(), Status.CANCELLED));
            }
        });
    }

    @Override
    public void timer(long at, long token) {
        deadlines.add(at, () -> control.onTimer(clock.getAsLong(), token));
    }

    @Override
    public void probe(long exchange) {
        LOG.warn("a probe of exchange {} was asked for; this platform allows none", exchange);
    }

    @Override
    public void closeIdle(long exchange) {
        actions.add(() -> exchanges.closeIdle(exchange));
    }

    @Override
    public void tell(int peer, byte[] message) {
        LOG.warn("a message to softswitch {} was asked for; this platform allows none", peer);
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }

    @Override
    public void subscribe(boolean on) {
        // The directory is followed at all times.
    }

    @Override
    public void fetchList() {
        // The directory is followed at all times.
    }
}
