package wingspread.turn;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * A queue of tasks with deadlines, run in the order of their times and then of addition. A cancelled task leaves the
 * queue at once, so that what it refers to is not kept until its time.
 */
public final class Deadlines {
    private final NavigableSet<Timer> timers = new TreeSet<>(
            Comparator.<Timer>comparingLong(timer -> timer.at).thenComparingLong(timer -> timer.order));
    private long nextOrder;

    /** A task in the queue. */
    public final class Timer {
        private final long at;
        private final long order;
        private final Runnable task;

        private Timer(long at, long order, Runnable task) {
            this.at = at;
            this.order = order;
            this.task = task;
        }

        /** Removes the task from the queue. Does nothing if it has run or been cancelled before. */
        public void cancel() {
            timers.remove(this);
        }
    }

    /** Adds a task to run at a time. */
    public Timer add(long at, Runnable task) {
        Timer timer = new Timer(at, nextOrder++, task);
        timers.add(timer);
        return timer;
    }

    /** Runs all tasks that are due, including those that they add. */
    public void runDue(long now) {
        while (next() <= now) {
            runNext();
        }
    }

    /**
     * Runs the first task, even if it is not due yet.
     *
     * @throws java.util.NoSuchElementException if there is none
     */
    public void runNext() {
        Timer first = timers.first();
        timers.remove(first);
        first.task.run();
    }

    /** Returns when the next task is due, {@link Long#MAX_VALUE} if there is none. */
    public long next() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.first().at;
    }

    /** Returns the number of tasks in the queue. */
    public int size() {
        return timers.size();
    }
}
