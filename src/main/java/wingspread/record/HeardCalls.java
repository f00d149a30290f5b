package wingspread.record;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import wingspread.core.Request;

/**
 * The calls that wait for the disk, from one thread to one other. Neither side waits for the other: when it is full,
 * the newest is dropped and counted. It holds what will be written and nothing else of a call, so that its size is
 * bounded by how many it holds; of a number it keeps the first {@value #LONGEST_NUMBER} characters.
 */
final class HeardCalls {
    /** Guards the memory: a message may hold a number of 16 KiB. */
    private static final int LONGEST_NUMBER = 64;

    /** A call as it came in, its number not hashed yet; times in microseconds on the loop's clock. */
    record Heard(long at, int callClass, int destination, double width, long deadline, boolean redial,
            boolean transit, boolean cut, String number) { }

    private final int most;
    private final ConcurrentLinkedQueue<Heard> calls = new ConcurrentLinkedQueue<>();
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicLong dropped = new AtomicLong();

    /** Room for so many calls, at least one. */
    HeardCalls(int most) {
        this.most = most;
    }

    /** Adds one, or drops it. */
    void offer(long at, Request call) {
        if (held.get() >= most) {
            dropped.incrementAndGet();
            return;
        }
        held.incrementAndGet();
        String number = call.number();
        calls.add(new Heard(at, call.callClass(), call.destination(), call.width(), call.deadline(), call.redial(),
                call.transit(), call.cut(),
                number.length() <= LONGEST_NUMBER ? number : number.substring(0, LONGEST_NUMBER)));
    }

    /** Takes the first; null for none. */
    Heard poll() {
        Heard first = calls.poll();
        if (first != null) {
            held.decrementAndGet();
        }
        return first;
    }

    /** How many were dropped so far. */
    long dropped() {
        return dropped.get();
    }
}
