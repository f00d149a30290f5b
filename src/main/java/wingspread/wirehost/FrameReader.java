package wingspread.wirehost;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads the fields of one frame of the simulator's protocol in order, in network byte order.
 *
 * <p>Every read method takes the name of the field. If the frame ends before the field does, the method throws a
 * {@link WireException} that names the field and its offset.
 */
final class FrameReader {
    private final ByteBuffer frame;

    FrameReader(byte[] frame) {
        this.frame = ByteBuffer.wrap(frame);
    }

    boolean atEnd() {
        return !frame.hasRemaining();
    }

    /** Returns the offset of the next field, in bytes after the frame's length prefix. */
    int offset() {
        return frame.position();
    }

    int u8(String field) {
        requireBytes(1, field);
        return frame.get() & 0xff;
    }

    int u16(String field) {
        requireBytes(2, field);
        return frame.getShort() & 0xffff;
    }

    long u32(String field) {
        requireBytes(4, field);
        return frame.getInt() & 0xffffffffL;
    }

    long u64(String field) {
        requireBytes(8, field);
        return frame.getLong();
    }

    float f32(String field) {
        requireBytes(4, field);
        return frame.getFloat();
    }

    /** Reads the address of an exchange (four bytes of IPv4 address, two of port) into the low 48 bits. */
    long exchange(String field) {
        requireBytes(6, field);
        return (frame.getInt() & 0xffffffffL) << 16 | frame.getShort() & 0xffffL;
    }

    /**
     * Checks the number of elements of a list against the rest of the frame, so that no array is allocated for more.
     *
     * @param count number of elements, as read from the frame
     * @param elementBytes size of an element
     * @return the same number
     */
    int count(long count, int elementBytes, String field) {
        if (count * elementBytes > frame.remaining()) {
            throw truncated(field);
        }
        return (int) count;
    }

    byte[] bytes(int length, String field) {
        requireBytes(length, field);
        byte[] out = new byte[length];
        frame.get(out);
        return out;
    }

    String text(int length, String field) {
        return new String(bytes(length, field), StandardCharsets.UTF_8);
    }

    private void requireBytes(int length, String field) {
        if (frame.remaining() < length) {
            throw truncated(field);
        }
    }

    private WireException truncated(String field) {
        return new WireException("frame is truncated in field '" + field + "' at byte " + frame.position());
    }
}
