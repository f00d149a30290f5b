package wingspread.lab.sim;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random streams of one replication. Each purpose has a stream of its own, so that two variants that draw different
 * numbers at different times still see the same calls and the same faults (common random numbers).
 */
public final class Streams {
    private final long seed;

    /** Creates the streams of one replication of an experiment. */
    public Streams(long experimentSeed, long replication) {
        seed = mix(mix(experimentSeed) + replication);
    }

    /** Returns a new stream for a purpose; the same purpose always gives the same sequence. */
    public UniformRandomProvider stream(String purpose) {
        return stream(purpose, 0);
    }

    /** Returns a new stream for one of several uses of the same purpose, given by {@code index}. */
    public UniformRandomProvider stream(String purpose, long index) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seedOf(purpose, index));
    }

    /** Returns a seed for a purpose, for components that have a random generator of their own. */
    public long seedOf(String purpose, long index) {
        long hash = seed;
        for (int i = 0; i < purpose.length(); i++) {
            hash = mix(hash + purpose.charAt(i));
        }
        return mix(hash + index);
    }

    /** Performs one step of SplitMix64 (Steele, Lea and Flood 2014), which spreads every input bit over the output. */
    private static long mix(long value) {
        return RandomSource.SPLIT_MIX_64.create(value).nextLong();
    }
}
