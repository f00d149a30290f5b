package wingspread.metrics;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Named counters of messages received and sent, answers and other events, and gauges of what is kept at present.
 * Confined to the event loop.
 */
public final class Metrics {
    private final Map<String, long[]> counters = new TreeMap<>();
    private final Map<String, LongSupplier> gauges = new TreeMap<>();

    /** Increments a counter, which starts at 0. */
    public void count(String name) {
        counters.computeIfAbsent(name, n -> new long[1])[0]++;
    }

    /** Adds a gauge, whose value is read whenever it is printed. Replaces a gauge with the same name. */
    public void addGauge(String name, LongSupplier value) {
        gauges.put(name, value);
    }

    /** Returns the value of a counter or a gauge; 0 if there is none with this name or it was never incremented. */
    public long value(String name) {
        LongSupplier gauge = gauges.get(name);
        if (gauge != null) {
            return gauge.getAsLong();
        }
        long[] counter = counters.get(name);
        return counter == null ? 0 : counter[0];
    }

    /** Returns all counters in one line, sorted by name, and after them all gauges. */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder("counters");
        counters.forEach((name, counter) -> out.append(' ').append(name).append('=').append(counter[0]));
        gauges.forEach((name, gauge) -> out.append(' ').append(name).append('=').append(gauge.getAsLong()));
        return out.toString();
    }
}
