package wingspread.wirehost;

import wingspread.control.CallControl;
import wingspread.control.CallControl.Call;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Outcome;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Status;
import wingspread.config.SettingsParser;
import wingspread.control.ControlParameters;
import wingspread.control.WindowControl;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The table of instances: reads batches of events and hands each to the control it concerns. */
final class Instances {
    private static final int LIST_ENTRY = 24;
    private static final int REDIAL = 2;
    private static final int TRANSIT = 8;
    private static final int CUT = 16;

    private final ReplyWriter reply;
    private final Map<Long, Instance> instances = new HashMap<>();
    private final Map<Integer, List<Exchange>> lists = new HashMap<>();
    private long current;
    private boolean named;

    Instances(ReplyWriter reply) {
        this.reply = reply;
    }

    /** Plays one batch; {@code body} is the frame after its length. */
    void play(byte[] body) {
        FrameReader in = new FrameReader(body);
        long now = in.u64("clock");
        named = false;
        while (!in.atEnd()) {
            int at = in.offset();
            int code = in.u8("event code");
            if (code == 11) {
                current = in.u32("softswitch-id");
                named = true;
            } else if (code == 2) {
                readList(in);
            } else if (!named) {
                throw new WireException("event " + code + " at byte " + at + " comes before any context");
            } else if (code == 9) {
                start(in, now);
            } else if (code == 6) {
                instances.remove(current);
            } else {
                event(code, at, in, now);
            }
        }
    }

    private void start(FrameReader in, long now) {
        long seed = in.u64("salt");
        String text = in.text(in.count(in.u32("params"), 1, "params"), "params");
        SettingsParser.Parsed parsed = SettingsParser.parse(text);
        Instance instance = new Instance(current, reply, parsed.reportFields());
        instances.put(current, instance);
        instance.at(now);
        guard(() -> instance.attach(new WindowControl(now, parsed.settings(),
                ControlParameters.DEFAULTS, seed, instance)));
    }

    /** An event is read whole also where no instance lives any longer to hear it. */
    private void event(int code, int at, FrameReader in, long now) {
        Instance instance = instances.get(current);
        if (instance != null) {
            instance.at(now);
        }
        switch (code) {
            case 0 -> {
                long token = in.u64("tag");
                tell(instance, c -> c.onTimer(now, token));
            }
            case 1 -> {
                Outcome outcome = readOutcome(in, instance);
                tell(instance, c -> c.onOutcome(now, outcome));
            }
            case 3 -> {
                long call = in.u64("xid");
                long exchange = in.exchange("exchange");
                long took = in.u32("duration");
                int attempt = in.u16("n");
                tell(instance, c -> c.onCallEstablished(now, call, attempt, exchange, took));
            }
            case 4 -> {
                long call = in.u64("xid");
                tell(instance, c -> c.onCallDropped(now, call));
            }
            case 5 -> {
                Call call = readCall(in, now);
                tell(instance, c -> c.onCall(now, call));
            }
            case 7 -> {
                Status status = status(in.u8("code"));
                long took = in.u32("duration");
                long exchange = in.exchange("exchange");
                Report report = readReport(in, instance);
                tell(instance, c -> c.onReport(now, exchange, status, took, report));
            }
            case 8 -> {
                in.u32("stamp");
                ListKind kind = listKind(in.u8("scope"));
                int table = in.u16("table");
                List<Exchange> entries = kind == ListKind.FAILED ? List.of() : lists.get(table);
                if (entries == null) {
                    throw new WireException("fleet event at byte " + at + " names unknown list " + table);
                }
                tell(instance, c -> c.onExchangeList(now, kind, entries));
            }
            case 10 -> {
                int from = in.u16("origin-peer");
                byte[] message = in.bytes(in.u16("raw"), "raw");
                tell(instance, c -> c.onPeer(now, from, message));
            }
            default -> throw new WireException("unknown event code " + code + " at byte " + at);
        }
    }

    /** One event for one control. */
    private interface Telling {
        void to(CallControl control);
    }

    private void tell(Instance instance, Telling telling) {
        if (instance != null && instance.control() != null) {
            guard(() -> telling.to(instance.control()));
        }
    }

    /** Declares an exception of the decision code to the bench, with its text. */
    private void guard(Runnable decision) {
        try {
            decision.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault(current, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void readList(FrameReader in) {
        int number = in.u16("table");
        int n = in.count(in.u32("entries"), LIST_ENTRY, "entries");
        List<Exchange> entries = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
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
        int bits = in.u8("bits");
        return new Call(id, callClass, number, deadline, destination, width, via, (bits & REDIAL) != 0,
                (bits & TRANSIT) != 0, (bits & CUT) != 0);
    }

    private static Outcome readOutcome(FrameReader in, Instance instance) {
        long call = in.u64("xid");
        int attempt = in.u16("n");
        boolean closed = in.u8("finished") != 0;
        long exchange = in.exchange("exchange");
        long took = in.u32("duration");
        Status status = status(in.u8("code"));
        long note = in.u32("clear-code");
        Report report = readReport(in, instance);
        Cause cause = switch ((int) (note & 15)) {
            case 1 -> Cause.NO_CIRCUIT;
            case 2 -> note >> 4 == 1 ? Cause.BEYOND_FULL : Cause.TANDEM_BLOCKED;
            case 3 -> Cause.PROCESSOR_FULL;
            case 4 -> Cause.LINES_BUSY;
            default -> Cause.NONE;
        };
        long wait = cause == Cause.PROCESSOR_FULL ? (note >> 4) * 1000 : 0;
        return new Outcome(call, attempt, closed, exchange, took, status, cause, wait, report);
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
