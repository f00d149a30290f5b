package wingspread.lab.rules;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The rule on calls that stood and are over. The platform's protocol page: 'What has stood and is over must be released
 * towards its client within 1 s of the release by the exchange or the softswitch, and, if no release could be sent,
 * within 8 s of its end.' Times are microseconds. Bounded by the calls of one run.
 */
final class StandingCalls {
    /** From a release that was sent to the word to the caller. */
    static final long AFTER_RELEASE = 1_000_000;
    /** From the end of a call whose release could not be sent. */
    static final long AFTER_END = 8_000_000;

    private final long slack;
    private final Map<String, Standing> calls = new LinkedHashMap<>();

    /** A caller that was told too late, or never. */
    record Late(String call, int place, long at, String what) { }

    private static final class Standing {
        final int place;
        /** When the call was over; {@link Long#MAX_VALUE} while it stands. */
        long overAt = Long.MAX_VALUE;
        /** When the caller must have heard of it. */
        long due = Long.MAX_VALUE;
        boolean sent;

        Standing(int place) {
            this.place = place;
        }
    }

    /** Every time limit is longer by {@code slack}. */
    StandingCalls(long slack) {
        this.slack = slack;
    }

    void stood(String call, int place) {
        calls.put(call, new Standing(place));
    }

    void over(String call, long now) {
        Standing standing = calls.get(call);
        if (standing != null && standing.overAt == Long.MAX_VALUE) {
            standing.overAt = now;
            standing.due = now + AFTER_END;
        }
    }

    void released(String call, long now) {
        over(call, now);
        Standing standing = calls.get(call);
        if (standing != null) {
            standing.sent = true;
            standing.due = Math.min(standing.due, now + AFTER_RELEASE);
        }
    }

    /** A release that was sent counts as not sent. */
    void unsent(String call) {
        Standing standing = calls.get(call);
        if (standing != null && standing.sent) {
            standing.sent = false;
            standing.due = standing.overAt + AFTER_END;
        }
    }

    Optional<Late> told(String call, long now) {
        Standing standing = calls.remove(call);
        if (standing == null || now <= limit(standing)) {
            return Optional.empty();
        }
        return Optional.of(new Late(call, standing.place, now, "its caller was told " + describe(standing, now)));
    }

    void forget(String call) {
        calls.remove(call);
    }

    /** Calls that are over, whose time to be told has passed. */
    List<Late> neverTold(long now) {
        List<Late> out = new ArrayList<>();
        calls.forEach((call, standing) -> {
            if (now > limit(standing)) {
                out.add(new Late(call, standing.place, now, "its caller was not told " + describe(standing, now)));
            }
        });
        return out;
    }

    private long limit(Standing standing) {
        return standing.due == Long.MAX_VALUE ? Long.MAX_VALUE : standing.due + slack;
    }

    private static String describe(Standing standing, long now) {
        return (now - standing.overAt) / 1_000 + " ms after its end ("
                + (standing.sent ? "a release was sent" : "no release could be sent") + ")";
    }
}
