package wingspread.record;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import wingspread.core.Request;

/**
 * A bounded queue of calls to be written to disk, with one producer thread and one consumer thread. It never blocks:
 * a call offered to a full queue is dropped and counted. Only the recorded fields of a call are kept, and at most the
 * first {@value #MAX_NUMBER_LENGTH} characters of its number, so that the bound on the count also bounds the memory.
 */
final class OfferedCallQueue {
    /** Bounds the memory: a message may contain a number of 16 KiB. */
    private static final int MAX_NUMBER_LENGTH = 64;

    /** A call as offered, its number not yet hashed; times in microseconds on the event loop's clock. */
    record QueuedCall(long at, int callClass, int destination, double width, long deadline, boolean redial,
            boolean transit, boolean cut, String number) { }

    private final int capacity;
    private final ConcurrentLinkedQueue<QueuedCall> calls = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();
    private final AtomicLong dropped = new AtomicLong();

    /** Creates a queue with capacity for {@code capacity} calls, at least one. */
    OfferedCallQueue(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a call, or drops it if the queue is full. */
    void offer(long at, Request call) {
        if (size.get() >= capacity) {
            dropped.incrementAndGet();
            return;
        }
        size.incrementAndGet();
        String number = call.number();
        calls.add(new QueuedCall(at, call.callClass(), call.destination(), call.width(), call.deadline(), call.redial(),
                call.transit(), call.cut(),
                number.length() <= MAX_NUMBER_LENGTH ? number : number.substring(0, MAX_NUMBER_LENGTH)));
    }

    /** Removes and returns the first call; null if the queue is empty. */
    QueuedCall poll() {
        QueuedCall first = calls.poll();
        if (first != null) {
            size.decrementAndGet();
        }
        return first;
    }

    /** Returns the number of calls dropped so far. */
    long dropped() {
        return dropped.get();
    }
}
