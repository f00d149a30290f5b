package wingspread.link;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wingspread.control.CallControl.Report;

/**
 * Parses load reports of exchanges, such as {@code x0:12;x1:40;queue:3}. A value that is missing, negative or not a
 * finite number, such as the -1 of an exchange that does not report it, becomes NaN.
 */
final class LoadReportParser {
    private LoadReportParser() { }

    static Report parse(String text) {
        if (text.isEmpty()) {
            return Report.EMPTY;
        }
        Map<String, Double> values = new HashMap<>();
        for (String part : text.split(";")) {
            int colon = part.indexOf(':');
            if (colon > 0) {
                try {
                    values.put(part.substring(0, colon).strip(), Double.valueOf(part.substring(colon + 1).strip()));
                } catch (NumberFormatException e) {
                    // A value that is not a number counts as not reported.
                    continue;
                }
            }
        }
        return new Report(value(values, List.of("idle", "x0")), value(values, List.of("circuits", "x1")),
                value(values, List.of("outstanding", "inflight")), value(values, List.of("backlog", "queue")),
                value(values, List.of("utilization", "util")), value(values, List.of("recent_ms", "latency_ms")),
                value(values, List.of("max_rate", "qps")), value(values, List.of("reduce", "eps")));
    }

    /** Returns the value under the first of its names that is present: those of the settings and of the operators. */
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
