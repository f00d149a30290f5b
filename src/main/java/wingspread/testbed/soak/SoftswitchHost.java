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
import wingspread.testbed.NameServer.ListedExchange;
import wingspread.testbed.Ports;
import wingspread.testbed.SoftswitchProcess;
import wingspread.testbed.SoftswitchProcess.Launch;

/**
 * One softswitch of a trial: its process, the directory that it queries and its callers. The process is started,
 * terminated and killed in the same way as by the platform. Confined to the loop, except for methods documented
 * otherwise.
 */
final class SoftswitchHost {
    /** Upper limit of the deadline after which the platform sends SIGKILL. */
    private static final long MAX_KILL_DEADLINE_MICROS = 3_000_000;
    /** Margin that the platform adds to this deadline. */
    private static final long KILL_MARGIN_MICROS = 700_000;
    /** Platform rule: 'What the directory has to tell counts as told no later than 7 s afterwards'. */
    private static final long MAX_NOTIFICATION_DELAY_MICROS = 7_000_000;
    /** Platform rule: after SIGHUP the softswitch counts as notified of the directory's list within 4 s. */
    private static final long RELOAD_NOTIFICATION_DELAY_MICROS = 4_000_000;
    private static final long RESTART_DELAY_MICROS = 300_000;
    private static final long SIGNAL_INTERVAL_MICROS = 100_000;
    private static final long WATCH_INTERVAL_MICROS = 100_000;
    private static final long READY_TIMEOUT_MICROS = 10_000_000;
    private static final int CALLER_CONNECTIONS = 4;
    /** Counters of all ways in which an accepted call is answered, or no longer needs an answer. */
    private static final List<String> ANSWER_COUNTERS = List.of("answered.stood", "answered.refused",
            "answered.failed", "answered.overfull", "answered.draining", "answered.storm", "taken.repeats",
            "taken.given-up");
    /** Makes the softswitch log each change of a call's state. */
    private static final List<String> JVM_ARGUMENTS = List.of("-Dorg.slf4j.simpleLogger.log.call=debug");
    /** Exit code after SIGKILL. */
    private static final int EXIT_CODE_SIGKILL = 137;
    /** Exit code after SIGTERM before the program has installed its signal handlers, thus before it accepts calls. */
    private static final int EXIT_CODE_SIGTERM = 143;
    /** Memory of the JVM in addition to its heap: code, classes, stacks, garbage collector, and direct buffers. */
    private static final int NON_HEAP_MEMORY_MB = 110;

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
    private boolean terminating;
    private boolean reportedUnready;
    /** Whether the trial has ended, so that no process is started again. */
    private boolean trialEnded;
    private int peakDescriptors;
    private int peakMemoryMb;

