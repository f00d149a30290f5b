package wingspread.json;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wingspread.net.BadInput;

/**
 * Reads and writes JSON (RFC 8259) as bytes. Strings hold one char for each byte, so that text of any
 * encoding passes unchanged; an escape above ASCII becomes the bytes of its UTF-8 form.
 */
public final class Json {
    private static final int DEEPEST = 32;

    private final byte[] text;
    private int at;
    private int depth;

    private Json(byte[] text) {
        this.text = text;
    }

    /**
     * One value: a {@code Map}, {@code List}, {@code String}, {@code Double}, {@code Boolean} or null.
     *
     * @throws BadInput where the text is not one JSON value
     */
    public static Object parse(byte[] text) throws BadInput {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at < text.length) {
            throw json.bad("text after the value");
        }
        return value;
    }

    /** Appends a quoted string whose chars are bytes. */
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

    private Object value() throws BadInput {
        space();
        return switch (peek()) {
            case '{' -> object();
            case '[' -> array();
            case '"' -> string();
            case 't' -> word("true", Boolean.TRUE);
            case 'f' -> word("false", Boolean.FALSE);
            case 'n' -> word("null", null);
            default -> number();
        };
    }

    private Map<String, Object> object() throws BadInput {
        Map<String, Object> out = new LinkedHashMap<>();
        open();
        if (closes('}')) {
            return out;
        }
        do {
            space();
            if (peek() != '"') {
                throw bad("a name was expected");
            }
            String name = string();
            space();
            expect(':');
            if (out.containsKey(name)) {
                throw bad("a name stands twice");
            }
            out.put(name, value());
        } while (another('}'));
        return out;
    }

    private List<Object> array() throws BadInput {
        List<Object> out = new ArrayList<>();
        open();
        if (closes(']')) {
            return out;
        }
        do {
            out.add(value());
        } while (another(']'));
        return out;
    }

    /** Guards against text nested so deep that it would exhaust the stack. */
    private void open() throws BadInput {
        at++;
        if (++depth > DEEPEST) {
            throw bad("nested too deep");
        }
    }

    private boolean closes(char end) throws BadInput {
        space();
        if (peek() != end) {
            return false;
        }
        at++;
        depth--;
        return true;
    }

    private boolean another(char end) throws BadInput {
        if (closes(end)) {
            return false;
        }
        expect(',');
        return true;
    }

    private String string() throws BadInput {
        StringBuilder out = new StringBuilder();
        at++;
        while (true) {
            int c = peek();
            at++;
            if (c == '"') {
                return out.toString();
            }
            if (c < ' ') {
                throw bad("a control character stands in a string");
            }
            if (c == '\\') {
                escape(out);
            } else {
                out.append((char) c);
            }
        }
    }

    private void escape(StringBuilder out) throws BadInput {
        int c = peek();
        at++;
        switch (c) {
            case '"', '\\', '/' -> out.append((char) c);
            case 'b' -> out.append('\b');
            case 'f' -> out.append('\f');
            case 'n' -> out.append('\n');
            case 'r' -> out.append('\r');
            case 't' -> out.append('\t');
            case 'u' -> unicode(out);
            default -> throw bad("an unknown escape");
        }
    }

    private void unicode(StringBuilder out) throws BadInput {
        int point = hex4();
        if (Character.isHighSurrogate((char) point) && at + 1 < text.length && text[at] == '\\'
                && text[at + 1] == 'u') {
            at += 2;
            int low = hex4();
            if (!Character.isLowSurrogate((char) low)) {
                throw bad("half a surrogate pair");
            }
            point = Character.toCodePoint((char) point, (char) low);
        } else if (point >= Character.MIN_SURROGATE && point <= Character.MAX_SURROGATE) {
            throw bad("half a surrogate pair");
        }
        byte[] utf8 = Character.toString(point).getBytes(StandardCharsets.UTF_8);
        out.append(new String(utf8, StandardCharsets.ISO_8859_1));
    }

    private int hex4() throws BadInput {
        int out = 0;
        for (int i = 0; i < 4; i++) {
            int digit = Character.digit(peek(), 16);
            if (digit < 0) {
                throw bad("a bad \\u escape");
            }
            out = out << 4 | digit;
            at++;
        }
        return out;
    }

    private Double number() throws BadInput {
        int from = at;
        while (at < text.length && "+-.eE0123456789".indexOf(text[at]) >= 0) {
            at++;
        }
        try {
            return Double.valueOf(new String(text, from, at - from, StandardCharsets.ISO_8859_1));
        } catch (NumberFormatException e) {
            throw bad("no value");
        }
    }

    private Object word(String word, Object value) throws BadInput {
        for (int i = 0; i < word.length(); i++) {
            expect(word.charAt(i));
        }
        return value;
    }

    private void expect(char c) throws BadInput {
        if (peek() != c) {
            throw bad("'" + c + "' was expected");
        }
        at++;
    }

    private int peek() throws BadInput {
        if (at >= text.length) {
            throw bad("the text ends early");
        }
        return text[at] & 0xff;
    }

    private void space() {
        while (at < text.length && " \t\r\n".indexOf(text[at]) >= 0) {
            at++;
        }
    }

    private BadInput bad(String what) {
        return new BadInput("JSON: " + what + " at byte " + at);
    }
}
