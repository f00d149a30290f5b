package wingspread.json;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wingspread.net.InvalidInputException;

/**
 * Parses and writes JSON (RFC 8259) as bytes. Strings hold one char per byte, so that text of any encoding passes
 * through unchanged; an escape sequence for a character above ASCII becomes the bytes of its UTF-8 form.
 */
public final class Json {
    private static final int MAX_DEPTH = 32;

    private final byte[] text;
    private int position;
    private int depth;

    private Json(byte[] text) {
        this.text = text;
    }

    /**
     * Parses one value: a {@code Map}, {@code List}, {@code String}, {@code Double}, {@code Boolean} or null.
     *
     * @throws InvalidInputException if the text is not exactly one JSON value
     */
    public static Object parse(byte[] text) throws InvalidInputException {
        Json json = new Json(text);
        Object value = json.value();
        json.skipWhitespace();
        if (json.position < text.length) {
            throw json.error("unexpected text after the value");
        }
        return value;
    }

    /** Appends a quoted string whose chars each hold one byte. */
    public static void quote(StringBuilder out, String bytes) {
        out.append('"');
        for (int i = 0; i < bytes.length(); i++) {
            char c = bytes.charAt(i);
            switch (c) {
                case '"', '\\' -> out.append('\\').append(c);
                case '\n' -> out.append("\\n");
                case '\r' -> out.append("\\r");
                case '\t' -> out.append("\\t");
                default -> {
                    if (c < ' ') {
                        out.append(String.format("\\u%04x", (int) c));
                    } else {
                        out.append(c);
                    }
                }
            }
        }
        out.append('"');
    }

    private Object value() throws InvalidInputException {
        skipWhitespace();
        return switch (peek()) {
            case '{' -> object();
            case '[' -> array();
            case '"' -> string();
            case 't' -> literal("true", Boolean.TRUE);
            case 'f' -> literal("false", Boolean.FALSE);
            case 'n' -> literal("null", null);
            default -> number();
        };
    }

    private Map<String, Object> object() throws InvalidInputException {
        Map<String, Object> out = new LinkedHashMap<>();
        enter();
        if (consumeEnd('}')) {
            return out;
        }
        do {
            skipWhitespace();
            if (peek() != '"') {
                throw error("expected a member name");
            }
            String name = string();
            skipWhitespace();
            expect(':');
            if (out.containsKey(name)) {
                throw error("duplicate member name");
            }
            out.put(name, value());
        } while (hasNextElement('}'));
        return out;
    }

    private List<Object> array() throws InvalidInputException {
        List<Object> out = new ArrayList<>();
        enter();
        if (consumeEnd(']')) {
            return out;
        }
        do {
            out.add(value());
        } while (hasNextElement(']'));
        return out;
    }

    /** Enters an object or array. Limits the depth, as deeper nesting could exhaust the stack. */
    private void enter() throws InvalidInputException {
        position++;
        if (++depth > MAX_DEPTH) {
            throw error("nesting too deep");
        }
    }

    private boolean consumeEnd(char end) throws InvalidInputException {
        skipWhitespace();
        if (peek() != end) {
            return false;
        }
        position++;
        depth--;
        return true;
    }

    private boolean hasNextElement(char end) throws InvalidInputException {
        if (consumeEnd(end)) {
            return false;
        }
        expect(',');
        return true;
    }

    private String string() throws InvalidInputException {
        StringBuilder out = new StringBuilder();
        position++;
        while (true) {
            int c = peek();
            position++;
            if (c == '"') {
                return out.toString();
            }
            if (c < ' ') {
                throw error("control character in a string");
            }
            if (c == '\\') {
                escape(out);
            } else {
                out.append((char) c);
            }
        }
    }

    private void escape(StringBuilder out) throws InvalidInputException {
        int c = peek();
        position++;
        switch (c) {
            case '"', '\\', '/' -> out.append((char) c);
            case 'b' -> out.append('\b');
            case 'f' -> out.append('\f');
            case 'n' -> out.append('\n');
            case 'r' -> out.append('\r');
            case 't' -> out.append('\t');
            case 'u' -> unicode(out);
            default -> throw error("unknown escape sequence");
        }
    }

    private void unicode(StringBuilder out) throws InvalidInputException {
        int point = hex4();
        if (Character.isHighSurrogate((char) point) && position + 1 < text.length && text[position] == '\\'
                && text[position + 1] == 'u') {
            position += 2;
            int low = hex4();
            if (!Character.isLowSurrogate((char) low)) {
                throw error("unpaired surrogate");
            }
            point = Character.toCodePoint((char) point, (char) low);
        } else if (point >= Character.MIN_SURROGATE && point <= Character.MAX_SURROGATE) {
            throw error("unpaired surrogate");
        }
        byte[] utf8 = Character.toString(point).getBytes(StandardCharsets.UTF_8);
        out.append(new String(utf8, StandardCharsets.ISO_8859_1));
    }

    private int hex4() throws InvalidInputException {
        int out = 0;
        for (int i = 0; i < 4; i++) {
            int digit = Character.digit(peek(), 16);
            if (digit < 0) {
                throw error("invalid \\u escape");
            }
            out = out << 4 | digit;
            position++;
        }
        return out;
    }

    private Double number() throws InvalidInputException {
        int start = position;
        while (position < text.length && "+-.eE0123456789".indexOf(text[position]) >= 0) {
            position++;
        }
        try {
            return Double.valueOf(new String(text, start, position - start, StandardCharsets.ISO_8859_1));
        } catch (NumberFormatException e) {
            throw error("invalid value");
        }
    }

    private Object literal(String literal, Object value) throws InvalidInputException {
        for (int i = 0; i < literal.length(); i++) {
            expect(literal.charAt(i));
        }
        return value;
    }

    private void expect(char c) throws InvalidInputException {
        if (peek() != c) {
            throw error("expected '" + c + "'");
        }
        position++;
    }

    private int peek() throws InvalidInputException {
        if (position >= text.length) {
            throw error("unexpected end of input");
        }
        return text[position] & 0xff;
    }

    private void skipWhitespace() {
        while (position < text.length && " \t\r\n".indexOf(text[position]) >= 0) {
            position++;
        }
    }

    private InvalidInputException error(String problem) {
        return new InvalidInputException("JSON: " + problem + " at byte " + position);
    }
}
