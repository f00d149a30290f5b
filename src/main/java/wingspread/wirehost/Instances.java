package wingspread.wirehost;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wingspread.config.SettingsParser;
import wingspread.control.CallControl;
import wingspread.control.CallControl.Call;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Outcome;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Status;
import wingspread.control.ControlParameters;
import wingspread.control.WindowControl;

/**
 * The softswitch instances of the simulator: decodes batches of events and passes each event to the call control of
 * its instance.
 *
 * <p>A context record names the instance of the events that follow it in the same batch.
 */
final class Instances {
    private static final int LIST_ENTRY_BYTES = 24;
    private static final int REDIAL_FLAG = 2;
    private static final int TRANSIT_FLAG = 8;
    private static final int CUT_FLAG = 16;

    private final ReplyWriter reply;
    private final Map<Long, Instance> instances = new HashMap<>();
    /** Exchange lists, keyed by their number on the wire. */
    private final Map<Integer, List<Exchange>> lists = new HashMap<>();
    private long currentId;
    private boolean hasContext;

    Instances(ReplyWriter reply) {
        this.reply = reply;
    }

    /**
     * Processes one batch of events.
     *
     * @param body the frame without its length prefix
     * @throws WireException if the frame is malformed
     */
    void process(byte[] body) {
        FrameReader in = new FrameReader(body);
        long now = in.u64("clock");
        hasContext = false;
        while (!in.atEnd()) {
            int offset = in.offset();
            int code = in.u8("event code");
            if (code == 11) {
                currentId = in.u32("softswitch-id");
                hasContext = true;
            } else if (code == 2) {
                readList(in);
            } else if (!hasContext) {
                throw new WireException("event " + code + " at byte " + offset + " comes before any context record");
            } else if (code == 9) {
                start(in, now);
            } else if (code == 6) {
                instances.remove(currentId);
            } else {
                dispatch(code, offset, in, now);
            }
        }
    }

    private void start(FrameReader in, long now) {
        long seed = in.u64("salt");
        String text = in.text(in.count(in.u32("params"), 1, "params"), "params");
        SettingsParser.Parsed parsed = SettingsParser.parse(text);
        Instance instance = new Instance(currentId, reply, parsed.reportFields());
        instances.put(currentId, instance);
        instance.setNow(now);
        reportException(() -> instance.attach(new WindowControl(now, parsed.settings(),
                ControlParameters.DEFAULTS, seed, instance)));
    }

    /**
     * Decodes one event and passes it to the current instance.
     *
     * <p>The event is decoded in full even if the instance has been removed, so that the next event is found.
     */
    private void dispatch(int code, int offset, FrameReader in, long now) {
        Instance instance = instances.get(currentId);
        if (instance != null) {
            instance.setNow(now);
        }
        switch (code) {
            case 0 -> {
                long token = in.u64("tag");
                deliver(instance, control -> control.onTimer(now, token));
            }
            case 1 -> {
                Outcome outcome = readOutcome(in, instance);
                deliver(instance, control -> control.onOutcome(now, outcome));
            }
            case 3 -> {
                long call = in.u64("xid");
                long exchange = in.exchange("exchange");
                long elapsedMicros = in.u32("duration");
                int attempt = in.u16("n");
                deliver(instance, control -> control.onCallEstablished(now, call, attempt, exchange, elapsedMicros));
            }
            case 4 -> {
                long call = in.u64("xid");
                deliver(instance, control -> control.onCallDropped(now, call));
            }
            case 5 -> {
                Call call = readCall(in, now);
                deliver(instance, control -> control.onCall(now, call));
            }
            case 7 -> {
                Status status = status(in.u8("code"));
                long elapsedMicros = in.u32("duration");
                long exchange = in.exchange("exchange");
                Report report = readReport(in, instance);
                deliver(instance, control -> control.onReport(now, exchange, status, elapsedMicros, report));
            }
            case 8 -> {
                in.u32("stamp");
                ListKind kind = listKind(in.u8("scope"));
                int table = in.u16("table");
                List<Exchange> entries = kind == ListKind.FAILED ? List.of() : lists.get(table);
                if (entries == null) {
                    throw new WireException("fleet event at byte " + offset + " refers to unknown list " + table);
                }
                deliver(instance, control -> control.onExchangeList(now, kind, entries));
            }
            case 10 -> {
                int from = in.u16("origin-peer");
                byte[] message = in.bytes(in.u16("raw"), "raw");
                deliver(instance, control -> control.onPeer(now, from, message));
            }
            default -> throw new WireException("unknown event code " + code + " at byte " + offset);
        }
    }

