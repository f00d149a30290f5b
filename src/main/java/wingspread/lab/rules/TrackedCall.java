package wingspread.lab.rules;

/** The state of a call accepted by a softswitch, as far as the rules need it. Times are in microseconds. */
public final class TrackedCall {
    final String call;
    final int place;
    final long deadline;
    /** The only exchange to which a call in transit may be sent; -1 for a subscriber's call. */
    final int onlyDestination;
    int answers;
    boolean callerAbandoned;
    int attempts;
    boolean attemptPending;
    /** Earliest time of the next attempt. */
    long notBefore = Long.MIN_VALUE;

    TrackedCall(String call, int place, long deadline, int onlyDestination) {
        this.call = call;
        this.place = place;
        this.deadline = deadline;
        this.onlyDestination = onlyDestination;
    }

    /** Returns whether the final answer is still pending. */
    boolean answerPending() {
        return answers == 0 && !callerAbandoned;
    }
}
