package wingspread.lab.compare;

import java.util.List;
import java.util.Locale;

/**
 * The result of a comparison of two variants.
 *
 * @param service difference of the service, B minus A, with 95% confidence
 * @param parts differences of the components of the service and of each class; 95% joint confidence (Bonferroni)
 * @param narrow whether the interval is as narrow as requested
 * @param stages number of sampling stages
 * @param calls number of calls in all runs
 * @param breaches descriptions of rule breaches; for each day, those of A first
 */
public record Comparison(String a, String b, String scenario, long seed, Interval service, double meanA, double meanB,
        List<Part> parts, boolean narrow, int stages, long calls, List<String> breaches) {

    /** The difference of one component of the service. */
    public record Part(String name, double meanA, double meanB, Interval difference) { }

    /** The conclusion on variant B. */
    public enum Verdict { NO_DIFFERENCE, BETTER, WORSE, UNDECIDED, RULE_BROKEN }

    /** Returns the verdict on B. */
    public Verdict verdict() {
        if (!breaches.isEmpty()) {
            return Verdict.RULE_BROKEN;
        }
        if (service.excludesZero()) {
            return service.mean() > 0 ? Verdict.BETTER : Verdict.WORSE;
        }
        return narrow ? Verdict.NO_DIFFERENCE : Verdict.UNDECIDED;
    }

    /** Returns the result as a sentence. */
    public String sentence() {
        String estimate = String.format(Locale.ROOT, "%+.4f, 95%% between %+.4f and %+.4f, from %d pairs of days",
                service.mean(), service.low(), service.high(), service.n());
        return switch (verdict()) {
            case RULE_BROKEN -> "A rule was broken, so service does not count: " + breaches.get(0);
            case BETTER -> "B gives better service than A: " + estimate + ".";
            case WORSE -> "B gives worse service than A: " + estimate + ".";
            case NO_DIFFERENCE -> "No difference found between A and B: " + estimate + ".";
            case UNDECIDED -> "Undecided: the budget was spent before the interval was as narrow as asked: "
                    + estimate + ".";
        };
    }
}
