package wingspread.core;

import java.util.ArrayList;
import java.util.List;
import wingspread.storm.Try;

/**
 * A call from its coming in until nothing of it is awaited: its request, the caller's side, its attempts, and whether
 * it has had its final answer. Owned by the {@link Planner}.
 */
final class CallState {
    final Request request;
    final Caller caller;
    /** By which the decision module knows it. */
    final long number;
    final List<Attempt> attempts = new ArrayList<>(1);
    boolean answered;
    /** The module has asked for a set-up that is not carried out yet. */
    boolean asked;
    /** The try as the gate against storms counts it; null where there is no gate, and for calls in transit. */
    Try tried;

    CallState(Request request, Caller caller, long number) {
        this.request = request;
        this.caller = caller;
        this.number = number;
    }

    /** The last attempt; null before the first. */
    Attempt last() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    }

    /** Whether the call stands through its last attempt. */
    boolean standing() {
        return last() != null && last().standing();
    }

    /** Whether the end of an attempt is awaited. */
    boolean out() {
        return last() != null && last().out();
    }
}
