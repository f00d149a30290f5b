package wingspread.directory;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import wingspread.net.InvalidInputException;

/**
 * A response of the directory in the subset of DNS (RFC 1035, RFC 2782) that it uses: one question, and records of the
 * types A, SOA, TXT and SRV; records of other types are skipped.
 *
 * @param id id of the query that this message answers
 * @param responseCode the response code (RCODE); 0 for no error
 * @param truncated whether the message is marked as truncated, so that records may be missing
 * @param question the question that this message repeats; null if it repeats none
 * @param records the records of all sections, in their order
 */
public record DnsMessage(int id, int responseCode, boolean truncated, DnsMessage.Question question,
        List<DnsMessage.Record> records) {
    static final int A = 1;
    private static final int SOA = 6;
    static final int TXT = 16;
    static final int SRV = 33;
    private static final int CLASS_IN = 1;
    private static final int RESPONSE = 0x8000;
    private static final int TRUNCATED = 0x0200;
    private static final int MAX_POINTERS = 32;
    private static final int MAX_NAME_LENGTH = 255;

    /**
     * The question of a query, which its response repeats.
     *
     * @param name the name queried, in lower case
     * @param type type of the records queried
     */
    public record Question(String name, int type) {
        /** Whether another question is the same; the generated {@code equals} of a record delays the start. */
        boolean sameAs(Question other) {
            return type == other.type && name.equals(other.name);
        }
    }

    /** A resource record of a response. */
    public sealed interface Record { }

    /** An SRV record: the location of a service. */
    public record Srv(int priority, int weight, int port, String target) implements Record { }

    /** An A record: the IPv4 address of a host. */
    public record Address(String name, byte[] bytes) implements Record { }

    /** A TXT record: the character strings of a name. */
    public record Text(String name, List<String> texts) implements Record { }

    /** A SOA record, of which only the serial number of the zone is kept. */
    public record Soa(long serial) implements Record { }

    /** Encodes a query for the records of a type under a name. */
    public static byte[] query(int id, String name, int type) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] header = ByteBuffer.allocate(12).putShort((short) id).putShort((short) 0).putShort((short) 1).array();
        out.writeBytes(header);
        for (String label : name.split("\\.")) {
            out.write(label.length());
            out.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
        }
        out.writeBytes(new byte[] {0, 0, (byte) type, 0, CLASS_IN});
        return out.toByteArray();
    }

    /**
     * Parses a response. A message that is marked as truncated may end before or within a record; the records before
     * its end are returned.
     *
     * @throws InvalidInputException if the message is malformed, or is cut short without being marked as truncated
     */
    public static DnsMessage parse(byte[] bytes) throws InvalidInputException {
        Reader in = new Reader(bytes);
        int id = in.u16();
        int flags = in.u16();
        if ((flags & RESPONSE) == 0) {
            throw new InvalidInputException("DNS: message is not a response");
        }
        boolean truncated = (flags & TRUNCATED) != 0;
        int questions = in.u16();
        int count = in.u16() + in.u16() + in.u16();
        Question question = null;
        for (int i = 0; i < questions; i++) {
            question = new Question(in.name(), in.u16());
            in.skip(2);
        }
        List<Record> records = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                in.record(records);
            }
        } catch (InvalidInputException e) {
            if (!truncated || !in.exceededEnd()) {
                throw e;
            }
        }
        return new DnsMessage(id, flags & 15, truncated, question, List.copyOf(records));
    }

    /** Reads a message sequentially. */
    private static final class Reader {
        private final byte[] bytes;
        private int position;
        private boolean exceededEnd;

        Reader(byte[] bytes) {
            this.bytes = bytes;
        }

        /** Whether more was to be read than the message has. */
        boolean exceededEnd() {
            return exceededEnd;
        }

        private void requireBytes(int length) throws InvalidInputException {
            if (length > bytes.length - position) {
                exceededEnd = true;
                throw new InvalidInputException("DNS: unexpected end of message");
            }
        }

        int u8() throws InvalidInputException {
            requireBytes(1);
            return bytes[position++] & 0xff;
        }

        int u16() throws InvalidInputException {
            return u8() << 8 | u8();
        }

        void skip(int length) throws InvalidInputException {
            requireBytes(length);
            position += length;
        }

        /**
         * Reads a name, which may end in a compression pointer. Limits the number of pointers followed, as malformed
         * ones may form a loop.
         */
        String name() throws InvalidInputException {
            StringBuilder out = new StringBuilder();
            int resumeAt = -1;
            int pointers = 0;
            for (int length = u8(); length != 0; length = u8()) {
                if (length >= 0xc0) {
                    int target = (length & 0x3f) << 8 | u8();
                    resumeAt = resumeAt < 0 ? position : resumeAt;
                    if (++pointers > MAX_POINTERS || target >= bytes.length) {
                        throw new InvalidInputException("DNS: invalid compression pointer in a name");
                    }
                    position = target;
                } else if (length > 63 || out.length() + length > MAX_NAME_LENGTH) {
                    throw new InvalidInputException("DNS: label or name too long");
                } else {
                    out.append(out.length() == 0 ? "" : ".").append(text(length));
                }
            }
            position = resumeAt < 0 ? position : resumeAt;
            return out.toString().toLowerCase(Locale.ROOT);
        }

        String text(int length) throws InvalidInputException {
            int from = position;
            skip(length);
            return new String(bytes, from, length, StandardCharsets.ISO_8859_1);
        }

        void record(List<Record> out) throws InvalidInputException {
            String name = name();
            int type = u16();
            skip(6);
            int length = u16();
            requireBytes(length);
            int end = position + length;
            switch (type) {
                case SRV -> out.add(new Srv(u16(), u16(), u16(), name()));
                case A -> {
                    byte[] address = {(byte) u8(), (byte) u8(), (byte) u8(), (byte) u8()};
                    out.add(new Address(name, address));
                }
                case TXT -> {
                    List<String> texts = new ArrayList<>();
                    while (position < end) {
                        texts.add(text(u8()));
                    }
                    out.add(new Text(name, List.copyOf(texts)));
                }
                case SOA -> {
                    name();
                    name();
                    out.add(new Soa((long) u16() << 16 | u16()));
                    position = end;
                }
                default -> position = end;
            }
            if (position != end) {
                throw new InvalidInputException("DNS: record data does not match the record length");
            }
        }
    }
}
