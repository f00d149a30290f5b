package wingspread.turn;

import java.util.Arrays;

/**
 * Things to do at a time, in the order of their times and then of their adding. None can be taken back. A heap
 * of four children to a parent in plain arrays: half as deep as one of two, and each entry costs no object of its own
 * beside what is to be done.
 */
public final class Deadlines {
    private static final int FIRST_SIZE = 64;
    private static final int CHILDREN = 4;

    private long[] at = new long[FIRST_SIZE];
    private long[] order = new long[FIRST_SIZE];
    private Runnable[] what = new Runnable[FIRST_SIZE];
    private int size;
    private long added;

    /** Adds something to do at a time. */
    public void add(long time, Runnable task) {
        if (size == at.length) {
            at = Arrays.copyOf(at, 2 * size);
            order = Arrays.copyOf(order, 2 * size);
            what = Arrays.copyOf(what, 2 * size);
        }
        int hole = size++;
        long number = added++;
        while (hole > 0) {
            int parent = (hole - 1) / CHILDREN;
            if (at[parent] <= time) {
                break;
            }
            move(parent, hole);
            hole = parent;
        }
        put(hole, time, number, task);
    }

    /** Does all that is due, what is added meanwhile included. */
    public void play(long now) {
        while (next() <= now) {
            removeFirst().run();
        }
    }

    /** Does the first thing, whenever it is due; there must be one. */
    public void playOne() {
        removeFirst().run();
    }

    /** When the next one is due; {@link Long#MAX_VALUE} for never. */
    public long next() {
        return size == 0 ? Long.MAX_VALUE : at[0];
    }

    private Runnable removeFirst() {
        Runnable first = what[0];
        int last = --size;
        long time = at[last];
        long number = order[last];
        Runnable task = what[last];
        what[last] = null;
        if (last > 0) {
            int hole = 0;
            int child = firstChild(hole, last);
            while (child >= 0 && before(child, time, number)) {
                move(child, hole);
                hole = child;
                child = firstChild(hole, last);
            }
            put(hole, time, number, task);
        }
        return first;
    }

    /** The child that comes first; -1 for none. */
    private int firstChild(int parent, int end) {
        int from = CHILDREN * parent + 1;
        if (from >= end) {
            return -1;
        }
        int first = from;
        for (int child = from + 1; child < Math.min(from + CHILDREN, end); child++) {
            if (before(child, at[first], order[first])) {
                first = child;
            }
        }
        return first;
    }

    private boolean before(int entry, long time, long number) {
        return at[entry] < time || at[entry] == time && order[entry] < number;
    }

    private void move(int from, int to) {
        put(to, at[from], order[from], what[from]);
    }

    private void put(int place, long time, long number, Runnable task) {
        at[place] = time;
        order[place] = number;
        what[place] = task;
    }
}
