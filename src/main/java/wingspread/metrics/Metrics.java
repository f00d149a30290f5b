package wingspread.metrics;

import java.util.Map;
import java.util.TreeMap;

/** Counters of what is taken in, sent and answered, by kind. Confined to the loop. */
public final class Metrics {
    private final Map<String, long[]> counters = new TreeMap<>();

    /** Counts one. */
    public void count(String name) {
        counters.computeIfAbsent(name, n -> new long[1])[0]++;
    }

    public long value(String name) {
        long[] counter = counters.get(name);
        return counter == null ? 0 : counter[0];
    }

    /** All counters in one line, by name. */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder("counters");
        counters.forEach((name, counter) -> out.append(' ').append(name).append('=').append(counter[0]));
        return out.toString();
    }
}
