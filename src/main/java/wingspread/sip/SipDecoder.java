package wingspread.sip;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import wingspread.net.FrameDecoder;
import wingspread.net.InvalidInputException;
import wingspread.sip.SipMessage.Header;

/** Decodes SIP messages from a byte stream, where the Content-Length delimits them, and from datagrams. */
public final class SipDecoder implements FrameDecoder<SipMessage> {
    /** The limit on the lines of a message head, its first line included. */
    private static final int MAX_HEAD_LINES = 100;
    /** The length of the empty line that ends a message head, with the end of the line before it. */
    private static final int END_OF_HEAD_BYTES = 4;

    @Override
    public DecodeResult<SipMessage> next(byte[] bytes, int from, int to) throws InvalidInputException {
        return next(bytes, from, from, to);
    }

    @Override
    public DecodeResult<SipMessage> next(byte[] bytes, int from, int examinedTo, int to) throws InvalidInputException {
        int start = from;
        while (start < to && (bytes[start] == '\r' || bytes[start] == '\n')) {
            start++;
        }
        int bodyStart = findBody(bytes, Math.max(start, examinedTo - END_OF_HEAD_BYTES), to);
        if (bodyStart < 0) {
            // Limits the buffered bytes of a message whose head never ends.
            if (to - start > MAX_FRAME) {
                throw new InvalidInputException("SIP: message exceeds " + MAX_FRAME + " bytes");
            }
            return new DecodeResult<>(null, start - from);
        }
        SipMessage message = parseHead(bytes, start, bodyStart);
        long length = contentLength(message);
        if (length < 0) {
            throw new InvalidInputException("SIP: missing Content-Length");
        }
        if (bodyStart - start + length > MAX_FRAME) {
            throw new InvalidInputException("SIP: message exceeds " + MAX_FRAME + " bytes");
        }
        int end = bodyStart + (int) length;
        if (to < end) {
            return new DecodeResult<>(null, start - from, end - start);
        }
        return new DecodeResult<>(message.withBody(Arrays.copyOfRange(bytes, bodyStart, end)), end - from);
    }

    /**
     * Decodes the message of a datagram. Without a Content-Length, its body is everything that follows the head.
     *
     * @throws InvalidInputException if the datagram does not hold a complete message
     */
    public static SipMessage decodeDatagram(byte[] bytes) throws InvalidInputException {
        int bodyStart = findBody(bytes, 0, bytes.length);
        if (bodyStart < 0) {
            throw new InvalidInputException("SIP: datagram without a complete message head");
        }
        SipMessage message = parseHead(bytes, 0, bodyStart);
        long length = message.header("Content-Length").isEmpty() ? bytes.length - bodyStart : contentLength(message);
        if (length < 0 || length > bytes.length - bodyStart) {
            throw new InvalidInputException("SIP: Content-Length exceeds the datagram");
        }
        return message.withBody(Arrays.copyOfRange(bytes, bodyStart, bodyStart + (int) length));
    }

    /**
     * Returns the Content-Length, or -1 if there is none. Differing values are rejected, as the two ends of a
     * connection could choose different ones and disagree on where the next message starts.
     */
    private static long contentLength(SipMessage message) throws InvalidInputException {
        long length = -1;
        for (String text : message.values("Content-Length")) {
            long value = SipMessage.number(text);
            if (value < 0 || length >= 0 && length != value) {
                throw new InvalidInputException("SIP: invalid or conflicting Content-Length");
            }
            length = value;
        }
        return length;
    }

    /** Returns the index of the first byte after the head, or -1 if the head is incomplete. */
    private static int findBody(byte[] bytes, int from, int to) {
        for (int i = from; i + 3 < to; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n' && bytes[i + 2] == '\r' && bytes[i + 3] == '\n') {
                return i + END_OF_HEAD_BYTES;
            }
        }
        return -1;
    }

    private static SipMessage parseHead(byte[] bytes, int from, int to) throws InvalidInputException {
        rejectControlCharacters(bytes, from, to);
        int length = to - from - END_OF_HEAD_BYTES;
        String[] lines = new String(bytes, from, length, StandardCharsets.ISO_8859_1).split("\r\n");
        SipMessage startLine = parseStartLine(lines[0]);
        if (lines.length > MAX_HEAD_LINES) {
            throw new InvalidInputException("SIP: more than " + MAX_HEAD_LINES + " lines in a message head");
        }
        List<Header> headers = new ArrayList<>(lines.length);
        for (int i = 1; i < lines.length; i++) {
            String line = lines[i];
            if (line.startsWith(" ") || line.startsWith("\t")) {
                if (headers.isEmpty()) {
                    throw new InvalidInputException("SIP: folded line without a preceding header");
                }
                Header last = headers.remove(headers.size() - 1);
                headers.add(new Header(last.name(), last.value() + " " + line.strip()));
                continue;
            }
            int colon = line.indexOf(':');
            if (colon < 1 || line.substring(0, colon).isBlank()) {
                throw new InvalidInputException("SIP: header line without a name");
            }
            String name = line.substring(0, colon).strip();
            boolean via = name.equalsIgnoreCase("Via") || name.equalsIgnoreCase("v");
            // A Via line may list several hops. Each becomes a header of its own, so that the first is the last hop.
            for (String value : via ? line.substring(colon + 1).split(",") : new String[] {line.substring(colon + 1)}) {
                headers.add(new Header(name, value.strip()));
            }
        }
        return new SipMessage(startLine.method(), startLine.uri(), startLine.status(), startLine.reason(), headers,
                startLine.body());
    }

    /**
     * Rejects a head with control characters other than tabs and the two of a line end. They are not allowed there (RFC
     * 3261, section 25.1), and a receiver that took one of them for a line end would read other headers than this one.
     */
    private static void rejectControlCharacters(byte[] bytes, int from, int to) throws InvalidInputException {
        for (int i = from; i < to; i++) {
            if (bytes[i] == '\r' && i + 1 < to && bytes[i + 1] == '\n') {
                i++;
            } else if (SipMessage.isForbidden((char) (bytes[i] & 0xff))) {
                throw new InvalidInputException("SIP: control character in a message head");
            }
        }
    }

    private static SipMessage parseStartLine(String line) throws InvalidInputException {
        if (line.startsWith("SIP/2.0 ")) {
            long status = line.length() < 11 ? -1 : SipMessage.number(line.substring(8, 11));
            if (status < 100 || status > 699) {
                throw new InvalidInputException("SIP: status line without a valid status code");
            }
            return SipMessage.response((int) status, line.substring(Math.min(12, line.length())));
        }
        String[] parts = line.split(" ");
        if (parts.length != 3 || !parts[2].equals("SIP/2.0") || parts[0].isEmpty() || parts[1].isEmpty()) {
            throw new InvalidInputException("SIP: start line is neither a request line nor a status line");
        }
        return SipMessage.request(parts[0], parts[1]);
    }
}
