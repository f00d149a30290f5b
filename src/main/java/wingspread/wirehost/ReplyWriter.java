package wingspread.wirehost;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Encodes the actions that result from one batch of events and writes them as one reply.
 *
 * <p>A reply starts with the number of records and its length in bytes, header included. A context record precedes the
 * first action of each run of actions of one instance.
 */
final class ReplyWriter {
    private static final int HEADER_BYTES = 8;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final DataOutputStream out = new DataOutputStream(bytes);
    private int recordCount;
    /** The instance of the last context record of this reply, or -1 for none. */
    private long contextInstance = -1;

    /** Encodes the fields of one action. */
    private interface Fields {
        void write(DataOutputStream out) throws IOException;
    }

    void send(long instance, long call, long exchange, long limitMicros) {
        record(instance, 0, data -> {
            data.writeLong(call);
            writeExchange(data, exchange);
            data.writeInt(u32(limitMicros));
        });
    }

    void refuse(long instance, long call, long retryAfterMicros) {
        record(instance, 1, data -> {
            data.writeLong(call);
            data.writeInt(u32(retryAfterMicros));
        });
    }

    void fail(long instance, long call) {
        record(instance, 2, data -> data.writeLong(call));
    }

    void cancel(long instance, long call, int attempt) {
        record(instance, 3, data -> {
            data.writeLong(call);
            data.writeShort(attempt);
        });
    }

    void setTimer(long instance, long delayMicros, long token) {
        record(instance, 4, data -> {
            data.writeInt(u32(delayMicros));
            data.writeLong(token);
        });
    }

    void probe(long instance, long exchange) {
        record(instance, 5, data -> writeExchange(data, exchange));
    }

    void closeIdle(long instance, long exchange) {
        record(instance, 6, data -> writeExchange(data, exchange));
    }

    void sendToPeer(long instance, int peer, byte[] message) {
        record(instance, 7, data -> {
            data.writeShort(peer);
            data.writeShort(message.length);
            data.write(message);
        });
    }

    /** Adds a log line of an instance. */
    void log(long instance, String line) {
        record(instance, 8, data -> writeText(data, line));
    }

    /** Adds the report of an exception in an instance's call control. */
    void fault(long instance, String line) {
        record(instance, 9, data -> writeText(data, line));
    }

    void subscribe(long instance, boolean on) {
        record(instance, 10, data -> data.writeByte(on ? 1 : 0));
    }

    void fetchList(long instance) {
        record(instance, 11, data -> { });
    }

    /** Writes the reply to the given stream, flushes it and starts the next reply. */
    void flushTo(OutputStream target) throws IOException {
        byte[] body = bytes.toByteArray();
        target.write(ByteBuffer.allocate(HEADER_BYTES).putInt(recordCount).putInt(HEADER_BYTES + body.length).array());
        target.write(body);
        target.flush();
        bytes.reset();
        recordCount = 0;
        contextInstance = -1;
    }

    private void record(long instance, int code, Fields fields) {
        try {
            if (contextInstance != instance) {
                out.writeByte(12);
                out.writeInt((int) instance);
                recordCount++;
                contextInstance = instance;
            }
            out.writeByte(code);
            fields.write(out);
            recordCount++;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void writeExchange(DataOutputStream data, long exchange) throws IOException {
        data.writeInt((int) (exchange >>> 16));
        data.writeShort((int) exchange);
    }

    /** Writes a line as UTF-8 with a 16-bit length; bytes beyond 65,535 are dropped. */
    private static void writeText(DataOutputStream data, String line) throws IOException {
        byte[] text = line.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(text.length, 0xffff);
        data.writeShort(length);
        data.write(text, 0, length);
    }

    /** Returns a duration as an unsigned 32-bit integer, limited to the range of that type. */
    private static int u32(long value) {
        return (int) Math.max(0, Math.min(value, 0xffffffffL));
    }
}
