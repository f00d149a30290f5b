package wingspread.control;

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
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** A host for tests: records the actions, keeps the clock and lets timers fall due. */
final class RecordingHost implements CallControl.Host {
    static final long SECOND = 1_000_000;
    static final long AIM = 1_200_000;
    static final long RELEASE = 500_000;
    static final long COLD = 14 * SECOND;
    static final Obligations RULES = new Obligations(20_000, 250_000, 10 * SECOND, 0.3, COLD, 2.5, SECOND);

    /** A set-up that the control started. */
    record Send(long call, long exchange, long limit, long at) { }

    private record Timer(long at, long order, long token) { }

    final List<Send> sends = new ArrayList<>();
    final List<Long> refusals = new ArrayList<>();
    final List<Long> failures = new ArrayList<>();
    final List<String> cancels = new ArrayList<>();
    final List<String> lines = new ArrayList<>();
    final List<Boolean> subscriptions = new ArrayList<>();
    /** All actions in words, to compare two runs. */
    final List<String> script = new ArrayList<>();
    long now = 1_000 * SECOND;
    CallControl control;
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(
            Comparator.comparingLong(Timer::at).thenComparingLong(Timer::order));
    private long order;
    private long nextCall = 1;

    /** A control at place 0 of a network with ready exchanges at places 1 to {@code others}. */
    static RecordingHost network(int others) {
        return network(others, 42);
    }

    static RecordingHost network(int others, long seed) {
        RecordingHost host = new RecordingHost();
        host.control = new WindowControl(host.now, settings(Layout.NETWORK, Effect.SAFE, false, others + 1),
                Figures.USUAL, seed, host);
        List<Exchange> list = new ArrayList<>();
        for (int place = 0; place <= others; place++) {
            list.add(exchange(place, Readiness.READY, 0));
        }
        host.control.onExchangeList(host.now, ListKind.CACHED, list);
        return host;
    }

    void start(Settings settings) {
        start(settings, Figures.USUAL);
    }

    void start(Settings settings, Figures figures) {
        control = new WindowControl(now, settings, figures, 42, this);
    }

    static Settings settings(Layout layout, Effect effect, boolean ask) {
        return settings(layout, effect, ask, 6);
    }

    static Settings settings(Layout layout, Effect effect, boolean ask, int softswitches) {
        List<Integer> pools = layout == Layout.SKILLS ? List.of(1, 2) : List.of();
        CallClass plain = new CallClass("plain", AIM, 9 * SECOND, 1, 0.1, 1, 12 * SECOND, effect, RepeatGroup.ALL,
                5 * SECOND, pools);
        CallClass wide = new CallClass("wide", AIM, 9 * SECOND, 3, 0.1, 4, 18 * SECOND, effect, RepeatGroup.CELL,
                5 * SECOND, pools);
        return new Settings(layout, layout == Layout.SKILLS ? -1 : 0, 0, 0, softswitches, List.of(plain, wide), ask,
                Reports.SILENT, false, false, true, false, true, true, 2 * SECOND, 6, RELEASE, 0, RULES);
    }

    static Exchange exchange(int place, Readiness readiness, long upSince) {
        return new Exchange(place, 0, 0, place, readiness, 1, upSince);
    }

    long call(int destination) {
        return call(destination, 0);
    }

    long call(int destination, long number) {
        return call(0, destination, number, 3 * SECOND, -1, false);
    }

    long transit(int destination) {
        return call(0, destination, 0, 3 * SECOND, 2, true);
    }

    long call(int callClass, int destination, long number, long left, int via, boolean transit) {
        long id = nextCall++;
        double width = callClass == 0 ? 1 : 4;
        control.onCall(now, new Call(id, callClass, number, now + left,
                destination, width, via, false, transit, false));
        return id;
    }

    void group(int place, int free, int circuits) {
        control.onReport(now, place, Status.OK, 0, new Report(free, circuits, Double.NaN, Double.NaN, Double.NaN,
                Double.NaN, Double.NaN, Double.NaN));
    }

    /** The last set-up ends like this. */
    void answer(Status status, Cause cause) {
        answer(last(), status, cause);
    }

    void answer(Send send, Status status, Cause cause) {
        control.onOutcome(now, new Outcome(send.call(), attempts.get(send.call()), status == Status.OK,
                send.exchange(), now - send.at(), status, cause, 0, Report.NOTHING));
    }

    /** The last set-up brings its call to stand, and the call ends at once. */
    void stand() {
        Send send = last();
        control.onStood(now, send.call(), attempts.get(send.call()), send.exchange(), now - send.at());
        answer(send, Status.OK, Cause.NONE);
    }

    void pass(long time) {
        long until = now + time;
        while (!timers.isEmpty() && timers.peek().at() <= until) {
            Timer timer = timers.remove();
            now = timer.at();
            control.onTimer(now, timer.token());
        }
        now = until;
    }

    Send last() {
        return sends.get(sends.size() - 1);
    }

    boolean answered(long call) {
        return refusals.contains(call) || failures.contains(call);
    }

    @Override
    public void send(long call, long exchange, long deadline) {
        long limit = deadline - now;
        attempts.merge(call, 0, (n, zero) -> n + 1);
        sends.add(new Send(call, exchange, limit, now));
        script.add("send " + call + " " + exchange + " " + limit);
    }

    @Override
    public void refuse(long call, long retryAfter) {
        refusals.add(call);
        script.add("refuse " + call + " " + retryAfter);
    }

    @Override
    public void fail(long call) {
        failures.add(call);
        script.add("fail " + call);
    }

    @Override
    public void cancel(long call, int attempt) {
        cancels.add(call + "/" + attempt);
        script.add("cancel " + call + " " + attempt);
    }

    @Override
    public void timer(long at, long token) {
        timers.add(new Timer(at, order++, token));
    }

    @Override
    public void probe(long exchange) {
        script.add("probe " + exchange);
    }

    @Override
    public void closeIdle(long exchange) {
        script.add("close " + exchange);
    }

    @Override
    public void tell(int peer, byte[] message) {
        script.add("tell " + peer);
    }

    @Override
    public void log(String line) {
        lines.add(line);
    }

    @Override
    public void subscribe(boolean on) {
        subscriptions.add(on);
    }

    @Override
    public void fetchList() {
        script.add("fetch");
    }
}
