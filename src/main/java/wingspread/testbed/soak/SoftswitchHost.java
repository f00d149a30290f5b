package wingspread.testbed.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import wingspread.control.CallControl.CallClass;
import wingspread.control.CallControl.Effect;
import wingspread.control.CallControl.Layout;
import wingspread.control.CallControl.Obligations;
import wingspread.control.CallControl.RepeatGroup;
import wingspread.control.CallControl.Reports;
import wingspread.control.CallControl.Settings;
import wingspread.net.Loop;
import wingspread.testbed.NameServer.Named;
import wingspread.testbed.Ports;
import wingspread.testbed.SoftswitchProcess;
import wingspread.testbed.SoftswitchProcess.Launch;

/**
 * One softswitch of a trial: its process, the directory that it asks and its callers. Started, ended and killed as the
 * platform does it. Confined to the loop, but for what is said to wait.
 */
final class SoftswitchHost {
    /** The platform's longest deadline for SIGKILL, and what it adds. */
    private static final long LONGEST_DEADLINE = 3_000_000;
    private static final long KILL_AFTER_DEADLINE = 700_000;
    /** 'What the directory has to tell counts as told no later than 7 s afterwards', and 4 s after SIGHUP. */
    private static final long TOLD_AT_LATEST = 7_000_000;
    private static final long TOLD_AFTER_RELOAD = 4_000_000;
    private static final long DOWN_TIME = 300_000;
    private static final long WATCH_EVERY = 100_000;
    private static final long READY_WITHIN = 10_000_000;
    private static final int CONNECTIONS = 4;
    /** The counters of all ways in which a call that was taken is answered, or needs no answer any longer. */
    private static final List<String> ANSWERS = List.of("answered.stood", "answered.refused", "answered.failed",
            "answered.overfull", "answered.draining", "answered.storm", "taken.repeats", "taken.given-up");
    /** Each change of a call's state is in the log. */
    private static final List<String> JVM_ARGUMENTS = List.of("-Dorg.slf4j.simpleLogger.log.call=debug");
    /** By SIGKILL, and by SIGTERM before the program hears signals: it has taken nothing by then. */
    private static final int EXIT_KILLED = 137;
    private static final int EXIT_TERMINATED = 143;
    /** The JVM's own memory beside its heap: code, classes, stacks, collector, and direct buffers. */
    private static final int MB_BESIDE_HEAP = 110;

    private final Loop loop;
    private final int number;
    private final Schedule.Deployment deployment;
    private final TrialLog log;
    private final Judge judge;
    private final SoftswitchProcess process;
    private final DirectoryStandIn directory;
    private final CallerStandIn callers;
    private final int port;
    private final SplittableRandom random;
    private long startedAt;
    private boolean ending;
    private boolean reportedUnready;
    /** The trial is over: nothing is started again. */
    private boolean over;
    private int mostDescriptors;
    private int mostMemoryMb;

    SoftswitchHost(Loop loop, int number, Schedule.Deployment deployment, Path folder, List<Path> build,
            SplittableRandom random, TrialLog log, Judge judge) throws IOException {
        this.loop = loop;
        this.number = number;
        this.deployment = deployment;
        this.random = random;
        this.log = log;
        this.judge = judge;
        this.port = Ports.free();
        this.process = new SoftswitchProcess(folder.resolve("n" + number), null,
                new Launch(deployment.heapMb(), deployment.sockets(), build, JVM_ARGUMENTS));
        this.directory = new DirectoryStandIn(loop, number, log, judge);
        this.callers = new CallerStandIn(loop, number, port, CONNECTIONS, deployment, random.split(), log, judge);
    }

    DirectoryStandIn directory() {
        return directory;
    }

    CallerStandIn callers() {
        return callers;
    }

    int port() {
        return port;
    }

    String party() {
        return "n" + number;
    }

    // Start and end.

