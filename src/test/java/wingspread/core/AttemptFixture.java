package wingspread.core;

/** Creates attempts for tests in other packages, to which the constructor is not accessible. */
public final class AttemptFixture {
    private AttemptFixture() { }

    /** Returns a pending set-up of a plain call. */
    public static Attempt attempt(String call, long exchange, long now, long deadline) {
        return attempt(new Request(call, "plain", 0, "ab", new byte[0], deadline, 1, 1, -1, false, false, false),
                exchange, now, deadline);
    }

    /** Returns a pending set-up for a request. */
    public static Attempt attempt(Request request, long exchange, long now, long deadline) {
        return new Attempt(request, 1, exchange, now, deadline, null);
    }

    /**
     * Ends an attempt and returns the next one of its call at the same exchange.
     *
     * @param lastResponseAt until when the exchange may still respond to the ended one
     */
    public static Attempt next(Attempt ended, long lastResponseAt, long now) {
        ended.end(lastResponseAt);
        return new Attempt(ended.request(), 1, ended.exchange(), now, ended.deadline(), ended);
    }
}
