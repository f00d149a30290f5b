package wingspread.wirehost;

import wingspread.control.CallControl;
import wingspread.control.CallControl.Report;
import java.util.List;

/** One softswitch on the wire: passes the actions of its control on to the reply. */
final class Instance implements CallControl.Host {
    private final long id;
    private final ReplyWriter reply;
    private final List<String> reportFields;
    private CallControl control;
    private long now;

    Instance(long id, ReplyWriter reply, List<String> reportFields) {
        this.id = id;
        this.reply = reply;
        this.reportFields = reportFields;
    }

    void attach(CallControl newControl) {
        control = newControl;
    }

    /** The clock of the batch that is played, from which the wire's durations count. */
    void at(long batchClock) {
        now = batchClock;
    }

    CallControl control() {
        return control;
    }

    /** Names the values of a load report; the wire says -1 for one that does not apply. */
    Report report(double[] values) {
        return values.length == 0 ? Report.EMPTY : new Report(value(values, "idle"), value(values,
                "circuits"),
                value(values, "outstanding"), value(values, "backlog"), value(values, "utilization"),
                value(values, "recent_ms"), value(values, "max_rate"), value(values, "reduce"));
    }

    private double value(double[] values, String field) {
        int at = reportFields.indexOf(field);
        return at < 0 || at >= values.length || values[at] < 0 ? Double.NaN : values[at];
    }

    @Override
    public void send(long call, long exchange, long deadline) {
        reply.send(id, call, exchange, deadline - now);
    }

    @Override
    public void refuse(long call, long retryAfter) {
        reply.refuse(id, call, retryAfter);
    }

    @Override
    public void fail(long call) {
        reply.fail(id, call);
    }

    @Override
    public void cancel(long call, int attempt) {
        reply.cancel(id, call, attempt);
    }

    @Override
    public void setTimer(long at, long token) {
        reply.setTimer(id, at - now, token);
    }

    @Override
    public void probe(long exchange) {
        reply.probe(id, exchange);
    }

    @Override
    public void closeIdle(long exchange) {
        reply.closeIdle(id, exchange);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        reply.sendToPeer(id, peer, message);
    }

    @Override
    public void log(String line) {
        reply.log(id, line);
    }

    @Override
    public void subscribe(boolean on) {
        reply.subscribe(id, on);
    }

    @Override
    public void fetchList() {
        reply.fetchList(id);
    }
}