    SoftswitchHost(Loop loop, int number, Schedule.Deployment deployment, Path folder, List<Path> build,
            SplittableRandom random, TrialLog log, Judge judge) throws IOException {
        this.loop = loop;
        this.number = number;
        this.deployment = deployment;
        this.random = random;
        this.log = log;
        this.judge = judge;
        this.port = Ports.findFreePort();
        this.process = new SoftswitchProcess(folder.resolve("n" + number), null,
                new Launch(deployment.heapMb(), deployment.sockets(), build, JVM_ARGUMENTS));
        this.directory = new DirectoryStandIn(loop, number, log, judge);
        this.callers =
                new CallerStandIn(loop, number, port, CALLER_CONNECTIONS, deployment, random.split(), log, judge);
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

    /** Starts the process with the current list of exchanges. */
    void start() {
        judge.processStarted(number, directory.list().stream().map(ListedExchange::uid).toList());
        startedAt = loop.now();
        terminating = false;
        reportedUnready = false;
        runBlocking(() -> {
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

    /** A task that takes too long to run on the loop of the stand-ins. */
    private interface BlockingTask {
        void run() throws IOException;
    }

    /** Runs a task on another thread, and then, if it succeeds, a continuation on the loop. */
    private void runBlocking(BlockingTask task, Runnable continuation) {
        CompletableFuture.runAsync(() -> {
            try {
                task.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }).whenCompleteAsync((result, failure) -> {
            if (failure == null) {
                continuation.run();
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

    /**
     * Sends SIGTERM while the callers continue, then SIGKILL at the earliest time that the platform allows, and starts
     * the process again.
     */
    void restart() {
        Process terminatedProcess = process.process();
        if (!terminate()) {
            return;
        }
        loop.at(loop.now() + maxTerminationMicros(), () -> {
            if (terminatedProcess.isAlive()) {
                log.add(party(), "SIGKILL after a graceful shutdown that took too long");
                callers.sigkillSent();
                terminatedProcess.destroyForcibly();
            }
            scheduleRestart();
        });
    }

    /** Restarts the process as {@link #restart}, with further signals shortly before and after the SIGTERM. */
    void restartAmidSignals() {
        reload();
        loop.at(loop.now() + SIGNAL_INTERVAL_MICROS, () -> {
            Process signalled = process.process();
            restart();
            loop.at(loop.now() + SIGNAL_INTERVAL_MICROS, () -> sendSignal(signalled, "HUP"));
            loop.at(loop.now() + 2 * SIGNAL_INTERVAL_MICROS, () -> sendSignal(signalled, "TERM"));
        });
    }

    private void sendSignal(Process signalled, String signal) {
        if (signalled.isAlive()) {
            runBlocking(() -> kill(signalled, signal), () -> log.add(party(), "SIG" + signal + " again"));
        }
    }

    private static void kill(Process signalled, String signal) throws IOException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(signalled.pid())).start();
    }

    /** Returns the time from SIGTERM to SIGKILL. */
    long maxTerminationMicros() {
        return Math.min(deployment.maxDeadlineMicros(), MAX_KILL_DEADLINE_MICROS) + KILL_MARGIN_MICROS;
    }

    /** Sends SIGTERM only; returns false if the process is already terminating or not running. */
    boolean terminate() {
        if (terminating || !process.isRunning()) {
            return false;
        }
        terminating = true;
        log.add(party(), "SIGTERM");
        callers.sigtermSent();
        process.terminate();
        return true;
    }

    /** Sends SIGKILL without a preceding SIGTERM, and starts the process again. */
    void kill() {
        if (terminating || !process.isRunning()) {
            return;
        }
        terminating = true;
        log.add(party(), "SIGKILL");
        callers.sigkillSent();
        judge.processKilled(number);
        process.kill();
        scheduleRestart();
    }

    private void scheduleRestart() {
        loop.at(loop.now() + RESTART_DELAY_MICROS, () -> {
            if (!trialEnded) {
                callers.restarted();
                start();
            }
        });
    }

    /** Moves the directory to another port, updates the configuration and sends SIGHUP. */
    void reload() {
        if (terminating || !process.isRunning() || !callers.ready()) {
            return;
        }
        try {
            directory.move();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        int publishedSerial = directory.serial();
        runBlocking(() -> {
            configure();
            kill(process.process(), "HUP");
        }, () -> {
            log.add(party(), "SIGHUP, the directory moves to port " + directory.port());
            loop.at(loop.now() + RELOAD_NOTIFICATION_DELAY_MICROS, () -> judge.listDelivered(number, publishedSerial));
        });
    }

    /**
     * Reports a change of the directory's list to the judge. The softswitch counts as notified as soon as the list has
     * been sent to it, and at the latest after a fixed delay.
     *
     * @param isRemovedOrDraining whether no new call may be sent to the exchange from now on
     */
    void listChanged(String uid, boolean isRemovedOrDraining) {
        int serial = directory.serial();
        judge.listChanged(number, serial, uid, isRemovedOrDraining);
        loop.at(loop.now() + MAX_NOTIFICATION_DELAY_MICROS, () -> judge.listDelivered(number, serial));
    }

    // Supervision of the process, as by the platform.

    /** Returns the last line that the process has logged, to be appended to a message on its end. */
    private String lastLogLine() {
        try {
            List<String> lines = process.logLines();
            return lines.isEmpty() ? ", nothing logged" : ", last logged: " + lines.get(lines.size() - 1);
        } catch (IOException e) {
            return ", its log cannot be read: " + e.getMessage();
        }
    }

    private void watch(Process watchedProcess) {
        loop.at(loop.now() + WATCH_INTERVAL_MICROS, () -> {
            if (watchedProcess != process.process()) {
                return;
            }
            if (!watchedProcess.isAlive()) {
                if (!terminating) {
                    judge.processRuleBroken(number, "crashed with exit code " + watchedProcess.exitValue()
                            + lastLogLine());
                    terminating = true;
                    callers.sigkillSent();
                    scheduleRestart();
                } else if (!List.of(0, EXIT_CODE_SIGKILL, EXIT_CODE_SIGTERM).contains(watchedProcess.exitValue())) {
                    judge.processRuleBroken(number, "ended with exit code " + watchedProcess.exitValue()
                            + lastLogLine());
                }
                return;
            }
            recordResourceUsage(watchedProcess.pid());
            if (!terminating && !reportedUnready && !callers.ready()
                    && loop.now() > startedAt + READY_TIMEOUT_MICROS) {
                reportedUnready = true;
                judge.processRuleBroken(number, "not ready 10 s after its start");
            }
            watch(watchedProcess);
        });
    }

    private void recordResourceUsage(long pid) {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
            peakDescriptors = Math.max(peakDescriptors, (int) descriptors.count());
        } catch (IOException e) {
            // The process has just ended; the next check detects that.
            return;
        }
        residentMb(pid).ifPresent(mb -> peakMemoryMb = Math.max(peakMemoryMb, mb));
    }

    private static Optional<Integer> residentMb(long pid) {
        try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(pid), "status"))) {
            return lines.filter(line -> line.startsWith("VmRSS:"))
                    .map(line -> Integer.parseInt(line.replaceAll("[^0-9]", "")) / 1_024).findFirst();
        } catch (IOException | UncheckedIOException e) {
            return Optional.empty();
        }
    }

    /** Compares the measured use of file descriptors and memory with the limits. */
    void checkLimits() {
        if (peakDescriptors > deployment.sockets()) {
            judge.processRuleBroken(number, "used " + peakDescriptors + " file descriptors, the limit is "
                    + deployment.sockets());
        }
        if (peakMemoryMb > deployment.heapMb() + NON_HEAP_MEMORY_MB) {
            judge.processRuleBroken(number, "used " + peakMemoryMb + " MB of memory, heap size in MB: "
                    + deployment.heapMb());
        }
    }

    /**
     * Checks that the number of accepted calls equals the number of answered calls in each line of counters that the
     * processes logged.
     */
    void checkCounters() throws IOException {
        for (String line : process.logLines()) {
            Map<String, Long> counters = counters(line);
            long taken = counters.getOrDefault("taken.calls", 0L);
            long answered = ANSWER_COUNTERS.stream().mapToLong(name -> counters.getOrDefault(name, 0L)).sum();
            if (taken != answered) {
                judge.processRuleBroken(number, "accepted " + taken + " calls and answered " + answered + ": " + line);
            }
        }
    }

    private static Map<String, Long> counters(String line) {
        Map<String, Long> values = new HashMap<>();
        int prefixIndex = line.indexOf(" counters ");
        if (prefixIndex >= 0) {
            for (String counter : line.substring(prefixIndex).strip().split(" ")) {
                int separator = counter.indexOf('=');
                if (separator > 0) {
                    values.put(counter.substring(0, separator), Long.parseLong(counter.substring(separator + 1)));
                }
            }
        }
        return values;
    }

    int peakMemoryMb() {
        return peakMemoryMb;
    }

    int peakDescriptors() {
        return peakDescriptors;
    }

    /** Sends SIGTERM at the end of a trial; the process is not started again. */
    void shutDown() {
        trialEnded = true;
        terminate();
    }

    /**
     * Waits after SIGTERM until the process has ended, or until the platform would send SIGKILL. Must not be called on
     * the loop.
     *
     * @return whether the process has ended
     */
    boolean awaitEnd() throws InterruptedException {
        return process.process().waitFor(maxTerminationMicros(), TimeUnit.MICROSECONDS);
    }

    /** Reports that the process had not ended at the time of SIGKILL, and kills it. */
    void handleMissedShutdownDeadline() {
        judge.processRuleBroken(number, "had not ended at the time of SIGKILL");
        process.kill();
    }

    /** Kills the process if it is still running; may be called from any thread. */
    void destroy() {
        if (process.isRunning()) {
            process.kill();
        }
    }

    /** Closes the stand-ins of this softswitch. */
    void close() {
        callers.close();
        directory.close();
    }

    Path logFile() {
        return process.logFile();
    }
}
