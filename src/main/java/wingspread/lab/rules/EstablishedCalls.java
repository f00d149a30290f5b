package wingspread.lab.rules;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that callers are notified of the end of established calls. The platform's protocol requires that an
 * established call that has ended is released towards its client within 1 s of the release by the exchange or the
 * softswitch and, if no release could be sent, within 8 s of its end. Times are in microseconds. Limited by the
 * number of calls of one run.
 */
final class EstablishedCalls {
    /** Time limit for notifying the caller after a release was sent. */
    static final long MAX_DELAY_AFTER_RELEASE_MICROS = 1_000_000;
    /** Time limit for notifying the caller after the end of a call whose release could not be sent. */
    static final long MAX_DELAY_AFTER_END_MICROS = 8_000_000;

    private final long slackMicros;
    private final Map<String, EstablishedCall> calls = new LinkedHashMap<>();

    /** A notification of a caller that was late or is missing. */
    record LateNotification(String call, int place, long at, String what) { }

    private static final class EstablishedCall {
        final int place;
        /** When the call ended; {@link Long#MAX_VALUE} while it is established. */
        long endedAt = Long.MAX_VALUE;
        /** Latest time for notifying the caller; {@link Long#MAX_VALUE} while the call is established. */
        long notifyBy = Long.MAX_VALUE;
        boolean releaseSent;

        EstablishedCall(int place) {
            this.place = place;
        }
    }

    /** Creates a checker whose time limits are extended by {@code slackMicros}. */
    EstablishedCalls(long slackMicros) {
        this.slackMicros = slackMicros;
    }

    void established(String call, int place) {
        calls.put(call, new EstablishedCall(place));
    }

    void ended(String call, long now) {
        EstablishedCall state = calls.get(call);
        if (state != null && state.endedAt == Long.MAX_VALUE) {
            state.endedAt = now;
            state.notifyBy = now + MAX_DELAY_AFTER_END_MICROS;
        }
    }

    void releaseSent(String call, long now) {
        ended(call, now);
        EstablishedCall state = calls.get(call);
        if (state != null) {
            state.releaseSent = true;
            state.notifyBy = Math.min(state.notifyBy, now + MAX_DELAY_AFTER_RELEASE_MICROS);
        }
    }

    /** Revokes a release that was sent, so that the time limit for unsent releases applies. */
    void releaseNotSent(String call) {
        EstablishedCall state = calls.get(call);
        if (state != null && state.releaseSent) {
            state.releaseSent = false;
            state.notifyBy = state.endedAt + MAX_DELAY_AFTER_END_MICROS;
        }
    }

    Optional<LateNotification> callerNotified(String call, long now) {
        EstablishedCall state = calls.remove(call);
        if (state == null || now <= latestNotification(state)) {
            return Optional.empty();
        }
        return Optional.of(new LateNotification(call, state.place, now,
                "its caller was notified " + describe(state, now)));
    }

    void remove(String call) {
        calls.remove(call);
    }

    /** Returns the calls that have ended and whose callers were not notified within the time limit. */
    List<LateNotification> overdueNotifications(long now) {
        List<LateNotification> out = new ArrayList<>();
        calls.forEach((call, state) -> {
            if (now > latestNotification(state)) {
                out.add(new LateNotification(call, state.place, now,
                        "its caller was not notified " + describe(state, now)));
            }
        });
        return out;
    }

    private long latestNotification(EstablishedCall state) {
        return state.notifyBy == Long.MAX_VALUE ? Long.MAX_VALUE : state.notifyBy + slackMicros;
    }

    private static String describe(EstablishedCall state, long now) {
        return (now - state.endedAt) / 1_000 + " ms after its end ("
                + (state.releaseSent ? "a release was sent" : "no release could be sent") + ")";
    }
}
