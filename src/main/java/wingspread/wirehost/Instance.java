package wingspread.wirehost;

import java.util.List;
import wingspread.control.CallControl;
import wingspread.control.CallControl.Report;

/** One softswitch instance of the simulator: encodes the actions of its call control into the reply. */
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

    /** Sets the call control, whose constructor takes this host. */
    void attach(CallControl newControl) {
        control = newControl;
    }

    /**
     * Sets the time of the batch being processed. Deadlines are encoded as durations from this time.
     *
     * @param batchMicros the batch's clock
     */
    void setNow(long batchMicros) {
        now = batchMicros;
    }

    /** Returns the call control, or null if its constructor failed. */
    CallControl control() {
        return control;
    }

    /**
     * Converts the values of a load report, which come in the order that the settings give the report's fields.
     *
     * <p>A negative value means that the field does not apply; it becomes NaN, as do fields that are not reported.
     */
    Report report(double[] values) {
        return values.length == 0 ? Report.EMPTY : new Report(value(values, "idle"), value(values,
                "circuits"),
                value(values, "outstanding"), value(values, "backlog"), value(values, "utilization"),
                value(values, "recent_ms"), value(values, "max_rate"), value(values, "reduce"));
    }

    private double value(double[] values, String field) {
        int index = reportFields.indexOf(field);
        return index < 0 || index >= values.length || values[index] < 0 ? Double.NaN : values[index];
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

    /** Sets a timer without the call: the simulator's wire has no cancellation of timers. */
    @Override
    public void setCallTimer(long call, long at, long token) {
        setTimer(at, token);
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
