package wingspread.lab.sim;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random streams of one replication. Each purpose has its own, so that two variants which ask for different things
 * at different times still meet the same calls and the same troubles: common random numbers.
 */
public final class Streams {
    private static final long GOLDEN = 0x9e3779b97f4a7c15L;

    private final long seed;

    /** The streams of one replication of one experiment. */
    public Streams(long experimentSeed, long replication) {
        seed = mix(mix(experimentSeed) + GOLDEN * (replication + 1));
    }

    /** A stream for a purpose; the same purpose gives the same stream anew. */
    public UniformRandomProvider stream(String purpose) {
        return stream(purpose, 0);
    }

    /** One of many streams for a purpose. */
    public UniformRandomProvider stream(String purpose, long which) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seedOf(purpose, which));
    }

    /** A seed for a purpose, for what has a generator of its own. */
    public long seedOf(String purpose, long which) {
        long hash = seed;
        for (int i = 0; i < purpose.length(); i++) {
            hash = mix(hash + GOLDEN * purpose.charAt(i));
        }
        return mix(hash + GOLDEN * (which + 1));
    }

    /** The finaliser of SplitMix64 (Steele, Lea and Flood 2014): spreads every bit over all. */
    private static long mix(long value) {
        long z = value;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
