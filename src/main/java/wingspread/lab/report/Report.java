package wingspread.lab.report;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import wingspread.lab.compare.Comparison;
import wingspread.lab.measure.Service;
import wingspread.lab.world.Model;

/** A page that says what a comparison found: one file of HTML with everything in it. */
public final class Report {
    private static final String STYLE = "body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}"
            + "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}"
            + "td:first-child,th:first-child{text-align:left}img{max-width:100%}.verdict{font-size:1.2em}";

    private final Side a;
    private final Side b;
    private List<String> classNames = List.of();

    /** A report on two variants of these names. */
    public Report(String nameA, String nameB) {
        a = new Side(nameA);
        b = new Side(nameB);
    }

    /** Takes one pair of runs. */
    public void add(Model.Run runA, Model.Run runB) {
        a.add(runA);
        b.add(runB);
        classNames = runA.service().classes().stream().map(Service.ByClass::name).toList();
    }

    /** The page. */
    public String page(Comparison found) throws IOException {
        StringBuilder out = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">");
        out.append("<title>").append(escaped(found.scenario())).append("</title><style>").append(STYLE)
                .append("</style></head><body>");
        out.append("<h1>").append(escaped(found.scenario())).append("</h1>");
        out.append("<p class=\"verdict\">").append(escaped(found.sentence())).append("</p>");
        out.append("<p>A: ").append(escaped(a.name)).append("<br>B: ").append(escaped(b.name)).append("<br>Seed ")
                .append(found.seed()).append(", ").append(found.calls()).append(" calls. Service has 95% confidence; ")
                .append("the parts below it have 95% together.</p>");
        table(out, found);
        for (String breach : found.breaches()) {
            out.append("<p><b>Rule broken:</b> ").append(escaped(breach)).append("</p>");
        }
        plots(out, found);
        return out.append("</body></html>\n").toString();
    }

    private static void table(StringBuilder out, Comparison found) {
        out.append("<table><tr><th></th><th>A</th><th>B</th><th>B less A</th><th>from</th><th>to</th></tr>");
        row(out, new Comparison.Part("service", found.meanA(), found.meanB(), found.service()));
        found.parts().forEach(part -> row(out, part));
        out.append("</table>");
    }

    private static void row(StringBuilder out, Comparison.Part part) {
        out.append("<tr><td>").append(escaped(part.name())).append(String.format(Locale.ROOT,
                "</td><td>%.4f</td><td>%.4f</td><td>%+.4f</td><td>%+.4f</td><td>%+.4f</td></tr>", part.meanA(),
                part.meanB(), part.difference().mean(), part.difference().low(), part.difference().high()));
    }

    private void plots(StringBuilder out, Comparison found) throws IOException {
        List<Side> sides = List.of(a, b);
        picture(out, Plots.differences(found), "difference of each part");
        picture(out, Plots.overTime("Service by the second of the first try", "share of worth", sides,
                side -> side.service), "service over time");
        for (int i = 0; i < classNames.size(); i++) {
            picture(out, Plots.delays("Set-up delay, " + classNames.get(i), sides, i), "set-up delay");
        }
        picture(out, Plots.overTime("Redials", "tries a second", sides, side -> side.redials), "redials");
        picture(out, Plots.overTime("Busy circuits", "share", sides, side -> side.busy), "busy circuits");
        picture(out, Plots.overTime("Set-ups out: what the windows let go", "set-ups", sides, side -> side.out),
                "set-ups out");
    }

    private static void picture(StringBuilder out, String url, String what) {
        out.append("<p><img alt=\"").append(what).append("\" src=\"").append(url).append("\"></p>");
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }
}
