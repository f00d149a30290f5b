package wingspread.link;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wingspread.control.CallControl.Report;

/** Reads load reports, as in {@code x0:12;x1:40;queue:3}; -1 stands for what is not told. */
final class Gauges {
    private Gauges() { }

    static Report parse(String text) {
        if (text.isEmpty()) {
            return Report.NOTHING;
        }
        Map<String, Double> values = new HashMap<>();
        for (String part : text.split(";")) {
            int colon = part.indexOf(':');
            if (colon > 0) {
                try {
                    values.put(part.substring(0, colon).strip(), Double.valueOf(part.substring(colon + 1).strip()));
                } catch (NumberFormatException e) {
                    // A figure that cannot be read is a figure that is not told.
                    continue;
                }
            }
        }
        return new Report(value(values, List.of("idle", "x0")), value(values, List.of("circuits", "x1")),
                value(values, List.of("outstanding", "inflight")), value(values, List.of("backlog", "queue")),
                value(values, List.of("utilization", "util")), value(values, List.of("recent_ms", "latency_ms")),
                value(values, List.of("max_rate", "qps")), value(values, List.of("reduce", "eps")));
    }

    /** The figure under one of its names, the settings' and the operators'. */
    private static double value(Map<String, Double> values, List<String> names) {
        for (String name : names) {
            Double value = values.get(name);
            if (value != null && value >= 0 && Double.isFinite(value)) {
                return value;
            }
        }
        return Double.NaN;
    }
}
