package wingspread.turn;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Things to do at a time, in the order of their times and then of their adding. None can be taken back. */
public final class Deadlines {
    private record Entry(long at, long order, Runnable what) { }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(
            Comparator.comparingLong(Entry::at).thenComparingLong(Entry::order));
    private long order;

    /** Adds something to do at a time. */
    public void add(long at, Runnable what) {
        entries.add(new Entry(at, order++, what));
    }

    /** Does all that is due. */
    public void play(long now) {
        while (next() <= now) {
            entries.remove().what().run();
        }
    }

    /** Does the first thing, whenever it is due; there must be one. */
    public void playOne() {
        entries.remove().what().run();
    }

    /** When the next one is due; {@link Long#MAX_VALUE} for never. */
    public long next() {
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().at();
    }
}
