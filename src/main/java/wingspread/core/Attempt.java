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
    private State state = State.PENDING;
    private long establishedAt;
    /** Withdraws the set-up at its deadline; null if it was never sent. */
    private Deadlines.Timer timeout;

    Attempt(Request request, long callNumber, int index, long exchange, long sentAt, long deadline) {
        this.request = request;
        this.callNumber = callNumber;
        this.index = index;
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

    void end() {
        state = State.ENDED;
        cancelTimeout();
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
            timeout = null;
        }
    }
}
