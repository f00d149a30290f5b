package wingspread.sip;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A request or a response of RFC 3261. Text holds one char for each byte.
 *
 * @param method of a request, null for a response
 * @param uri of a request, null for a response
 * @param status of a response, 0 for a request
 * @param reason the phrase of a response
 */
public record SipMessage(
        String method, String uri, int status, String reason, List<Header> headers, byte[] body) {
    private static final Map<String, String> COMPACT = Map.of("i", "call-id", "l", "content-length", "v", "via",
            "f", "from", "t", "to", "m", "contact", "c", "content-type", "e", "content-encoding", "s", "subject",
            "k", "supported");
    private static final byte[] NO_BODY = new byte[0];

    /** One header line. */
    public record Header(String name, String value) { }

    /** A request without headers. */
    public static SipMessage request(String method, String uri) {
        return new SipMessage(method, uri, 0, "", new ArrayList<>(), NO_BODY);
    }

    /** A response without headers. */
    public static SipMessage response(int status, String reason) {
        return new SipMessage(null, null, status, reason, new ArrayList<>(), NO_BODY);
    }

    /** A response with the headers that RFC 3261, 8.2.6.2 copies from the request. */
    public SipMessage reply(int code, String phrase) {
        SipMessage out = response(code, phrase);
        for (Header header : headers) {
            switch (canonical(header.name())) {
                case "via", "from", "to", "call-id", "cseq" -> out.headers.add(header);
                default -> { }
            }
        }
        return out;
    }

    /** This message with one header line more. */
    public SipMessage with(String name, String value) {
        headers.add(new Header(name, value));
        return this;
    }

    /** This message with a body. */
    public SipMessage withBody(byte[] newBody) {
        return new SipMessage(method, uri, status, reason, headers, newBody);
    }

    public boolean isRequest() {
        return method != null;
    }

    /** The first value of a header, long or compact, or the empty string. */
    public String header(String name) {
        String wanted = canonical(name);
        for (Header header : headers) {
            if (canonical(header.name()).equals(wanted)) {
                return header.value();
            }
        }
        return "";
    }

    /** All values of a header, in order. */
    public List<String> values(String name) {
        String wanted = canonical(name);
        return headers.stream().filter(h -> canonical(h.name()).equals(wanted)).map(Header::value).toList();
    }

    public String callId() {
        return header("Call-ID");
    }

    /** The number of the CSeq header, or -1. */
    public long cseq() {
        String value = header("CSeq");
        int end = value.indexOf(' ');
        return number(end < 0 ? value : value.substring(0, end));
    }

    /** The method of the CSeq header. */
    public String cseqMethod() {
        String value = header("CSeq");
        return value.substring(value.lastIndexOf(' ') + 1).strip();
    }

    /** A decimal number of a header, or -1. */
    public static long number(String text) {
        String digits = text.strip();
        if (digits.isEmpty() || digits.length() > 18 || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        return Long.parseLong(digits);
    }

    /** A parameter of a header's value, such as the branch of a Via; null where it is absent. */
    public static String parameter(String value, String name) {
        int close = value.lastIndexOf('>');
        for (String part : value.substring(close + 1).split(";")) {
            int eq = part.indexOf('=');
            if ((eq < 0 ? part : part.substring(0, eq)).strip().equalsIgnoreCase(name)) {
                return eq < 0 ? "" : part.substring(eq + 1).strip();
            }
        }
        return null;
    }

    /** The message as bytes, with its Content-Length. */
    public ByteBuf encode() {
        StringBuilder out = new StringBuilder(256);
        if (isRequest()) {
            out.append(method).append(' ').append(uri).append(" SIP/2.0\r\n");
        } else {
            out.append("SIP/2.0 ").append(status).append(' ').append(reason).append("\r\n");
        }
        for (Header header : headers) {
            out.append(header.name()).append(": ").append(header.value()).append("\r\n");
        }
        out.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        return Unpooled.wrappedBuffer(out.toString().getBytes(StandardCharsets.ISO_8859_1), body);
    }

    private static String canonical(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return COMPACT.getOrDefault(lower, lower);
    }
}
