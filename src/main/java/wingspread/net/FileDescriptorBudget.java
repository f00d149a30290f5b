package wingspread.net;

/**
 * Divides the limit of file descriptors that the platform sets between the connections of callers and those to
 * exchanges. A third, which the platform allows callers to hold, is always reserved for them; the rest is available to
 * both on a first-come basis.
 *
 * @param limit maximum number of file descriptors that the process may have open
 */
public record FileDescriptorBudget(int limit) {
    /** Descriptors for files, up to 37 jars, the selector, the listener and the directory; 12 to 43 are in use. */
    private static final int OTHER_DESCRIPTORS = 64;
    /** Maximum share for callers; the part above their guaranteed third serves callers with idle connections. */
    private static final double MAX_CALLER_SHARE = 0.6;
    private static final int MIN_CONNECTIONS = 4;

    /** Returns the maximum number of caller connections while this many connections to exchanges are open. */
    public int callerLimit(int exchangeConnections) {
        return Math.max(guaranteedForCallers(),
                Math.min((int) (limit * MAX_CALLER_SHARE), limit - OTHER_DESCRIPTORS - exchangeConnections));
    }

    /** Returns the maximum number of connections to exchanges while callers hold this many connections. */
    public int exchangeLimit(int callerConnections) {
        return Math.max(MIN_CONNECTIONS,
                limit - OTHER_DESCRIPTORS - Math.max(guaranteedForCallers(), callerConnections));
    }

    private int guaranteedForCallers() {
        return Math.max(MIN_CONNECTIONS, limit / 3);
    }
}
