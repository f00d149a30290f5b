package wingspread.core;

/** One set-up of a call toward an exchange, to be given up at {@code deadline}. */
public final class Attempt {
    enum State { OUT, STANDING, ENDED }

    private final Request request;
    private final long call;
    private final int index;
    private final long exchange;
    private final long sentAt;
    private final long deadline;
    private State state = State.OUT;
    private long stoodAt;

    Attempt(Request request, long call, int index, long exchange, long sentAt, long deadline) {
        this.request = request;
        this.call = call;
        this.index = index;
        this.exchange = exchange;
        this.sentAt = sentAt;
        this.deadline = deadline;
    }

    public Request request() {
        return request;
    }

    /** The call's number in the planner. */
    long call() {
        return call;
    }

    /** Attempts of a call are counted from 0. */
    public int index() {
        return index;
    }

    public long exchange() {
        return exchange;
    }

    public long sentAt() {
        return sentAt;
    }

    public long deadline() {
        return deadline;
    }

    /** Whether its end is still awaited. */
    public boolean out() {
        return state == State.OUT;
    }

    boolean standing() {
        return state == State.STANDING;
    }

    /** The exchange has answered it now. */
    void stand(long now) {
        state = State.STANDING;
        stoodAt = now;
    }

    /** When it came to stand, in microseconds; without meaning before. */
    long stoodAt() {
        return stoodAt;
    }

    void end() {
        state = State.ENDED;
    }
}
