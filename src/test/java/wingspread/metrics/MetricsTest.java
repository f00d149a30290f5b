package wingspread.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the line that holds all counters and gauges. */
class MetricsTest {
    @Test
    void printsCountersAndThenThePresentValuesOfGauges() {
        Metrics metrics = new Metrics();
        List<String> queue = new ArrayList<>();
        metrics.addGauge("kept.queue", queue::size);
        metrics.count("taken.calls");
        metrics.count("taken.calls");
        assertEquals("counters taken.calls=2 kept.queue=0", metrics.toString());
        queue.add("entry");
        assertEquals("counters taken.calls=2 kept.queue=1", metrics.toString());
        assertEquals(1, metrics.value("kept.queue"));
        assertEquals(0, metrics.value("never counted"));
    }
}
