package wingspread.testbed.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import wingspread.lab.rules.Breach;
import wingspread.net.Loop;
import wingspread.net.UnixClock;

/**
 * One trial of a soak: starts the softswitch processes of a schedule among stand-ins on the loopback interface, has
 * callers offer calls, injects the schedule's faults, shuts everything down and returns the breaches of rules. It
 * leaves a folder with the schedule, the log of each process and the record of what the stand-ins sent and received.
 */
public final class Trial {
    static final String SCHEDULE_FILE = "schedule.json";
    static final String RECORD_FILE = "record.tsv";
    private static final long START_TIMEOUT_MICROS = 15_000_000;
    /** Time after the last call's deadline: that in which callers must be notified of the end of calls, plus slack. */
    private static final long SETTLE_TIMEOUT_MICROS = 9_000_000;
    private static final long POLL_INTERVAL_MICROS = 50_000;
    private static final long LOOP_CHECK_INTERVAL_MICROS = 5_000;
    private static final long MAX_LOOP_DELAY_MICROS = 20_000;

    private final Schedule schedule;
    private final Path folder;
    private final List<Path> build;
    private final Loop loop = new Loop(new UnixClock());
    private final TrialLog log = new TrialLog(loop::now);
    private final Judge judge = new Judge(loop, log);
    private final List<SoftswitchHost> softswitches = new ArrayList<>();
    private final List<ExchangeHost> exchanges = new ArrayList<>();
    private volatile boolean finished;
    /** Terminates the softswitches when this program is terminated from outside, so that none is left running. */
    private final Thread shutdownHook = new Thread(() -> softswitches.forEach(SoftswitchHost::destroy), "trial end");

    /**
     * The result of a trial.
     *
     * @param testbedFaults faults of the test bed itself; if there are any, the trial is invalid
     * @param offered set-ups that callers offered
     * @param established set-ups answered as established
     * @param ended established calls whose callers were notified of the end, or ended them
     * @param attempts set-ups that arrived at exchanges
     * @param notChecked attempts that were not checked, as the stand-ins read them late
     * @param peakMemoryMb highest memory use of any softswitch
     * @param peakDescriptors highest number of open descriptors of any softswitch
     * @param excused calls that each excuse was applied to
     */
    public record Result(Schedule schedule, Path folder, List<Breach> breaches, List<String> testbedFaults,
            long offered, long established, long refused, long failed, long ended, long attempts, long notChecked,
            int peakMemoryMb, int peakDescriptors, Map<Excuse, Integer> excused) {
        /** Whether the softswitches broke a rule. */
        public boolean broken() {
            return !breaches.isEmpty();
        }
    }

    /**
     * Creates a trial that is not started yet.
     *
     * @param folder for the trial's files; created if absent
     * @param build the jars and class folders of the softswitch program to run; empty for that of this program
     */
    public Trial(Schedule schedule, Path folder, List<Path> build) {
        this.schedule = schedule;
        this.folder = folder.toAbsolutePath();
        this.build = build;
    }

    /** Runs the trial, which takes the schedule's time and up to about 10 s more. */
    public Result run() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        schedule.write(folder.resolve(SCHEDULE_FILE));
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            onLoop(this::prepare);
            awaitReady();
            onLoop(() -> {
                softswitches.forEach(s -> s.callers().startOffering());
                new FaultInjector(loop, log, softswitches, exchanges, new SplittableRandom(schedule.seed() + 2))
                        .schedule(schedule.faults());
                return null;
            });
            sleep(schedule.seconds() * 1_000_000L);
            finish();
        } finally {
            softswitches.forEach(SoftswitchHost::destroy);
            finished = true;
            onLoop(() -> {
                softswitches.forEach(SoftswitchHost::close);
                exchanges.forEach(ExchangeHost::close);
                return null;
            });
            List<TrialLog.Entry> record = onLoop(log::entries);
            loop.stop();
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            TrialLog.write(record, folder.resolve(RECORD_FILE));
        }
        return result();
    }

    /** Reports delays of the stand-ins' loop to the judge. */
    private void watchLoopDelay() {
        long due = loop.now() + LOOP_CHECK_INTERVAL_MICROS;
        loop.at(due, () -> {
            if (loop.now() > due + MAX_LOOP_DELAY_MICROS) {
                judge.loopWasLate();
            }
            if (!finished) {
                watchLoopDelay();
            }
        });
    }

    private Void prepare() {
        watchLoopDelay();
        SplittableRandom random = new SplittableRandom(schedule.seed());
        try {
            for (int i = 0; i < schedule.deployment().softswitches(); i++) {
                softswitches.add(new SoftswitchHost(loop, i, schedule.deployment(), folder, build,
                        random.split(), log, judge));
            }
            for (int i = 0; i < schedule.deployment().exchanges(); i++) {
                exchanges.add(new ExchangeHost(loop, i, schedule.deployment(), softswitches, random.split(), log,
                        judge));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        softswitches.forEach(SoftswitchHost::start);
        softswitches.forEach(s -> s.callers().connect());
        return null;
    }

    private void awaitReady() throws InterruptedException {
        long until = loop.now() + START_TIMEOUT_MICROS;
        while (!onLoop(() -> softswitches.stream().allMatch(s -> s.callers().ready()))) {
            if (loop.now() > until) {
                throw new SoakException("a softswitch was not ready within 15 s; see its log in " + folder);
            }
            sleep(10_000);
        }
    }

    /** Waits until all calls have ended, then shuts the processes down. */
    private void finish() throws IOException, InterruptedException {
        onLoop(() -> {
            softswitches.forEach(s -> s.callers().stopOffering());
            return null;
        });
        sleep(schedule.deployment().maxDeadlineMicros());
        long until = loop.now() + SETTLE_TIMEOUT_MICROS;
        while (loop.now() < until && onLoop(judge::pendingCount) > 0) {
            sleep(POLL_INTERVAL_MICROS);
        }
        onLoop(() -> {
            judge.close();
            softswitches.forEach(SoftswitchHost::shutDown);
            return null;
        });
        for (SoftswitchHost softswitch : softswitches) {
            if (!softswitch.awaitEnd()) {
                onLoop(() -> {
                    softswitch.handleMissedShutdownDeadline();
                    return null;
                });
            }
        }
        onLoop(() -> {
            softswitches.forEach(SoftswitchHost::checkLimits);
            return null;
        });
        for (SoftswitchHost softswitch : softswitches) {
            softswitch.checkCounters();
        }
    }

    private Result result() {
        Judge.Counts counts = judge.counts();
        return new Result(schedule, folder, judge.breaches(), List.copyOf(judge.testbedFaults()), counts.offered,
                counts.established, counts.refused, counts.failed, counts.ended, counts.attempts, counts.notChecked,
                softswitches.stream().mapToInt(SoftswitchHost::peakMemoryMb).max().orElse(0),
                softswitches.stream().mapToInt(SoftswitchHost::peakDescriptors).max().orElse(0),
                new EnumMap<>(judge.excused()));
    }

    private <T> T onLoop(Supplier<T> task) {
        try {
            return CompletableFuture.supplyAsync(task, loop::execute).join();
        } catch (CompletionException e) {
            throw new SoakException("a step of the trial failed: " + e.getCause());
        }
    }

    private static void sleep(long micros) throws InterruptedException {
        long until = System.nanoTime() + micros * 1_000;
        for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
            LockSupport.parkNanos(left);
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
        }
    }
}
