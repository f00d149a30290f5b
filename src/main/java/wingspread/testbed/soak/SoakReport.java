package wingspread.testbed.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import wingspread.testbed.soak.Schedule.PlannedFault;

/** What a soak came to, as a page of Markdown: what was played and judged, and what failed. */
public final class SoakReport {
    private final List<Soak.Outcome> outcomes;
    private final int seconds;
    private final Duration took;
    private final Duration processor;

    /**
     * The report on these trials.
     *
     * @param took by the wall
     * @param processor time of the stand-ins' own process
     */
    public SoakReport(List<Soak.Outcome> outcomes, int seconds, Duration took, Duration processor) {
        this.outcomes = outcomes;
        this.seconds = seconds;
        this.took = took;
        this.processor = processor;
    }

    /** The page. */
    public String text() {
        List<Trial.Result> results = outcomes.stream().map(Soak.Outcome::result).filter(r -> r != null).toList();
        StringBuilder out = new StringBuilder();
        out.append(String.format(Locale.ROOT, "# Soak of %d seeds, %d to %d%n%n", outcomes.size(),
                outcomes.get(0).seed(), outcomes.get(outcomes.size() - 1).seed()));
        out.append("| what | measured |\n| --- | --- |\n");
        row(out, "trials that broke no rule", outcomes.stream().filter(o -> !o.bad()).count());
        row(out, "trials that broke a rule", results.stream().filter(Trial.Result::broken).count());
        row(out, "trials that show nothing (the testbed failed)", outcomes.stream()
                .filter(o -> o.result() == null || !o.result().testbedFaults().isEmpty()).count());
        row(out, "seconds of calls in each", seconds);
        row(out, "softswitch processes", results.stream().mapToLong(r -> r.schedule().deployment().softswitches())
                .sum());
        row(out, "set-ups judged", results.stream().mapToLong(Trial.Result::offered).sum());
        row(out, "of these stood", results.stream().mapToLong(Trial.Result::stood).sum());
        row(out, "refused", results.stream().mapToLong(Trial.Result::refused).sum());
        row(out, "failed", results.stream().mapToLong(Trial.Result::failed).sum());
        row(out, "standing calls whose callers were told of the end, or ended them", results.stream()
                .mapToLong(Trial.Result::ended).sum());
        row(out, "attempts judged", results.stream().mapToLong(Trial.Result::attempts).sum());
        row(out, "attempts not judged, the stand-ins being late", results.stream()
                .mapToLong(Trial.Result::unjudged).sum());
        row(out, "most memory of a softswitch, MB", results.stream().mapToLong(Trial.Result::mostMemoryMb).max()
                .orElse(0));
        row(out, "most descriptors of a softswitch", results.stream().mapToLong(Trial.Result::mostDescriptors).max()
                .orElse(0));
        out.append(String.format(Locale.ROOT, "| minutes by the wall | %.1f |%n", took.toSeconds() / 60.0));
        out.append(String.format(Locale.ROOT, "| processor seconds of the stand-ins | %d |%n", processor.toSeconds()));
        faults(out, results);
        excuses(out, results);
        failures(out);
        return out.toString();
    }

    private static void row(StringBuilder out, String what, long figure) {
        out.append("| ").append(what).append(" | ").append(figure).append(" |\n");
    }

    private static void faults(StringBuilder out, List<Trial.Result> results) {
        Map<FaultKind, Long> counts = results.stream().flatMap(r -> r.schedule().faults().stream())
                .collect(Collectors.groupingBy(PlannedFault::kind, () -> new EnumMap<>(FaultKind.class),
                        Collectors.counting()));
        out.append("\n## Faults\n\n| fault | times |\n| --- | --- |\n");
        counts.forEach((kind, times) -> row(out, kind.option(), times));
    }

    private static void excuses(StringBuilder out, List<Trial.Result> results) {
        out.append("\n## What the pages excuse\n\n| excuse | calls |\n| --- | --- |\n");
        for (Excuse excuse : Excuse.values()) {
            long calls = results.stream().mapToLong(r -> r.excused().getOrDefault(excuse, 0)).sum();
            if (calls > 0) {
                row(out, excuse + ": " + excuse.sentence(), calls);
            }
        }
    }

    private void failures(StringBuilder out) {
        out.append("\n## What failed\n\n");
        List<Soak.Outcome> bad = outcomes.stream().filter(Soak.Outcome::bad).toList();
        if (bad.isEmpty()) {
            out.append("Nothing.\n");
        }
        for (Soak.Outcome outcome : bad) {
            String where = outcome.result() == null ? "" : outcome.result().folder().toString();
            String what = where.isEmpty() ? describe(outcome)
                    : describe(outcome).replace(where, "folder " + Path.of(where).getFileName());
            out.append("- ").append(what.replace("\n", "\n  ")).append('\n');
        }
    }

    /** One outcome in words, with the faults that break the rule. */
    public static String describe(Soak.Outcome outcome) {
        if (outcome.result() == null) {
            return "seed " + outcome.seed() + ": not played: " + outcome.error();
        }
        Trial.Result result = outcome.result();
        if (!result.testbedFaults().isEmpty()) {
            return "seed " + outcome.seed() + ": the testbed failed: " + result.testbedFaults().get(0);
        }
        if (!result.broken()) {
            return String.format(Locale.ROOT, "seed %d: %d set-ups, %d stood, %d refused, %d failed, %d faults: no rule"
                    + " broken", outcome.seed(), result.offered(), result.stood(), result.refused(), result.failed(),
                    result.schedule().faults().size());
        }
        StringBuilder out = new StringBuilder("seed " + outcome.seed() + ": " + result.breaches().size()
                + " breaches; " + result.folder());
        result.breaches().stream().limit(3).forEach(breach -> out.append("\n").append(breach));
        Schedule shown = outcome.smallest() == null ? result.schedule() : outcome.smallest();
        out.append("\n").append(outcome.smallest() == null ? "faults: " : "still broken with: ").append(shown.faults());
        return out.toString();
    }
}
