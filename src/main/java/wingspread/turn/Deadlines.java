package wingspread.turn;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A queue of tasks with deadlines, run in the order of their times and then of addition. Tasks cannot be removed. */
public final class Deadlines {
    private record Entry(long at, long order, Runnable task) { }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(
            Comparator.comparingLong(Entry::at).thenComparingLong(Entry::order));
    private long nextOrder;

    /** Adds a task to run at a time. */
    public void add(long at, Runnable task) {
        entries.add(new Entry(at, nextOrder++, task));
    }

    /** Runs all tasks that are due, including those that they add. */
    public void runDue(long now) {
        while (next() <= now) {
            entries.remove().task().run();
        }
    }

    /**
     * Runs the first task, even if it is not due yet.
     *
     * @throws java.util.NoSuchElementException if there is none
     */
    public void runNext() {
        entries.remove().task().run();
    }

    /** Returns when the next task is due, {@link Long#MAX_VALUE} if there is none. */
    public long next() {
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().at();
    }

    /** Returns the number of tasks in the queue. */
    public int size() {
        return entries.size();
    }
}
