package wingspread.sip;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A SIP request or response (RFC 3261). Strings hold one char per byte.
 *
 * @param method the method of a request; null for a response
 * @param uri the request URI; null for a response
 * @param status the status code of a response; 0 for a request
 * @param reason the reason phrase of a response; empty for a request
 * @param headers the headers in their order on the wire
 * @param body the body; empty if there is none
 */
public record SipMessage(
        String method, String uri, int status, String reason, List<Header> headers, byte[] body) {
    /** The full lower-case names of the compact header forms. */
    private static final Map<String, String> COMPACT_FORMS = Map.of("i", "call-id", "l", "content-length", "v", "via",
            "f", "from", "t", "to", "m", "contact", "c", "content-type", "e", "content-encoding", "s", "subject",
            "k", "supported");
    private static final byte[] NO_BODY = new byte[0];
    private static final char DELETE = 0x7f;

    /** A header field, with its name as received. */
    public record Header(String name, String value) { }

    /** Creates a request without headers. */
    public static SipMessage request(String method, String uri) {
        return new SipMessage(method, uri, 0, "", new ArrayList<>(), NO_BODY);
    }

    /** Creates a response without headers. */
    public static SipMessage response(int status, String reason) {
        return new SipMessage(null, null, status, reason, new ArrayList<>(), NO_BODY);
    }

    /** Creates a response to this request, with the headers to copy from it (RFC 3261, section 8.2.6.2). */
    public SipMessage reply(int code, String phrase) {
        SipMessage response = response(code, phrase);
        for (Header header : headers) {
            switch (canonical(header.name())) {
                case "via", "from", "to", "call-id", "cseq" -> response.headers.add(header);
                default -> { }
            }
        }
        return response;
    }

    /** Adds a header to this message and returns this message. */
    public SipMessage with(String name, String value) {
        headers.add(new Header(name, value));
        return this;
    }

    /** Returns a message with this body; it shares the list of headers with this one. */
    public SipMessage withBody(byte[] newBody) {
        return new SipMessage(method, uri, status, reason, headers, newBody);
    }

    public boolean isRequest() {
        return method != null;
    }

    /** Returns the first value of a header, in its full or compact form, or the empty string if it is absent. */
    public String header(String name) {
        String canonicalName = canonical(name);
        for (Header header : headers) {
            if (canonical(header.name()).equals(canonicalName)) {
                return header.value();
            }
        }
        return "";
    }

    /** Returns all values of a header, in their order. */
    public List<String> values(String name) {
        String canonicalName = canonical(name);
        return headers.stream().filter(h -> canonical(h.name()).equals(canonicalName)).map(Header::value).toList();
    }

    public String callId() {
        return header("Call-ID");
    }

    /** Returns the sequence number of the CSeq header, or -1 if it is absent or invalid. */
    public long cseq() {
        String value = header("CSeq");
        int end = value.indexOf(' ');
        return number(end < 0 ? value : value.substring(0, end));
    }

    /** Returns the method of the CSeq header. */
    public String cseqMethod() {
        String value = header("CSeq");
        return value.substring(value.lastIndexOf(' ') + 1).strip();
    }

    /** Parses a non-negative decimal number of up to 18 digits; returns -1 for any other text. */
    public static long number(String text) {
        String digits = text.strip();
        if (digits.isEmpty() || digits.length() > 18 || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        return Long.parseLong(digits);
    }

    /**
     * Returns a parameter of a header value, such as the branch of a Via; the empty string for a parameter without a
     * value, and null if it is absent.
     */
    public static String parameter(String value, String name) {
        int close = value.lastIndexOf('>');
        for (String part : value.substring(close + 1).split(";")) {
            int equals = part.indexOf('=');
            if ((equals < 0 ? part : part.substring(0, equals)).strip().equalsIgnoreCase(name)) {
                return equals < 0 ? "" : part.substring(equals + 1).strip();
            }
        }
        return null;
    }

    /** Whether a character must not occur in a start line or a header: all control characters but the tab. */
    static boolean isForbidden(char c) {
        return c < ' ' && c != '\t' || c == DELETE;
    }

    /** Whether this message can be encoded: no text in it would be read as the end of a line, or of the message. */
    public boolean isEncodable() {
        return isRequest() ? isSafe(method) && isSafe(uri) && !uri.isEmpty() && uri.indexOf(' ') < 0 && headersAreSafe()
                : isSafe(reason) && headersAreSafe();
    }

    private boolean headersAreSafe() {
        for (Header header : headers) {
            if (!isSafe(header.name()) || !isSafe(header.value())) {
                return false;
            }
        }
        return true;
    }

    private static boolean isSafe(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (isForbidden(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Encodes this message, with a Content-Length header added.
     *
     * @throws IllegalStateException if the message is not {@link #isEncodable}
     */
    public ByteBuf encode() {
        if (!isEncodable()) {
            throw new IllegalStateException("a message with control characters must not be sent");
        }
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
        return COMPACT_FORMS.getOrDefault(lower, lower);
    }
}
