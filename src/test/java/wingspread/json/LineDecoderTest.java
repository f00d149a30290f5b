package wingspread.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import wingspread.net.InvalidInputException;
import wingspread.testing.Fuzz;

/** Decoding of JSON lines, valid, cut into pieces and malformed. */
class LineDecoderTest {
    private static final String OFFER = "{\"op\":\"offer\",\"call\":\"9b1f03aa5c7e2d41\",\"with\":{\"left\":1500.5,"
            + "\"a\":[true,false,null,-1e3]},\"desc\":\"\\u00e9\\ud83d\\ude00\\r\\n\\\"\\\\\\/ \u00c3\"}\n";
    private final LineDecoder decoder = new LineDecoder();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Property(tries = 300, seed = "21")
    void decodesStreamCutAtAnyPosition(@ForAll long seed) throws InvalidInputException {
        List<Map<?, ?>> messages = Fuzz.decodeInChunks(decoder, bytes(OFFER + OFFER), seed);
        assertEquals(2, messages.size());
        assertEquals(messages.get(0), messages.get(1));
        assertEquals("\u00c3\u00a9\u00f0\u009f\u0098\u0080\r\n\"\\/ \u00c3", messages.get(0).get("desc"));
        assertEquals(1500.5, ((Map<?, ?>) messages.get(0).get("with")).get("left"));
    }

    @Property(tries = 2000, seed = "22")
    boolean decodesOrRejectsCorruptedLine(@ForAll long seed) {
        return Fuzz.parsesOrRejects(line -> decoder.next(line, 0, line.length), Fuzz.mutate(bytes(OFFER), seed));
    }

    @Property(tries = 300, seed = "23")
    boolean quotedStringParsesToTheSame(@ForAll byte[] any) throws InvalidInputException {
        String text = new String(any, StandardCharsets.ISO_8859_1);
        StringBuilder quoted = new StringBuilder();
        Json.quote(quoted, text);
        return text.equals(Json.parse(bytes(quoted.toString())));
    }

    @Test
    void rejectsMalformedLines() {
        for (String text : List.of("[]\n", "{}x\n", "{\"a\":1,\"a\":2}\n", "{\"a\":\"\\ud800\"}\n", "\n",
                "x".repeat(17_000), "[".repeat(500) + "\n")) {
            assertThrows(InvalidInputException.class, () -> decoder.next(bytes(text), 0, text.length()));
        }
    }
}
