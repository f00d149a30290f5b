package wingspread.core;

import wingspread.turn.Deadlines;

/**
 * One set-up of a call toward an exchange, withdrawn at its deadline. All times are microseconds on the host's clock.
 */
public final class Attempt {
    enum State { PENDING, ESTABLISHED, ENDED }

    private final Request request;
    private final long callNumber;
    private final int index;
    private final long exchange;
    private final long sentAt;
    private final long deadline;
    /** The attempt of the same call before this one; null if this is the first. */
    private final Attempt previous;
    private State state = State.PENDING;
    private long establishedAt;
    /** Until when the exchange may send a final response to the ended attempt. */
    private long responsesUntil;
    /** Withdraws the set-up at its deadline; null if it was never sent. */
    private Deadlines.Timer timeout;

    Attempt(Request request, long callNumber, long exchange, long sentAt, long deadline, Attempt previous) {
        this.request = request;
        this.callNumber = callNumber;
        this.index = previous == null ? 0 : previous.index + 1;
        this.previous = previous;
        this.exchange = exchange;
        this.sentAt = sentAt;
        this.deadline = deadline;
    }

    public Request request() {
        return request;
    }

    /** Returns the number by which the planner and the call control identify the call. */
    long callNumber() {
        return callNumber;
    }

    /** Returns the index of the attempt among those of its call, counted from 0. */
    public int index() {
        return index;
    }

    /** Returns the address of the exchange. */
    public long exchange() {
        return exchange;
    }

    public long sentAt() {
        return sentAt;
    }

    public long deadline() {
        return deadline;
    }

    /** Whether the set-up has neither been answered nor ended. */
    public boolean isPending() {
        return state == State.PENDING;
    }

    boolean isEstablished() {
        return state == State.ESTABLISHED;
    }

    /** Sets the timer that withdraws the set-up. It is cancelled once the set-up is answered or ends. */
    void setTimeout(Deadlines.Timer timer) {
        timeout = timer;
    }

    /** Marks the set-up as answered by the exchange. */
    void establish(long now) {
        state = State.ESTABLISHED;
        establishedAt = now;
        cancelTimeout();
    }

    /** Returns when the exchange answered the set-up; undefined before that. */
    long establishedAt() {
        return establishedAt;
    }

    /**
     * Ends the attempt.
     *
     * @param lastResponseAt until when the exchange may still send a final response to it, or a copy of one
     */
    void end(long lastResponseAt) {
        state = State.ENDED;
        responsesUntil = lastResponseAt;
        cancelTimeout();
    }

    /** Whether a final response that arrives now may be one to an earlier attempt of the call at the same exchange. */
    public boolean mayBeConfusedWithEarlier(long now) {
        for (Attempt earlier = previous; earlier != null; earlier = earlier.previous) {
            if (earlier.exchange == exchange && now < earlier.responsesUntil) {
                return true;
            }
        }
        return false;
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
            timeout = null;
        }
    }
}
