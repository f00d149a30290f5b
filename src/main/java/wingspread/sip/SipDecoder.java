package wingspread.sip;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import wingspread.net.InvalidInputException;
import wingspread.net.FrameDecoder;
import wingspread.sip.SipMessage.Header;

/** Cuts SIP messages out of a stream, by their Content-Length, and reads them out of datagrams. */
public final class SipDecoder implements FrameDecoder<SipMessage> {
    private static final int MOST_HEADERS = 100;

    @Override
    public DecodeResult<SipMessage> next(byte[] bytes, int from, int to) throws InvalidInputException {
        int start = from;
        while (start < to && (bytes[start] == '\r' || bytes[start] == '\n')) {
            start++;
        }
        int head = headEnd(bytes, start, to);
        if (head < 0) {
            // Guards against a head without an end, which would be kept for ever.
            if (to - start > MAX_FRAME) {
                throw new InvalidInputException("SIP: a message of over " + MAX_FRAME + " bytes");
            }
            return new DecodeResult<>(null, start - from);
        }
        SipMessage message = head(bytes, start, head);
        long length = length(message);
        if (length < 0) {
            throw new InvalidInputException("SIP: no Content-Length that can be read");
        }
        if (head - start + length > MAX_FRAME) {
            throw new InvalidInputException("SIP: a message of over " + MAX_FRAME + " bytes");
        }
        int end = head + (int) length;
        if (to < end) {
            return new DecodeResult<>(null, start - from);
        }
        return new DecodeResult<>(message.withBody(Arrays.copyOfRange(bytes, head, end)), end - from);
    }

    /** The one message of a datagram; without a Content-Length its body is all that follows the head. */
    public static SipMessage datagram(byte[] bytes) throws InvalidInputException {
        int head = headEnd(bytes, 0, bytes.length);
        if (head < 0) {
            throw new InvalidInputException("SIP: a datagram without a whole head");
        }
        SipMessage message = head(bytes, 0, head);
        long length = message.header("Content-Length").isEmpty() ? bytes.length - head : length(message);
        if (length < 0 || length > bytes.length - head) {
            throw new InvalidInputException("SIP: a Content-Length that the datagram does not hold");
        }
        return message.withBody(Arrays.copyOfRange(bytes, head, head + (int) length));
    }

    /** Guards against two lengths that differ, which the two ends of a connection would read apart. */
    private static long length(SipMessage message) throws InvalidInputException {
        long found = -1;
        for (String text : message.values("Content-Length")) {
            long value = SipMessage.number(text);
            if (value < 0 || found >= 0 && found != value) {
                throw new InvalidInputException("SIP: a bad Content-Length");
            }
            found = value;
        }
        return found;
    }

    /** Where the body starts, or -1. */
    private static int headEnd(byte[] bytes, int from, int to) {
        for (int i = from; i + 3 < to; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n' && bytes[i + 2] == '\r' && bytes[i + 3] == '\n') {
                return i + 4;
            }
        }
        return -1;
    }

    private static SipMessage head(byte[] bytes, int from, int to) throws InvalidInputException {
        String[] lines = new String(bytes, from, to - from - 4, StandardCharsets.ISO_8859_1).split("\r\n");
        SipMessage first = firstLine(lines[0]);
        if (lines.length > MOST_HEADERS) {
            throw new InvalidInputException("SIP: over " + MOST_HEADERS + " headers");
        }
        List<Header> headers = new ArrayList<>(lines.length);
        for (int i = 1; i < lines.length; i++) {
            String line = lines[i];
            if (line.startsWith(" ") || line.startsWith("\t")) {
                if (headers.isEmpty()) {
                    throw new InvalidInputException("SIP: a folded line without a header");
                }
                Header last = headers.remove(headers.size() - 1);
                headers.add(new Header(last.name(), last.value() + " " + line.strip()));
                continue;
            }
            int colon = line.indexOf(':');
            if (colon < 1 || line.substring(0, colon).isBlank()) {
                throw new InvalidInputException("SIP: a header line without a name");
            }
            String name = line.substring(0, colon).strip();
            boolean via = name.equalsIgnoreCase("Via") || name.equalsIgnoreCase("v");
            // One line may hold several hops; each becomes a header, so that the first is the last hop's.
            for (String value : via ? line.substring(colon + 1).split(",") : new String[] {line.substring(colon + 1)}) {
                headers.add(new Header(name, value.strip()));
            }
        }
        return new SipMessage(first.method(), first.uri(), first.status(), first.reason(), headers, first.body());
    }

    private static SipMessage firstLine(String line) throws InvalidInputException {
        if (line.startsWith("SIP/2.0 ")) {
            long status = line.length() < 11 ? -1 : SipMessage.number(line.substring(8, 11));
            if (status < 100 || status > 699) {
                throw new InvalidInputException("SIP: a status line without a status");
            }
            return SipMessage.response((int) status, line.substring(Math.min(12, line.length())));
        }
        String[] parts = line.split(" ");
        if (parts.length != 3 || !parts[2].equals("SIP/2.0") || parts[0].isEmpty() || parts[1].isEmpty()) {
            throw new InvalidInputException("SIP: a first line that is neither request nor response");
        }
        return SipMessage.request(parts[0], parts[1]);
    }
}
