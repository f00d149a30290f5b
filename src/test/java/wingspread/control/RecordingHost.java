package wingspread.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import wingspread.control.CallControl.Call;
import wingspread.control.CallControl.CallClass;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Effect;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.Layout;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Obligations;
import wingspread.control.CallControl.Outcome;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.RepeatGroup;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Reports;
import wingspread.control.CallControl.Settings;
import wingspread.control.CallControl.Status;

/** A host for tests, which records the actions of a control, keeps the clock and fires the timers. */
final class RecordingHost implements CallControl.Host {
    static final long SECOND_MICROS = 1_000_000;
    static final long AIM_MICROS = 1_200_000;
    static final long RELEASE_MICROS = 500_000;
    static final long COLD_MICROS = 14 * SECOND_MICROS;
    static final Obligations OBLIGATIONS = new Obligations(20_000, 250_000, 10 * SECOND_MICROS, 0.3, COLD_MICROS,
            2.5, SECOND_MICROS);

    /** A set-up that the control sent at a time, with the time until its deadline. */
    record Send(long call, long exchange, long limit, long at) { }

    private record Timer(long at, long order, long token) { }

    final List<Send> sends = new ArrayList<>();
    final List<Long> refusals = new ArrayList<>();
    final List<Long> failures = new ArrayList<>();
    final List<String> cancels = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    final List<Boolean> subscriptions = new ArrayList<>();
    /** All actions as text, to compare two runs. */
    final List<String> actions = new ArrayList<>();
    long now = 1_000 * SECOND_MICROS;
    CallControl control;
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(
            Comparator.comparingLong(Timer::at).thenComparingLong(Timer::order));
    private long nextOrder;
    private long nextCallId = 1;

    /** Returns the host of a control at place 0 of a network with ready exchanges at places 1 to {@code others}. */
    static RecordingHost network(int others) {
        return network(others, 42);
    }

    static RecordingHost network(int others, long seed) {
        RecordingHost host = new RecordingHost();
        host.control = new WindowControl(host.now, settings(Layout.NETWORK, Effect.SAFE, false, others + 1),
                ControlParameters.DEFAULTS, seed, host);
        List<Exchange> list = new ArrayList<>();
        for (int place = 0; place <= others; place++) {
            list.add(exchange(place, Readiness.READY, 0));
        }
        host.control.onExchangeList(host.now, ListKind.CACHED, list);
        return host;
    }

    void start(Settings settings) {
        start(settings, ControlParameters.DEFAULTS);
    }

    void start(Settings settings, ControlParameters figures) {
        control = new WindowControl(now, settings, figures, 42, this);
    }

    static Settings settings(Layout layout, Effect effect, boolean askForList) {
        return settings(layout, effect, askForList, 6);
    }

    static Settings settings(Layout layout, Effect effect, boolean askForList, int softswitches) {
        List<Integer> pools = layout == Layout.SKILLS ? List.of(1, 2) : List.of();
        CallClass plain = new CallClass("plain", AIM_MICROS, 9 * SECOND_MICROS, 1, 0.1, 1, 12 * SECOND_MICROS,
                effect, RepeatGroup.ALL, 5 * SECOND_MICROS, pools);
        CallClass wide = new CallClass("wide", AIM_MICROS, 9 * SECOND_MICROS, 3, 0.1, 4, 18 * SECOND_MICROS,
                effect, RepeatGroup.CELL, 5 * SECOND_MICROS, pools);
        return new Settings(layout, layout == Layout.SKILLS ? -1 : 0, 0, 0, softswitches, List.of(plain, wide),
                askForList, Reports.SILENT, false, false, true, false, true, true, 2 * SECOND_MICROS, 6,
                RELEASE_MICROS, 0, OBLIGATIONS);
    }

    static Exchange exchange(int place, Readiness readiness, long upSince) {
        return new Exchange(place, 0, 0, place, readiness, 1, upSince);
    }

    long call(int destination) {
        return call(destination, 0);
    }

    long call(int destination, long number) {
        return call(0, destination, number, 3 * SECOND_MICROS, -1, false);
    }

    long transit(int destination) {
        return call(0, destination, 0, 3 * SECOND_MICROS, 2, true);
    }

    long call(int callClass, int destination, long number, long waitMicros, int via, boolean transit) {
        long id = nextCallId++;
        double width = callClass == 0 ? 1 : 4;
        control.onCall(now, new Call(id, callClass, number, now + waitMicros,
                destination, width, via, false, transit, false));
        return id;
    }

    void reportGroup(int place, int free, int circuits) {
        control.onReport(now, place, Status.OK, 0, new Report(free, circuits, Double.NaN, Double.NaN, Double.NaN,
                Double.NaN, Double.NaN, Double.NaN));
    }

    /** Reports the outcome of the last set-up. */
    void answer(Status status, Cause cause) {
        answer(lastSend(), status, cause);
    }

    void answer(Send send, Status status, Cause cause) {
        control.onOutcome(now, new Outcome(send.call(), attempts.get(send.call()), status == Status.OK,
                send.exchange(), now - send.at(), status, cause, 0, Report.EMPTY));
    }

    /** Establishes the call of the last set-up, and ends the call at once. */
    void establish() {
        Send send = lastSend();
        control.onCallEstablished(now, send.call(), attempts.get(send.call()), send.exchange(), now - send.at());
        answer(send, Status.OK, Cause.NONE);
    }

    /** Advances the clock and fires the timers that expire. */
    void advance(long micros) {
        long until = now + micros;
        while (!timers.isEmpty() && timers.peek().at() <= until) {
            Timer expired = timers.remove();
            now = expired.at();
            control.onTimer(now, expired.token());
        }
        now = until;
    }

    Send lastSend() {
        return sends.get(sends.size() - 1);
    }

    boolean hasFinalAnswer(long call) {
        return refusals.contains(call) || failures.contains(call);
    }

    @Override
    public void send(long call, long exchange, long deadline) {
        long limit = deadline - now;
        attempts.merge(call, 0, (attempt, zero) -> attempt + 1);
        sends.add(new Send(call, exchange, limit, now));
        actions.add("send " + call + " " + exchange + " " + limit);
    }

    @Override
    public void refuse(long call, long retryAfter) {
        refusals.add(call);
        actions.add("refuse " + call + " " + retryAfter);
    }

    @Override
    public void fail(long call) {
        failures.add(call);
        actions.add("fail " + call);
    }

    @Override
    public void cancel(long call, int attempt) {
        cancels.add(call + "/" + attempt);
        actions.add("cancel " + call + " " + attempt);
    }

    @Override
    public void setTimer(long at, long token) {
        timers.add(new Timer(at, nextOrder++, token));
    }

    /** Keeps the timer, whether or not the call is answered: the control must not depend on its cancellation. */
    @Override
    public void setCallTimer(long call, long at, long token) {
        setTimer(at, token);
    }

    @Override
    public void probe(long exchange) {
        actions.add("probe " + exchange);
    }

    @Override
    public void closeIdle(long exchange) {
        actions.add("close " + exchange);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        actions.add("tell " + peer);
    }

    @Override
    public void log(String line) {
        logLines.add(line);
    }

    @Override
    public void subscribe(boolean on) {
        subscriptions.add(on);
    }

    @Override
    public void fetchList() {
        actions.add("fetch");
    }
}
