package wingspread.json;

import java.util.Arrays;
import java.util.Map;
import wingspread.net.BadInput;
import wingspread.net.FrameDecoder;

/** Cuts lines out of a stream, each one JSON object. */
public final class LineDecoder implements FrameDecoder<Map<?, ?>> {
    @Override
    public Step<Map<?, ?>> next(byte[] bytes, int from, int to) throws BadInput {
        int end = from;
        while (end < to && bytes[end] != '\n') {
            end++;
        }
        // Guards against a line without an end, which would be kept for ever.
        if (end - from > MAX_FRAME) {
            throw new BadInput("JSON lines: a line of over " + MAX_FRAME + " bytes");
        }
        if (end == to) {
            return new Step<>(null, 0);
        }
        if (Json.parse(Arrays.copyOfRange(bytes, from, end)) instanceof Map<?, ?> message) {
            return new Step<>(message, end + 1 - from);
        }
        throw new BadInput("JSON lines: a line that is no object");
    }
}
