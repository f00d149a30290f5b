package wingspread.lab.report;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import wingspread.lab.compare.Comparison;
import wingspread.lab.measure.Service;
import wingspread.lab.world.Model;

/** A report of a comparison as a single self-contained HTML page. */
public final class Report {
    private static final String STYLE = "body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}"
            + "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}"
            + "td:first-child,th:first-child{text-align:left}img{max-width:100%}.verdict{font-size:1.2em}";

    private final VariantData a;
    private final VariantData b;
    private List<String> classNames = List.of();

    /** Creates a report on two variants with these names. */
    public Report(String nameA, String nameB) {
        a = new VariantData(nameA);
        b = new VariantData(nameB);
    }

    /** Adds one pair of runs. */
    public void add(Model.Run runA, Model.Run runB) {
        a.add(runA);
        b.add(runB);
        classNames = runA.service().classes().stream().map(Service.ByClass::name).toList();
    }

    /** Returns the HTML page. */
    public String page(Comparison comparison) throws IOException {
        StringBuilder html = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">");
        html.append("<title>").append(escape(comparison.scenario())).append("</title><style>").append(STYLE)
                .append("</style></head><body>");
        html.append("<h1>").append(escape(comparison.scenario())).append("</h1>");
        html.append("<p class=\"verdict\">").append(escape(comparison.sentence())).append("</p>");
        html.append("<p>A: ").append(escape(a.name)).append("<br>B: ").append(escape(b.name)).append("<br>Seed ")
                .append(comparison.seed()).append(", ").append(comparison.calls()).append(" calls. Confidence is 95% ")
                .append("for service and 95% jointly for the parts below it.</p>");
        appendTable(html, comparison);
        for (String breach : comparison.breaches()) {
            html.append("<p><b>Rule broken:</b> ").append(escape(breach)).append("</p>");
        }
        appendPlots(html, comparison);
        return html.append("</body></html>\n").toString();
    }

    private static void appendTable(StringBuilder html, Comparison comparison) {
        html.append("<table><tr><th></th><th>A</th><th>B</th><th>B less A</th><th>from</th><th>to</th></tr>");
        appendRow(html, new Comparison.Part("service", comparison.meanA(), comparison.meanB(), comparison.service()));
        comparison.parts().forEach(part -> appendRow(html, part));
        html.append("</table>");
    }

    private static void appendRow(StringBuilder html, Comparison.Part part) {
        html.append("<tr><td>").append(escape(part.name())).append(String.format(Locale.ROOT,
                "</td><td>%.4f</td><td>%.4f</td><td>%+.4f</td><td>%+.4f</td><td>%+.4f</td></tr>", part.meanA(),
                part.meanB(), part.difference().mean(), part.difference().low(), part.difference().high()));
    }

    private void appendPlots(StringBuilder html, Comparison comparison) throws IOException {
        List<VariantData> variants = List.of(a, b);
        appendImage(html, Plots.differences(comparison), "difference of each part");
        appendImage(html, Plots.overTime("Service by the second of the fresh call", "share of value", variants,
                variant -> variant.service), "service over time");
        for (int i = 0; i < classNames.size(); i++) {
            appendImage(html, Plots.delays("Set-up delay, " + classNames.get(i), variants, i), "set-up delay");
        }
        appendImage(html, Plots.overTime("Redials", "redials per second", variants,
                variant -> variant.redials), "redials");
        appendImage(html, Plots.overTime("Busy circuits", "share", variants, variant -> variant.busy), "busy circuits");
        appendImage(html, Plots.overTime("Outstanding set-ups, as limited by the windows", "set-ups", variants,
                variant -> variant.outstanding), "outstanding set-ups");
    }

    private static void appendImage(StringBuilder html, String url, String description) {
        html.append("<p><img alt=\"").append(description).append("\" src=\"").append(url).append("\"></p>");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }
}
