package wingspread.wirehost;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads the fields of one batch, in order; a frame too short for a field is named with the field and its
 * offset.
 */
final class FrameReader {
    private final ByteBuffer frame;

    FrameReader(byte[] frame) {
        this.frame = ByteBuffer.wrap(frame);
    }

    boolean atEnd() {
        return !frame.hasRemaining();
    }

    int offset() {
        return frame.position();
    }

    int u8(String field) {
        need(1, field);
        return frame.get() & 0xff;
    }

    int u16(String field) {
        need(2, field);
        return frame.getShort() & 0xffff;
    }

    long u32(String field) {
        need(4, field);
        return frame.getInt() & 0xffffffffL;
    }

    long u64(String field) {
        need(8, field);
        return frame.getLong();
    }

    float f32(String field) {
        need(4, field);
        return frame.getFloat();
    }

    /** An exchange: four bytes of address and a port, kept in the low 48 bits. */
    long exchange(String field) {
        need(6, field);
        return (frame.getInt() & 0xffffffffL) << 16 | frame.getShort() & 0xffffL;
    }

    /** A count, checked against what the frame can still hold at {@code size} bytes each. */
    int count(long n, int size, String field) {
        if (n * size > frame.remaining()) {
            throw cutOff(field);
        }
        return (int) n;
    }

    byte[] bytes(int n, String field) {
        need(n, field);
        byte[] out = new byte[n];
        frame.get(out);
        return out;
    }

    String text(int n, String field) {
        return new String(bytes(n, field), StandardCharsets.UTF_8);
    }

    private void need(int n, String field) {
        if (frame.remaining() < n) {
            throw cutOff(field);
        }
    }

    private WireException cutOff(String field) {
        return new WireException("frame is cut off in field '" + field + "' at byte " + frame.position());
    }
}
