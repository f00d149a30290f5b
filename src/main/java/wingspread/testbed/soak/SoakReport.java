package wingspread.testbed.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import wingspread.testbed.soak.Schedule.PlannedFault;

/** The report on a soak in Markdown: the trials that were run, what was checked, and what failed. */
public final class SoakReport {
    private final List<Soak.Outcome> outcomes;
    private final int seconds;
    private final Duration wallTime;
    private final Duration cpuTime;

    /**
     * Creates the report on a soak.
     *
     * @param outcomes of all trials, at least one
     * @param seconds how long callers offered calls in each trial
     * @param wallTime the duration of the soak
     * @param cpuTime CPU time used by the process of the stand-ins
     */
    public SoakReport(List<Soak.Outcome> outcomes, int seconds, Duration wallTime, Duration cpuTime) {
        this.outcomes = outcomes;
        this.seconds = seconds;
        this.wallTime = wallTime;
        this.cpuTime = cpuTime;
    }

    /** Returns the report as text. */
    public String text() {
        List<Trial.Result> results = outcomes.stream().map(Soak.Outcome::result)
                .filter(result -> result != null).toList();
        StringBuilder out = new StringBuilder();
        out.append(String.format(Locale.ROOT, "# Soak of %d seeds, %d to %d%n%n", outcomes.size(),
                outcomes.get(0).seed(), outcomes.get(outcomes.size() - 1).seed()));
        out.append("| quantity | value |\n| --- | --- |\n");
        row(out, "trials that broke no rule", outcomes.stream().filter(o -> !o.hasFailed()).count());
        row(out, "trials that broke a rule", results.stream().filter(Trial.Result::broken).count());
        row(out, "invalid trials (the test bed failed)", outcomes.stream()
                .filter(o -> o.result() == null || !o.result().testbedFaults().isEmpty()).count());
        row(out, "seconds of calls in each trial", seconds);
        row(out, "softswitch processes", results.stream().mapToLong(r -> r.schedule().deployment().softswitches())
                .sum());
        row(out, "set-ups checked", results.stream().mapToLong(Trial.Result::offered).sum());
        row(out, "of these established", results.stream().mapToLong(Trial.Result::established).sum());
        row(out, "refused", results.stream().mapToLong(Trial.Result::refused).sum());
        row(out, "failed", results.stream().mapToLong(Trial.Result::failed).sum());
        row(out, "established calls whose callers were notified of the end, or ended them", results.stream()
                .mapToLong(Trial.Result::ended).sum());
        row(out, "attempts checked", results.stream().mapToLong(Trial.Result::attempts).sum());
        row(out, "attempts not checked, as the stand-ins were late", results.stream()
                .mapToLong(Trial.Result::notChecked).sum());
        row(out, "peak memory of a softswitch, MB", results.stream().mapToLong(Trial.Result::peakMemoryMb).max()
                .orElse(0));
        row(out, "peak descriptors of a softswitch", results.stream().mapToLong(Trial.Result::peakDescriptors).max()
                .orElse(0));
        out.append(String.format(Locale.ROOT, "| wall time in minutes | %.1f |%n", wallTime.toSeconds() / 60.0));
        out.append(String.format(Locale.ROOT, "| CPU seconds of the stand-ins | %d |%n", cpuTime.toSeconds()));
        faults(out, results);
        excuses(out, results);
        failures(out);
        return out.toString();
    }

    private static void row(StringBuilder out, String label, long value) {
        out.append("| ").append(label).append(" | ").append(value).append(" |\n");
    }

    private static void faults(StringBuilder out, List<Trial.Result> results) {
        Map<FaultKind, Long> counts = results.stream().flatMap(r -> r.schedule().faults().stream())
                .collect(Collectors.groupingBy(PlannedFault::kind, () -> new EnumMap<>(FaultKind.class),
                        Collectors.counting()));
        out.append("\n## Faults\n\n| fault | injected |\n| --- | --- |\n");
        counts.forEach((kind, count) -> row(out, kind.option(), count));
    }

    private static void excuses(StringBuilder out, List<Trial.Result> results) {
        out.append("\n## Calls excused by the pages\n\n| excuse | calls |\n| --- | --- |\n");
        for (Excuse excuse : Excuse.values()) {
            long calls = results.stream().mapToLong(r -> r.excused().getOrDefault(excuse, 0)).sum();
            if (calls > 0) {
                row(out, excuse + ": " + excuse.sentence(), calls);
            }
        }
    }

    private void failures(StringBuilder out) {
        out.append("\n## Failures\n\n");
        List<Soak.Outcome> failed = outcomes.stream().filter(Soak.Outcome::hasFailed).toList();
        if (failed.isEmpty()) {
            out.append("None.\n");
        }
        for (Soak.Outcome outcome : failed) {
            String folder = outcome.result() == null ? "" : outcome.result().folder().toString();
            String description = folder.isEmpty() ? describe(outcome)
                    : describe(outcome).replace(folder, "folder " + Path.of(folder).getFileName());
            out.append("- ").append(description.replace("\n", "\n  ")).append('\n');
        }
    }

    /** Describes one outcome in a line, or in several with the first breaches and the faults if a rule was broken. */
    public static String describe(Soak.Outcome outcome) {
        if (outcome.result() == null) {
            return "seed " + outcome.seed() + ": not run: " + outcome.error();
        }
        Trial.Result result = outcome.result();
        if (!result.testbedFaults().isEmpty()) {
            return "seed " + outcome.seed() + ": the test bed failed: " + result.testbedFaults().get(0);
        }
        if (!result.broken()) {
            return String.format(Locale.ROOT, "seed %d: %d set-ups, %d established, %d refused, %d failed, %d faults:"
                    + " no rule broken", outcome.seed(), result.offered(), result.established(), result.refused(),
                    result.failed(), result.schedule().faults().size());
        }
        StringBuilder out = new StringBuilder("seed " + outcome.seed() + ": " + result.breaches().size()
                + " breaches; " + result.folder());
        result.breaches().stream().limit(3).forEach(breach -> out.append("\n").append(breach));
        Schedule shown = outcome.smallest() == null ? result.schedule() : outcome.smallest();
        out.append("\n").append(outcome.smallest() == null ? "faults: " : "still broken with: ").append(shown.faults());
        return out.toString();
    }
}
