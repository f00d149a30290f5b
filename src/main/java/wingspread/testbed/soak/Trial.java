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
 * One trial: starts the softswitch processes of a schedule among stand-ins on the loopback, lets callers call, strikes
 * with the schedule's faults, ends everything, and says which rules were broken. It leaves a folder with the schedule,
 * each process's log and the stand-ins' records.
 */
public final class Trial {
    static final String SCHEDULE_FILE = "schedule.json";
    static final String RECORD_FILE = "record.tsv";
    private static final long LONGEST_START = 15_000_000;
    /** After the last call is offered: the time in which all must be told that calls are over, and some more. */
    private static final long TAIL = 9_000_000;
    private static final long LOOK_EVERY = 50_000;
    private static final long TICK = 5_000;
    private static final long LATE = 20_000;

    private final Schedule schedule;
    private final Path folder;
    private final List<Path> build;
    private final Loop loop = new Loop(new UnixClock());
    private final TrialLog log = new TrialLog(loop::now);
    private final Judge judge = new Judge(loop, log);
    private final List<SoftswitchHost> softswitches = new ArrayList<>();
    private final List<ExchangeHost> exchanges = new ArrayList<>();
    private volatile boolean over;
    /** Guards the machine: where this program is ended from outside, the softswitches do not outlive it. */
    private final Thread atExit = new Thread(() -> softswitches.forEach(SoftswitchHost::destroy), "trial end");

    /**
     * What a trial came to.
     *
     * @param testbedFaults what failed in the testbed itself; where there is any, the trial shows nothing
     */
    public record Result(Schedule schedule, Path folder, List<Breach> breaches, List<String> testbedFaults,
            long offered, long stood, long refused, long failed, long ended, long attempts, long unjudged,
            int mostMemoryMb, int mostDescriptors, Map<Excuse, Integer> excused) {
        /** Whether a rule was broken. */
        public boolean broken() {
            return !breaches.isEmpty();
        }
    }

    /**
     * A trial that has not begun.
     *
     * @param folder where its files go; it is made
     * @param build the jars and folders of classes of the softswitches' program; empty for this program
     */
    public Trial(Schedule schedule, Path folder, List<Path> build) {
        this.schedule = schedule;
        this.folder = folder.toAbsolutePath();
        this.build = build;
    }

    /** Plays it; takes as long as the schedule says and some 10 s more. */
    public Result play() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        schedule.write(folder.resolve(SCHEDULE_FILE));
        Runtime.getRuntime().addShutdownHook(atExit);
        try {
            onLoop(this::prepare);
            awaitReady();
            onLoop(() -> {
                softswitches.forEach(s -> s.callers().begin());
                new FaultInjector(loop, log, softswitches, exchanges, new SplittableRandom(schedule.seed() + 2))
                        .plan(schedule.faults());
                return null;
            });
            sleep(schedule.seconds() * 1_000_000L);
            finish();
        } finally {
            softswitches.forEach(SoftswitchHost::destroy);
            over = true;
            onLoop(() -> {
                softswitches.forEach(SoftswitchHost::close);
                exchanges.forEach(ExchangeHost::close);
                return null;
            });
            List<TrialLog.Entry> record = onLoop(log::entries);
            loop.stop();
            Runtime.getRuntime().removeShutdownHook(atExit);
            TrialLog.write(record, folder.resolve(RECORD_FILE));
        }
        return result();
    }

    /** Notes when the stand-ins' loop runs late. */
    private void watchLoop() {
        long due = loop.now() + TICK;
        loop.at(due, () -> {
            if (loop.now() > due + LATE) {
                judge.loopWasLate();
            }
            if (!over) {
                watchLoop();
            }
        });
    }

    private Void prepare() {
        watchLoop();
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
        long until = loop.now() + LONGEST_START;
        while (!onLoop(() -> softswitches.stream().allMatch(s -> s.callers().ready()))) {
            if (loop.now() > until) {
                throw new SoakException("a softswitch is not ready after 15 s; see " + folder);
            }
            sleep(10_000);
        }
    }

    /** Lets all calls end, and then the processes. */
    private void finish() throws IOException, InterruptedException {
        onLoop(() -> {
            softswitches.forEach(s -> s.callers().end());
            return null;
        });
        sleep(schedule.deployment().longestDeadline());
        long until = loop.now() + TAIL;
        while (loop.now() < until && onLoop(judge::owed) > 0) {
            sleep(LOOK_EVERY);
        }
        onLoop(() -> {
            judge.close();
            softswitches.forEach(SoftswitchHost::shutDown);
            return null;
        });
        for (SoftswitchHost softswitch : softswitches) {
            if (!softswitch.awaitEnd()) {
                onLoop(() -> {
                    softswitch.endedTooLate();
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
                counts.stood, counts.refused, counts.failed, counts.ended, counts.attempts, counts.unjudged,
                softswitches.stream().mapToInt(SoftswitchHost::mostMemoryMb).max().orElse(0),
                softswitches.stream().mapToInt(SoftswitchHost::mostDescriptors).max().orElse(0),
                new EnumMap<>(judge.excused()));
    }

    private <T> T onLoop(Supplier<T> task) {
        try {
            return CompletableFuture.supplyAsync(task, loop::execute).join();
        } catch (CompletionException e) {
            throw new SoakException("the trial cannot be prepared: " + e.getCause());
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
