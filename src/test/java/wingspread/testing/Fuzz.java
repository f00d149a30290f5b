package wingspread.testing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import wingspread.net.FrameDecoder;
import wingspread.net.InvalidInputException;

/** Utilities for parser tests: random chunks of a stream, and random corruption of a valid message. */
public final class Fuzz {
    private Fuzz() { }

    /** Feeds a stream to a decoder in chunks of random length and returns the decoded messages. */
    public static <M> List<M> decodeInChunks(FrameDecoder<M> decoder, byte[] stream, long seed)
            throws InvalidInputException {
        SplittableRandom random = new SplittableRandom(seed);
        List<M> out = new ArrayList<>();
        int from = 0;
        int to = 0;
        while (to < stream.length) {
            to = Math.min(stream.length, to + 1 + random.nextInt(40));
            FrameDecoder.DecodeResult<M> step = decoder.next(stream, from, to);
            while (step.message() != null) {
                out.add(step.message());
                from += step.consumedBytes();
                step = decoder.next(stream, from, to);
            }
            from += step.consumedBytes();
        }
        return out;
    }

    /** Returns a copy of a message, truncated or extended, with some bytes changed. */
    public static byte[] mutate(byte[] valid, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] out = Arrays.copyOf(valid, random.nextInt(valid.length + 20));
        for (int i = random.nextInt(6); i > 0 && out.length > 0; i--) {
            out[random.nextInt(out.length)] = (byte) random.nextInt(256);
        }
        return out;
    }

    /** A parser under test. */
    @FunctionalInterface
    public interface Parser {
        /** Parses the bytes, or rejects them by an exception. */
        void parse(byte[] bytes) throws InvalidInputException;
    }

    /**
     * Whether a parser either accepts the bytes or rejects them with a non-empty message of one line. Any other
     * exception is propagated.
     */
    public static boolean parsesOrRejects(Parser parser, byte[] bytes) {
        try {
            parser.parse(bytes);
            return true;
        } catch (InvalidInputException e) {
            return !e.getMessage().isEmpty() && e.getMessage().indexOf('\n') < 0;
        }
    }
}
