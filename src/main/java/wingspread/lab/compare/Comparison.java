package wingspread.lab.compare;

import java.util.List;
import java.util.Locale;

/**
 * What a comparison of two variants found.
 *
 * @param service the difference in the result, B less A, with 95% confidence
 * @param parts the differences that the result is made of, and of each class; together 95%, by Bonferroni
 * @param narrow whether the interval is as narrow as was asked
 * @param breaches broken rules, in words; those of A first
 */
public record Comparison(String a, String b, String scenario, long seed, Interval service, double meanA, double meanB,
        List<Part> parts, boolean narrow, int stages, long calls, List<String> breaches) {

    /** One part's difference. */
    public record Part(String name, double meanA, double meanB, Interval difference) { }

    /** What it comes to. */
    public enum Verdict { NO_DIFFERENCE, BETTER, WORSE, UNDECIDED, RULE_BROKEN }

    /** The verdict on B. */
    public Verdict verdict() {
        if (!breaches.isEmpty()) {
            return Verdict.RULE_BROKEN;
        }
        if (service.excludesZero()) {
            return service.mean() > 0 ? Verdict.BETTER : Verdict.WORSE;
        }
        return narrow ? Verdict.NO_DIFFERENCE : Verdict.UNDECIDED;
    }

    /** One plain sentence. */
    public String sentence() {
        String figures = String.format(Locale.ROOT, "%+.4f, 95%% between %+.4f and %+.4f, from %d pairs of days",
                service.mean(), service.low(), service.high(), service.n());
        return switch (verdict()) {
            case RULE_BROKEN -> "A rule was broken, so service does not count: " + breaches.get(0);
            case BETTER -> "B gives better service than A: " + figures + ".";
            case WORSE -> "B gives worse service than A: " + figures + ".";
            case NO_DIFFERENCE -> "No difference found between A and B: " + figures + ".";
            case UNDECIDED -> "Undecided: the budget was spent before the interval was as narrow as asked: "
                    + figures + ".";
        };
    }
}
