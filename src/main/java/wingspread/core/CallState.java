package wingspread.core;

import java.util.ArrayList;
import java.util.List;
import wingspread.storm.CallOffer;
import wingspread.turn.Deadlines;

/**
 * The state of a call from its arrival until nothing is pending for it: the request, the caller's side, the attempts,
 * and whether the final answer has been given. Owned by the {@link Planner}.
 */
final class CallState {
    final Request request;
    final Caller caller;
    /** Identifies the call to the call control. */
    final long callNumber;
    final List<Attempt> attempts = new ArrayList<>(1);
    /** The timers that concern the call until it has its final answer. */
    private final List<Deadlines.Timer> timers = new ArrayList<>(2);
    private boolean answered;
    /**
     * Whether an exchange may have run the call: an attempt was answered, or ended in a way that does not exclude it.
     */
    boolean mayHaveRun;
    /** Whether the call control has requested a set-up that has not been sent yet. */
    boolean sendRequested;
    /** The call as the storm gate counts it; null if there is no storm gate, and for calls in transit. */
    CallOffer callOffer;

    CallState(Request request, Caller caller, long callNumber) {
        this.request = request;
        this.caller = caller;
        this.callNumber = callNumber;
    }

    /** Adds a timer, which is cancelled when the call gets its final answer. */
    void addTimer(Deadlines.Timer timer) {
        if (answered) {
            timer.cancel();
        } else {
            timers.add(timer);
        }
    }

    /** Marks the call as having its final answer, or as needing none, and cancels its timers. */
    void markAnswered() {
        answered = true;
        timers.forEach(Deadlines.Timer::cancel);
        timers.clear();
    }

    /** Whether the call needs no final answer any longer. */
    boolean isAnswered() {
        return answered;
    }

    /** Returns the last attempt; null before the first. */
    Attempt lastAttempt() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    }

    /** Whether the call is established by its last attempt. */
    boolean isEstablished() {
        return lastAttempt() != null && lastAttempt().isEstablished();
    }

    /** Whether the last attempt is still pending. */
    boolean hasPendingAttempt() {
        return lastAttempt() != null && lastAttempt().isPending();
    }
}
