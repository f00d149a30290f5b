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
 * Runs the trials of many seeds, some of them in parallel. A trial that breaks a rule keeps its folder, and its
 * schedule is reduced to fewer faults; the folders of trials that break none are deleted.
 */
public final class Soak {
    /**
     * The parameters of a soak.
     *
     * @param seeds number of seeds, consecutive from {@code firstSeed}
     * @param seconds how long callers offer calls in each trial
     * @param allowedKinds the kinds of faults to choose from; empty for all
     * @param parallelTrials number of trials run at the same time
     * @param maxShrinkTrials maximum number of trials run to reduce one schedule; 0 disables the reduction
     * @param build the jars and class folders of the softswitch program to run; empty for that of this program
     */
    public record Plan(long firstSeed, int seeds, int seconds, Set<FaultKind> allowedKinds, int parallelTrials,
            int maxShrinkTrials, List<Path> build) { }

    /**
     * The outcome of one seed.
     *
     * @param result null if the trial could not be run
     * @param smallest the smallest schedule that still breaks a rule; null if no rule was broken or the reduction is
     *     disabled
     * @param error why the trial could not be run; empty if it was run
     */
    public record Outcome(long seed, Trial.Result result, Schedule smallest, String error) {
        /** Whether a rule was broken, or the trial is invalid. */
        public boolean hasFailed() {
            return result == null || result.broken() || !result.testbedFaults().isEmpty();
        }
    }

    private final Plan plan;
    private final Path folder;
    private final Consumer<Outcome> progress;

    /**
     * Creates a soak.
     *
     * @param folder for the folders of the trials
     * @param progress receives the outcome of each trial, on that trial's thread
     */
    public Soak(Plan plan, Path folder, Consumer<Outcome> progress) {
        this.plan = plan;
        this.folder = folder;
        this.progress = progress;
    }

    /** Runs the trials of all seeds and returns their outcomes in the order of the seeds. */
    public List<Outcome> run() throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(plan.parallelTrials());
        try {
            List<Future<Outcome>> trials = LongStream.range(plan.firstSeed(), plan.firstSeed() + plan.seeds())
                    .mapToObj(seed -> pool.submit(() -> run(
                            ScheduleGenerator.generate(seed, plan.seconds(), plan.allowedKinds()))))
                    .toList();
            List<Outcome> outcomes = new ArrayList<>();
            for (Future<Outcome> trial : trials) {
                outcomes.add(trial.get());
            }
            return outcomes;
        } catch (ExecutionException e) {
            throw new CancellationException("a trial failed with " + e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    /** Runs one schedule, and reduces it if a rule is broken. */
    public Outcome run(Schedule schedule) throws InterruptedException {
        Path trialFolder = folder.resolve("seed-" + schedule.seed());
        Outcome outcome;
        try {
            Trial.Result result = runTrial(schedule, trialFolder);
            outcome = new Outcome(schedule.seed(), result, result.broken() ? shrink(schedule, trialFolder) : null, "");
            if (!outcome.hasFailed()) {
                delete(trialFolder);
            }
        } catch (IOException | UncheckedIOException | SoakException e) {
            outcome = new Outcome(schedule.seed(), null, null, e.toString());
        }
        progress.accept(outcome);
        return outcome;
    }

    private Trial.Result runTrial(Schedule schedule, Path trialFolder) throws IOException, InterruptedException {
        return new Trial(schedule, trialFolder, plan.build()).run();
    }

    private Schedule shrink(Schedule schedule, Path trialFolder) throws IOException, InterruptedException {
        if (plan.maxShrinkTrials() == 0) {
            return null;
        }
        Path scratch = trialFolder.resolve("smaller");
        Shrinker shrinker = new Shrinker(candidate -> {
            delete(scratch);
            return runTrial(candidate, scratch).broken();
        }, plan.maxShrinkTrials());
        Schedule smallest = shrinker.shrink(schedule);
        smallest.write(trialFolder.resolve("smallest.json"));
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
