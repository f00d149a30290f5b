package wingspread.testbed.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Plays the trials of many seeds, some side by side. A trial that breaks a rule keeps its folder, and its schedule is
 * made smaller; the folders of the others are removed.
 */
public final class Soak {
    /**
     * What to play.
     *
     * @param seconds for which callers offer calls in each trial
     * @param only the kinds of faults; empty for all
     * @param sideBySide trials at a time
     * @param shrinkTrials trials that making one schedule smaller may take; 0 for none
     * @param build the jars and folders of classes of the softswitches' program; empty for this program
     */
    public record Plan(long from, int seeds, int seconds, Set<FaultKind> only, int sideBySide, int shrinkTrials,
            List<Path> build) { }

    /**
     * What came of one seed.
     *
     * @param smallest the smallest schedule that still breaks a rule; null where none is broken or none was looked for
     * @param error what kept the trial from being played; empty for nothing
     */
    public record Outcome(long seed, Trial.Result result, Schedule smallest, String error) {
        /** Whether a rule was broken, or the trial shows nothing. */
        public boolean bad() {
            return result == null || result.broken() || !result.testbedFaults().isEmpty();
        }
    }

    private final Plan plan;
    private final Path folder;
    private final Consumer<Outcome> progress;

    /** A soak whose trials have their folders in this one; {@code progress} hears of each, on the trial's thread. */
    public Soak(Plan plan, Path folder, Consumer<Outcome> progress) {
        this.plan = plan;
        this.folder = folder;
        this.progress = progress;
    }

    /** Plays all seeds; in the order of their numbers. */
    public List<Outcome> play() throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(plan.sideBySide());
        try {
            List<Future<Outcome>> trials = LongStream.range(plan.from(), plan.from() + plan.seeds())
                    .mapToObj(seed -> pool.submit(() -> play(ScheduleDraw.draw(seed, plan.seconds(), plan.only()))))
                    .toList();
            List<Outcome> out = new ArrayList<>();
            for (Future<Outcome> trial : trials) {
                out.add(trial.get());
            }
            return out;
        } catch (ExecutionException e) {
            throw new CancellationException("a trial ended with " + e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    /** Plays one schedule, and makes it smaller where a rule is broken. */
    public Outcome play(Schedule schedule) throws InterruptedException {
        Path where = folder.resolve("seed-" + schedule.seed());
        Outcome outcome;
        try {
            Trial.Result result = trial(schedule, where);
            outcome = new Outcome(schedule.seed(), result, result.broken() ? smaller(schedule, where) : null, "");
            if (!outcome.bad()) {
                delete(where);
            }
        } catch (IOException | UncheckedIOException | SoakException e) {
            outcome = new Outcome(schedule.seed(), null, null, e.toString());
        }
        progress.accept(outcome);
        return outcome;
    }

    private Trial.Result trial(Schedule schedule, Path where) throws IOException, InterruptedException {
        return new Trial(schedule, where, plan.build()).play();
    }

    private Schedule smaller(Schedule schedule, Path where) throws IOException, InterruptedException {
        if (plan.shrinkTrials() == 0) {
            return null;
        }
        Path scratch = where.resolve("smaller");
        Shrinker shrinker = new Shrinker(candidate -> {
            delete(scratch);
            return trial(candidate, scratch).broken();
        }, plan.shrinkTrials());
        Schedule smallest = shrinker.shrink(schedule);
        smallest.write(where.resolve("smallest.json"));
        return smallest;
    }

    private static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