    /** Starts the process with the list as it is now. */
    void start() {
        judge.started(number, directory.list().stream().map(Named::uid).toList());
        startedAt = loop.now();
        ending = false;
        reportedUnready = false;
        offLoop(() -> {
            configure();
            process.start();
        }, () -> {
            log.add(party(), "process " + process.process().pid() + " is started");
            watch(process.process());
        });
    }

    private void configure() throws IOException {
        process.configure(settings(), random.nextLong() & Long.MAX_VALUE, port, directory.port(), directory.list(),
                directory.serial());
    }

    /** Something that takes longer than the stand-ins may wait. */
    private interface Slow {
        void run() throws IOException;
    }

    /** Does it on another thread, and then something on the loop. */
    private void offLoop(Slow slow, Runnable then) {
        CompletableFuture.runAsync(() -> {
            try {
                slow.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }).whenCompleteAsync((done, failure) -> {
            if (failure == null) {
                then.run();
            } else {
                judge.testbedFailed(party() + ": " + failure);
            }
        }, loop::execute);
    }

    private Settings settings() {
        List<Integer> deadlines = deployment.deadlinesMs();
        List<CallClass> classes = IntStream.range(0, deadlines.size()).mapToObj(i -> new CallClass(
                "c" + i, deadlines.get(i) * 500L, deadlines.get(i) * 1_000L, 1, 0.2, 1,
                deployment.holdingMs() * 1_000L, Effect.SAFE, RepeatGroup.ALL, 0, List.of())).toList();
        return new Settings(Layout.NETWORK, number, number % deployment.zones(), number, deployment.softswitches(),
                classes, false, Reports.PIGGYBACK, false, false, true, false, false, true, 2_000_000, 6, 200_000, 0,
                new Obligations(20_000, 500_000, 0, 0.3, 14_000_000, 2, 1_000_000));
    }

    /** SIGTERM; callers go on, and SIGKILL follows at the earliest time that the platform allows. */
    void restart() {
        Process ended = process.process();
        if (!terminate()) {
            return;
        }
        loop.at(loop.now() + longestEnd(), () -> {
            if (ended.isAlive()) {
                log.add(party(), "SIGKILL after a planned end that took too long");
                callers.sigkillSent();
                ended.destroyForcibly();
            }
            startAgainSoon();
        });
    }

    /** From SIGTERM to SIGKILL. */
    long longestEnd() {
        return Math.min(deployment.longestDeadline(), LONGEST_DEADLINE) + KILL_AFTER_DEADLINE;
    }

    /** SIGTERM alone; false where the process is ending already, or down. */
    boolean terminate() {
        if (ending || !process.alive()) {
            return false;
        }
        ending = true;
        log.add(party(), "SIGTERM");
        callers.sigtermSent();
        process.end();
        return true;
    }

    /** SIGKILL without a word, and a new start. */
    void kill() {
        if (ending || !process.alive()) {
            return;
        }
        ending = true;
        log.add(party(), "SIGKILL");
        callers.sigkillSent();
        judge.killed(number);
        process.kill();
        startAgainSoon();
    }

    private void startAgainSoon() {
        loop.at(loop.now() + DOWN_TIME, () -> {
            if (!over) {
                callers.restarted();
                start();
            }
        });
    }

    /** The directory moves, the configuration says so, and SIGHUP is sent. */
    void reload() {
        if (ending || !process.alive() || !callers.ready()) {
            return;
        }
        try {
            directory.move();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        int told = directory.serial();
        offLoop(() -> {
            configure();
            new ProcessBuilder("kill", "-HUP", Long.toString(process.process().pid())).start();
        }, () -> {
            log.add(party(), "SIGHUP, the directory moves to port " + directory.port());
            loop.at(loop.now() + TOLD_AFTER_RELOAD, () -> judge.listTold(number, told));
        });
    }

    /** The list of its directory has changed; it counts as told when it was, or some seconds later. */
    void listChanged(String uid, boolean away) {
        int serial = directory.serial();
        judge.listChanged(number, serial, uid, away);
        loop.at(loop.now() + TOLD_AT_LATEST, () -> judge.listTold(number, serial));
    }

    // The process as the platform sees it.

    private void watch(Process watched) {
        loop.at(loop.now() + WATCH_EVERY, () -> {
            if (watched != process.process()) {
                return;
            }
            if (!watched.isAlive()) {
                if (!ending) {
                    judge.processBroken(number, "crashed with exit code " + watched.exitValue());
                    ending = true;
                    callers.sigkillSent();
                    startAgainSoon();
                } else if (!List.of(0, EXIT_KILLED, EXIT_TERMINATED).contains(watched.exitValue())) {
                    judge.processBroken(number, "ended with exit code " + watched.exitValue());
                }
                return;
            }
            measure(watched.pid());
            if (!ending && !reportedUnready && !callers.ready() && loop.now() > startedAt + READY_WITHIN) {
                reportedUnready = true;
                judge.processBroken(number, "not ready 10 s after its start");
            }
            watch(watched);
        });
    }

    private void measure(long pid) {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
            mostDescriptors = Math.max(mostDescriptors, (int) descriptors.count());
        } catch (IOException e) {
            // It has just ended; the next look finds that out.
            return;
        }
        residentMb(pid).ifPresent(mb -> mostMemoryMb = Math.max(mostMemoryMb, mb));
    }

    private static Optional<Integer> residentMb(long pid) {
        try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(pid), "status"))) {
            return lines.filter(line -> line.startsWith("VmRSS:"))
                    .map(line -> Integer.parseInt(line.replaceAll("[^0-9]", "")) / 1_024).findFirst();
        } catch (IOException | UncheckedIOException e) {
            return Optional.empty();
        }
    }

    /** Compares what was measured with the limits. */
    void checkLimits() {
        if (mostDescriptors > deployment.sockets()) {
            judge.processBroken(number, "held " + mostDescriptors + " descriptors of " + deployment.sockets());
        }
        if (mostMemoryMb > deployment.heapMb() + MB_BESIDE_HEAP) {
            judge.processBroken(number, "held " + mostMemoryMb + " MB with a heap of " + deployment.heapMb());
        }
    }

    /** Compares in each line of counters that its processes left what was taken with what was answered. */
    void checkCounters() throws IOException {
        for (String line : process.lines()) {
            Map<String, Long> counters = counters(line);
            long taken = counters.getOrDefault("taken.calls", 0L);
            long answered = ANSWERS.stream().mapToLong(name -> counters.getOrDefault(name, 0L)).sum();
            if (taken != answered) {
                judge.processBroken(number, "took " + taken + " calls and answered " + answered + ": " + line);
            }
        }
    }

    private static Map<String, Long> counters(String line) {
        Map<String, Long> out = new HashMap<>();
        int at = line.indexOf(" counters ");
        if (at >= 0) {
            for (String counter : line.substring(at).strip().split(" ")) {
                int eq = counter.indexOf('=');
                if (eq > 0) {
                    out.put(counter.substring(0, eq), Long.parseLong(counter.substring(eq + 1)));
                }
            }
        }
        return out;
    }

    int mostMemoryMb() {
        return mostMemoryMb;
    }

    int mostDescriptors() {
        return mostDescriptors;
    }

    /** SIGTERM for good, at the end of a trial. */
    void shutDown() {
        over = true;
        terminate();
    }

    /** Waits for the end after SIGTERM, until SIGKILL may come; not on the loop. Whether it has ended by then. */
    boolean awaitEnd() throws InterruptedException {
        return process.process().waitFor(longestEnd(), TimeUnit.MICROSECONDS);
    }

    /** It had not ended when SIGKILL came. */
    void endedTooLate() {
        judge.processBroken(number, "had not ended when SIGKILL came");
        process.kill();
    }

    /** Kills what may be left; from any thread. */
    void destroy() {
        if (process.alive()) {
            process.kill();
        }
    }

    /** Ends its stand-ins. */
    void close() {
        callers.close();
        directory.close();
    }

    Path logFile() {
        return process.log();
    }
}
