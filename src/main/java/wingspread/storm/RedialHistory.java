package wingspread.storm;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers called numbers whose calls failed, to recognise redials that carry no redial mark: a call to such a number
 * soon after the failure counts as a redial, and one before the retry time that was advised counts as early. Numbers
 * that many callers dial are excluded, because the next call to them may come from anybody. All times are in
 * microseconds.
 */
final class RedialHistory {
    /** How a call is classified by the history of its called number. */
    enum Classification { NONE, REDIAL, EARLY }

    /** History of one called number. */
    private static final class NumberHistory {
        /** Calls offered since the history began. */
        int offeredCalls;
        /** Offered calls that were neither established nor failed so far. */
        int pendingCalls;
        long lastOfferedAt;
        /** Time of the latest failure since the last call was offered; -1 if there was none. */
        long failedAt = -1;
        /** Time at which the caller was advised to redial; 0 if none was advised. */
        long retryAt;
    }

    private final StormParameters.RetryPolicy parameters;
    /** Histories by called number, in access order: the least recently used one comes first. */
    private final Map<Long, NumberHistory> numbers = new LinkedHashMap<>(16, 0.75f, true);

    RedialHistory(StormParameters.RetryPolicy parameters) {
        this.parameters = parameters;
    }

    /**
     * Classifies a call offer and counts it as pending until it is established or fails.
     *
     * @param number called number; 0 if not known
     */
    Classification classify(long now, long number) {
        if (number == 0 || parameters.redialWindowMicros() == 0) {
            return Classification.NONE;
        }
        NumberHistory history = numbers.get(number);
        if (history == null
                || now - history.lastOfferedAt > parameters.redialWindowMicros() && history.pendingCalls == 0) {
            evictIfFull();
            history = new NumberHistory();
            numbers.put(number, history);
        }
        // On a number that many callers dial, each call would look like the redial of another caller.
        boolean singleCaller = history.pendingCalls == 0 && history.offeredCalls <= parameters.maxCallsPerNumber();
        boolean redial = singleCaller && history.failedAt >= 0
                && now - history.failedAt <= parameters.redialWindowMicros();
        boolean tooEarly = redial && now < history.retryAt - parameters.earlyToleranceMicros();
        history.offeredCalls++;
        history.pendingCalls++;
        history.lastOfferedAt = Math.max(history.lastOfferedAt, now);
        history.failedAt = -1;
        return tooEarly ? Classification.EARLY : redial ? Classification.REDIAL : Classification.NONE;
    }

    /** Returns the time at which the caller of a number was advised to redial; 0 if none was advised. */
    long retryAt(long number) {
        NumberHistory history = numbers.get(number);
        return history == null ? 0 : history.retryAt;
    }

    /** Records that a call to the number was established. */
    void onCallEstablished(long number) {
        NumberHistory history = numbers.get(number);
        if (history != null) {
            history.pendingCalls = Math.max(0, history.pendingCalls - 1);
            history.retryAt = 0;
        }
    }

    /**
     * Records that a call to the number failed.
     *
     * @param retryAt time at which the caller was advised to redial; 0 if none was advised
     */
    void onCallFailed(long now, long number, long retryAt) {
        NumberHistory history = numbers.get(number);
        if (history != null) {
            history.pendingCalls = Math.max(0, history.pendingCalls - 1);
            history.failedAt = now;
            history.retryAt = retryAt;
        }
    }

    /** Returns how many called numbers are remembered. */
    int size() {
        return numbers.size();
    }

    private void evictIfFull() {
        if (numbers.size() >= parameters.maxNumbers()) {
            Iterator<Long> leastRecentlyUsed = numbers.keySet().iterator();
            leastRecentlyUsed.next();
            leastRecentlyUsed.remove();
        }
    }
}
