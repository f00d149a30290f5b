package wingspread.metrics;

import java.util.Map;
import java.util.TreeMap;

/** Named counters of messages received and sent, answers and other events. Confined to the event loop. */
public final class Metrics {
    private final Map<String, long[]> counters = new TreeMap<>();

    /** Increments a counter, which starts at 0. */
    public void count(String name) {
        counters.computeIfAbsent(name, n -> new long[1])[0]++;
    }

    /** Returns the value of a counter; 0 if it was never incremented. */
    public long value(String name) {
        long[] counter = counters.get(name);
        return counter == null ? 0 : counter[0];
    }

    /** Returns all counters in one line, sorted by name. */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder("counters");
        counters.forEach((name, counter) -> out.append(' ').append(name).append('=').append(counter[0]));
        return out.toString();
    }
}
