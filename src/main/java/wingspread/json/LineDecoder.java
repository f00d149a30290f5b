package wingspread.json;

import java.util.Arrays;
import java.util.Map;
import wingspread.net.FrameDecoder;
import wingspread.net.InvalidInputException;

/** Decodes a stream of lines, each of which is one JSON object. */
public final class LineDecoder implements FrameDecoder<Map<?, ?>> {
    @Override
    public DecodeResult<Map<?, ?>> next(byte[] bytes, int from, int to) throws InvalidInputException {
        return next(bytes, from, from, to);
    }

    @Override
    public DecodeResult<Map<?, ?>> next(byte[] bytes, int from, int examinedTo, int to) throws InvalidInputException {
        int end = examinedTo;
        while (end < to && bytes[end] != '\n') {
            end++;
        }
        // Without this limit, a line without an end would be buffered forever.
        if (end - from > MAX_FRAME) {
            throw new InvalidInputException("JSON lines: line longer than " + MAX_FRAME + " bytes");
        }
        if (end == to) {
            return new DecodeResult<>(null, 0);
        }
        if (Json.parse(Arrays.copyOfRange(bytes, from, end)) instanceof Map<?, ?> message) {
            return new DecodeResult<>(message, end + 1 - from);
        }
        throw new InvalidInputException("JSON lines: line is not a JSON object");
    }
}
