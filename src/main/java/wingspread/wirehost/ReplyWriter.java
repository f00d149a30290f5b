package wingspread.wirehost;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Collects the actions that answer one batch and writes them as one reply. */
final class ReplyWriter {
    private static final int HEADER = 8;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final DataOutputStream out = new DataOutputStream(bytes);
    private int records;
    private long owner = -1;

    /** One action's fields, written to memory. */
    private interface Fields {
        void write(DataOutputStream out) throws IOException;
    }

    void send(long instance, long call, long exchange, long limit) {
        record(instance, 0, o -> {
            o.writeLong(call);
            writeExchange(o, exchange);
            o.writeInt(u32(limit));
        });
    }

    void refuse(long instance, long call, long retryAfter) {
        record(instance, 1, o -> {
            o.writeLong(call);
            o.writeInt(u32(retryAfter));
        });
    }

    void fail(long instance, long call) {
        record(instance, 2, o -> o.writeLong(call));
    }

    void cancel(long instance, long call, int attempt) {
        record(instance, 3, o -> {
            o.writeLong(call);
            o.writeShort(attempt);
        });
    }

    void setTimer(long instance, long delay, long token) {
        record(instance, 4, o -> {
            o.writeInt(u32(delay));
            o.writeLong(token);
        });
    }

    void probe(long instance, long exchange) {
        record(instance, 5, o -> writeExchange(o, exchange));
    }

    void closeIdle(long instance, long exchange) {
        record(instance, 6, o -> writeExchange(o, exchange));
    }

    void sendToPeer(long instance, int peer, byte[] message) {
        record(instance, 7, o -> {
            o.writeShort(peer);
            o.writeShort(message.length);
            o.write(message);
        });
    }

    void log(long instance, String line) {
        record(instance, 8, o -> writeText(o, line));
    }

    void fault(long instance, String line) {
        record(instance, 9, o -> writeText(o, line));
    }

    void subscribe(long instance, boolean on) {
        record(instance, 10, o -> o.writeByte(on ? 1 : 0));
    }

    void fetchList(long instance) {
        record(instance, 11, o -> { });
    }

    /** Writes the reply and starts the next one. */
    void flushTo(OutputStream target) throws IOException {
        byte[] body = bytes.toByteArray();
        target.write(ByteBuffer.allocate(HEADER).putInt(records).putInt(HEADER + body.length).array());
        target.write(body);
        target.flush();
        bytes.reset();
        records = 0;
        owner = -1;
    }

    private void record(long instance, int code, Fields fields) {
        try {
            if (owner != instance) {
                out.writeByte(12);
                out.writeInt((int) instance);
                records++;
                owner = instance;
            }
            out.writeByte(code);
            fields.write(out);
            records++;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void writeExchange(DataOutputStream o, long exchange) throws IOException {
        o.writeInt((int) (exchange >>> 16));
        o.writeShort((int) exchange);
    }

    private static void writeText(DataOutputStream o, String line) throws IOException {
        byte[] text = line.getBytes(StandardCharsets.UTF_8);
        int n = Math.min(text.length, 0xffff);
        o.writeShort(n);
        o.write(text, 0, n);
    }

    /** A duration as the wire holds it: a u32, cut to what fits. */
    private static int u32(long value) {
        return (int) Math.max(0, Math.min(value, 0xffffffffL));
    }
}
