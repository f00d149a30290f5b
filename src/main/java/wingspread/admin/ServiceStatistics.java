package wingspread.admin;

import java.util.List;
import wingspread.json.Json;

/**
 * The figures of a softswitch at one time, each counted from the start of the process.
 *
 * @param classes the figures of each call class
 * @param upstreamRequests set-ups written to exchanges
 * @param pending calls that have no final answer yet
 * @param members listed exchanges
 * @param membersUnavailable listed exchanges that the call control avoids
 */
public record ServiceStatistics(List<ClassStatistics> classes, long upstreamRequests, long pending, int members,
        int membersUnavailable) {
    /** The figures of one call class. */
    public record ClassStatistics(String name, long established, long refused, long failed) { }

    /** Reads one figure of a call class. */
    private interface Figure {
        long of(ClassStatistics callClass);
    }

    /** Returns the figures as one line of JSON. */
    public String toJson() {
        StringBuilder out = new StringBuilder(256).append('{');
        appendByClass(out, "completed", ClassStatistics::established);
        appendByClass(out, "rejected", ClassStatistics::refused);
        appendByClass(out, "failed", ClassStatistics::failed);
        return out.append("\"upstream_requests\":").append(upstreamRequests)
                .append(",\"pending\":").append(pending)
                .append(",\"members\":").append(members)
                .append(",\"members_unavailable\":").append(membersUnavailable).append("}\n").toString();
    }

    private void appendByClass(StringBuilder out, String name, Figure figure) {
        out.append('"').append(name).append("\":{");
        for (int i = 0; i < classes.size(); i++) {
            out.append(i == 0 ? "" : ",");
            Json.quote(out, classes.get(i).name());
            out.append(':').append(figure.of(classes.get(i)));
        }
        out.append("},");
    }
}
