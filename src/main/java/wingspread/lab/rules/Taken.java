package wingspread.lab.rules;

/** A call that a softswitch has taken, as the rules see it. */
public final class Taken {
    final String call;
    final int place;
    final long deadline;
    /** The only place a call in transit may go to; -1 for a subscriber's call. */
    final int onlyTo;
    int answers;
    boolean givenUp;
    int attempts;
    boolean out;
    /** Nothing may be sent before this time. */
    long notBefore = Long.MIN_VALUE;

    Taken(String call, int place, long deadline, int onlyTo) {
        this.call = call;
        this.place = place;
        this.deadline = deadline;
        this.onlyTo = onlyTo;
    }

    /** Whether an answer is still owed. */
    boolean owed() {
        return answers == 0 && !givenUp;
    }
}
