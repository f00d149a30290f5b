package wingspread.directory;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import wingspread.net.BadInput;

/** The part of DNS (RFC 1035, RFC 2782) that the directory speaks: one question, and records of five types. */
public record DnsMessage(int id, int code, boolean truncated, int question, List<DnsMessage.Record> records) {
    static final int A = 1;
    private static final int SOA = 6;
    static final int TXT = 16;
    static final int SRV = 33;
    private static final int CLASS_IN = 1;
    private static final int RESPONSE = 0x8000;
    private static final int TRUNCATED = 0x0200;
    private static final int MOST_JUMPS = 32;
    private static final int LONGEST_NAME = 255;

    /** A record of an answer. */
    public sealed interface Record { }

    /** Where a service is to be had. */
    public record Srv(int priority, int weight, int port, String target) implements Record { }

    /** An address. */
    public record Address(String name, byte[] bytes) implements Record { }

    /** Texts about a name. */
    public record Text(String name, List<String> texts) implements Record { }

    /** The authority's serial number. */
    public record Soa(long serial) implements Record { }

    /** A query for the records of a type under a name. */
    public static byte[] query(int id, String name, int type) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] head = ByteBuffer.allocate(12).putShort((short) id).putShort((short) 0).putShort((short) 1).array();
        out.writeBytes(head);
        for (String label : name.split("\\.")) {
            out.write(label.length());
            out.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
        }
        out.writeBytes(new byte[] {0, 0, (byte) type, 0, CLASS_IN});
        return out.toByteArray();
    }

    /**
     * Reads an answer. One that is marked as truncated holds the records that are there whole.
     *
     * @throws BadInput where it is malformed, or cut short without being marked so
     */
    public static DnsMessage parse(byte[] bytes) throws BadInput {
        Reader in = new Reader(bytes);
        int id = in.u16();
        int flags = in.u16();
        if ((flags & RESPONSE) == 0) {
            throw new BadInput("DNS: no response");
        }
        boolean truncated = (flags & TRUNCATED) != 0;
        int questions = in.u16();
        int count = in.u16() + in.u16() + in.u16();
        int question = 0;
        for (int i = 0; i < questions; i++) {
            in.name();
            question = in.u16();
            in.skip(2);
        }
        List<Record> records = new ArrayList<>();
        for (int i = 0; i < count && !(truncated && in.ended()); i++) {
            in.record(records);
        }
        return new DnsMessage(id, flags & 15, truncated, question, List.copyOf(records));
    }

    /** Walks over a message's bytes. */
    private static final class Reader {
        private final byte[] bytes;
        private int at;

        Reader(byte[] bytes) {
            this.bytes = bytes;
        }

        boolean ended() {
            return at == bytes.length;
        }

        int u8() throws BadInput {
            if (at >= bytes.length) {
                throw new BadInput("DNS: the message ends early");
            }
            return bytes[at++] & 0xff;
        }

        int u16() throws BadInput {
            return u8() << 8 | u8();
        }

        void skip(int n) throws BadInput {
            if (n > bytes.length - at) {
                throw new BadInput("DNS: the message ends early");
            }
            at += n;
        }

        /** A name, which may end in a pointer; guards against pointers that run in a circle. */
        String name() throws BadInput {
            StringBuilder out = new StringBuilder();
            int back = -1;
            int jumps = 0;
            for (int length = u8(); length != 0; length = u8()) {
                if (length >= 0xc0) {
                    int target = (length & 0x3f) << 8 | u8();
                    back = back < 0 ? at : back;
                    if (++jumps > MOST_JUMPS || target >= bytes.length) {
                        throw new BadInput("DNS: a bad pointer in a name");
                    }
                    at = target;
                } else if (length > 63 || out.length() + length > LONGEST_NAME) {
                    throw new BadInput("DNS: a bad name");
                } else {
                    out.append(out.length() == 0 ? "" : ".").append(text(length));
                }
            }
            at = back < 0 ? at : back;
            return out.toString().toLowerCase(Locale.ROOT);
        }

        String text(int length) throws BadInput {
            int from = at;
            skip(length);
            return new String(bytes, from, length, StandardCharsets.ISO_8859_1);
        }

        void record(List<Record> out) throws BadInput {
            String name = name();
            int type = u16();
            skip(6);
            int length = u16();
            int end = at + length;
            if (end > bytes.length) {
                throw new BadInput("DNS: the message ends inside a record");
            }
            switch (type) {
                case SRV -> out.add(new Srv(u16(), u16(), u16(), name()));
                case A -> {
                    byte[] address = {(byte) u8(), (byte) u8(), (byte) u8(), (byte) u8()};
                    out.add(new Address(name, address));
                }
                case TXT -> {
                    List<String> texts = new ArrayList<>();
                    while (at < end) {
                        texts.add(text(u8()));
                    }
                    out.add(new Text(name, List.copyOf(texts)));
                }
                case SOA -> {
                    name();
                    name();
                    out.add(new Soa((long) u16() << 16 | u16()));
                    at = end;
                }
                default -> at = end;
            }
            if (at != end) {
                throw new BadInput("DNS: a record of a wrong length");
            }
        }
    }
}
