package wingspread.net;

/**
 * The platform's limit of descriptors, shared by the connections of callers and those to exchanges. Callers are always
 * left the third that the platform lets them hold; of the rest whoever comes first takes what it needs.
 *
 * @param limit descriptors that the program may hold
 */
public record Descriptors(int limit) {
    /** Files, up to 37 jars, the selector, the listener, the directory: 12 to 43 were counted. */
    private static final int OTHERS = 64;
    /** What is let in beyond the callers' third is for those who hold connections idly. */
    private static final double CALLERS_SHARE = 0.6;
    private static final int LEAST = 4;

    /** Connections that callers may hold while so many to exchanges are open. */
    public int forCallers(int toExchanges) {
        return Math.max(third(), Math.min((int) (limit * CALLERS_SHARE), limit - OTHERS - toExchanges));
    }

    /** Connections to exchanges that may be open while callers hold so many. */
    public int forExchanges(int ofCallers) {
        return Math.max(LEAST, limit - OTHERS - Math.max(third(), ofCallers));
    }

    private int third() {
        return Math.max(LEAST, limit / 3);
    }
}
