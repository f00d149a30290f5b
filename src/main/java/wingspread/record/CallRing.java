package wingspread.record;

import java.util.concurrent.atomic.AtomicLong;
import wingspread.core.Request;

/**
 * A bounded ring from one thread to one other. Neither side waits: when it is full, the newest is dropped and
 * counted. It keeps requests without their descriptions' copies, for it only refers to them.
 */
final class CallRing {
    private final Request[] requests;
    private final long[] times;
    private final AtomicLong written = new AtomicLong();
    private final AtomicLong read = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();

    /** A ring for so many calls, at least one. */
    CallRing(int size) {
        requests = new Request[size];
        times = new long[size];
    }

    /** The writing thread adds one; false where it was dropped. */
    boolean offer(long at, Request request) {
        long position = written.getPlain();
        if (position - read.getAcquire() >= requests.length) {
            dropped.setRelease(dropped.getPlain() + 1);
            return false;
        }
        int place = (int) (position % requests.length);
        requests[place] = request;
        times[place] = at;
        written.setRelease(position + 1);
        return true;
    }

    /** Takes what there is. */
    interface Taker<E extends Exception> {
        void take(long at, Request request) throws E;
    }

    /** The reading thread takes all that has been added; how many. */
    <E extends Exception> int drain(Taker<E> taker) throws E {
        long end = written.getAcquire();
        long position = read.getPlain();
        int count = (int) (end - position);
        for (; position < end; position++) {
            int place = (int) (position % requests.length);
            Request request = requests[place];
            requests[place] = null;
            long at = times[place];
            read.setRelease(position + 1);
            taker.take(at, request);
        }
        return count;
    }

    /** How many were dropped so far. */
    long dropped() {
        return dropped.getAcquire();
    }
}
