package wingspread.core;

/** Attempts for tests of the links, which cannot make them. */
public final class AttemptFixture {
    private AttemptFixture() { }

    /** A set-up that is out. */
    public static Attempt attempt(String call, long exchange, long now, long deadline) {
        return new Attempt(new Request(call, "plain", 0, "ab", new byte[0], deadline, 1, 1, -1, false, false, false),
                1, 0, exchange, now, deadline);
    }
}
