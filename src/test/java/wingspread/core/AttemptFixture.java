package wingspread.core;

/** Attempts for tests of what carries them and cannot make them. */
public final class AttemptFixture {
    private AttemptFixture() { }

    /** A set-up that is out. */
    public static Attempt attempt(String call, long exchange, long now, long deadline) {
        return attempt(new Request(call, "plain", 0, "ab", new byte[0], deadline, 1, 1, -1, false, false, false),
                exchange, now, deadline);
    }

    /** A set-up of a call that is out. */
    public static Attempt attempt(Request request, long exchange, long now, long deadline) {
        return new Attempt(request, 1, 0, exchange, now, deadline);
    }
}