    /** A decoded event: the call of one method of the call control. */
    private interface Event {
        void deliverTo(CallControl control);
    }

    private void deliver(Instance instance, Event event) {
        if (instance != null && instance.control() != null) {
            reportException(() -> event.deliverTo(instance.control()));
        }
    }

    /** Runs code of the call control and reports an exception to the simulator, with its text and top stack frame. */
    private void reportException(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault(currentId, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void readList(FrameReader in) {
        int number = in.u16("table");
        int count = in.count(in.u32("entries"), LIST_ENTRY_BYTES, "entries");
        List<Exchange> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            entries.add(new Exchange(in.exchange("exchange"), in.u16("rack-zone"), in.u8("generation-hw"),
                    in.u16("place-no"), readiness(in.u8("readiness")), in.f32("weight"), in.u64("up-since")));
        }
        lists.put(number, List.copyOf(entries));
    }

    private static Call readCall(FrameReader in, long now) {
        long id = in.u64("xid");
        int callClass = in.u16("category");
        in.u32("project");
        long number = in.u64("key");
        long deadline = now + in.u32("time-budget");
        in.u32("predicted");
        int destination = (int) in.f32("called-node");
        double width = in.f32("slots-needed");
        int via = (int) in.f32("hop");
        int flags = in.u8("bits");
        return new Call(id, callClass, number, deadline, destination, width, via, (flags & REDIAL_FLAG) != 0,
                (flags & TRANSIT_FLAG) != 0, (flags & CUT_FLAG) != 0);
    }

    private static Outcome readOutcome(FrameReader in, Instance instance) {
        long call = in.u64("xid");
        int attempt = in.u16("n");
        boolean closed = in.u8("finished") != 0;
        long exchange = in.exchange("exchange");
        long elapsedMicros = in.u32("duration");
        Status status = status(in.u8("code"));
        long clearCode = in.u32("clear-code");
        Report report = readReport(in, instance);
        Cause cause = switch ((int) (clearCode & 15)) {
            case 1 -> Cause.NO_CIRCUIT;
            case 2 -> clearCode >> 4 == 1 ? Cause.BEYOND_FULL : Cause.TANDEM_BLOCKED;
            case 3 -> Cause.PROCESSOR_FULL;
            case 4 -> Cause.LINES_BUSY;
            default -> Cause.NONE;
        };
        long waitMicros = cause == Cause.PROCESSOR_FULL ? (clearCode >> 4) * 1000 : 0;
        return new Outcome(call, attempt, closed, exchange, elapsedMicros, status, cause, waitMicros, report);
    }

    private static Report readReport(FrameReader in, Instance instance) {
        double[] values = new double[in.u8("stats")];
        for (int i = 0; i < values.length; i++) {
            values[i] = in.f32("stats");
        }
        return instance == null ? Report.EMPTY : instance.report(values);
    }

    private static Status status(int code) {
        return switch (code) {
            case 0 -> Status.OK;
            case 1 -> Status.CANCELLED;
            case 4 -> Status.TIMEOUT;
            case 8 -> Status.FULL;
            case 9 -> Status.MOOT;
            case 10 -> Status.RESET;
            case 13 -> Status.ERROR;
            case 14 -> Status.CONNECT_FAILED;
            default -> throw new WireException("unknown outcome code " + code);
        };
    }

    private static Readiness readiness(int code) {
        return switch (code) {
            case 0 -> Readiness.READY;
            case 2 -> Readiness.DRAINING;
            case 3 -> Readiness.GONE;
            default -> throw new WireException("unknown readiness " + code);
        };
    }

    private static ListKind listKind(int code) {
        return switch (code) {
            case 0 -> ListKind.DELTA;
            case 1 -> ListKind.FULL;
            case 2 -> ListKind.CACHED;
            case 3 -> ListKind.FAILED;
            default -> throw new WireException("unknown list scope " + code);
        };
    }
}
