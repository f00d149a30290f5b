package wingspread.core;

/** Counts the final answers by call class since the start of the process. Confined to the event loop. */
public final class CallCounters {
    /** The final answer of a call. */
    enum Answer {
        ESTABLISHED("stood"), REFUSED("refused"), FAILED("failed");

        /** The name in the counters and in the log. */
        final String label;

        Answer(String label) {
            this.label = label;
        }
    }

    private final long[][] counts;

    CallCounters(int classes) {
        counts = new long[classes][Answer.values().length];
    }

    /** Counts an answer to a call whose class is the given index of the settings. */
    void count(int callClass, Answer answer) {
        counts[callClass][answer.ordinal()]++;
    }

    /** Returns how many calls of a class, given by its index in the settings, were established. */
    public long established(int callClass) {
        return counts[callClass][Answer.ESTABLISHED.ordinal()];
    }

    /** Returns how many calls of a class were refused. */
    public long refused(int callClass) {
        return counts[callClass][Answer.REFUSED.ordinal()];
    }

    /** Returns how many calls of a class failed. */
    public long failed(int callClass) {
        return counts[callClass][Answer.FAILED.ordinal()];
    }
}
