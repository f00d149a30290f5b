package wingspread.testing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import wingspread.net.InvalidInputException;
import wingspread.net.FrameDecoder;

/** What all parser tests share: a stream cut at random, and a valid message spoilt at random. */
public final class Fuzz {
    private Fuzz() { }

    /** Feeds a stream to a decoder in pieces of random length and returns its messages. */
    public static <M> List<M> cut(FrameDecoder<M> decoder, byte[] stream, long seed) throws InvalidInputException {
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

    /** A message with some bytes changed, cut off or put in. */
    public static byte[] spoil(byte[] valid, long seed) {
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
        void parse(byte[] bytes) throws InvalidInputException;
    }

    /** Whether a parser either takes bytes or turns them away as it should; anything else it throws goes on. */
    public static boolean takesOrTurnsAway(Parser parser, byte[] bytes) {
        try {
            parser.parse(bytes);
            return true;
        } catch (InvalidInputException e) {
            return !e.getMessage().isEmpty() && e.getMessage().indexOf('\n') < 0;
        }
    }
}
