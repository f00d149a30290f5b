package wingspread.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import wingspread.lab.host.HostException;
import wingspread.lab.host.SoftswitchEvent;
import wingspread.lab.host.Softswitches;
import wingspread.lab.world.Model;
import wingspread.net.Loop;
import wingspread.net.UnixClock;

/**
 * Runs the softswitches of a model as real processes on the loopback interface, reached over the platform's protocols.
 * Exchanges, circuits, callers, faults and rules are still simulated by the model, but in wall-clock time.
 */
public final class SocketSoftswitches implements Softswitches {
    /** Interval at which the model collects what the softswitches have sent. */
    private static final long POLL_INTERVAL_MICROS = 1_000;
    private static final long START_TIMEOUT_SECONDS = 20;
    private static final long RESTART_DELAY_MICROS = 500_000;

    /**
     * A fault to inject into one softswitch.
     *
     * @param place number of the softswitch in the fleet
     * @param atMicros time of the fault in microseconds since the start
     */
    public record Fault(FaultKind kind, int place, long atMicros) { }

    /** Kinds of faults. */
    public enum FaultKind {
        /** Terminates the process with SIGKILL and starts it again half a second later. */
        KILL,
        /** Resets all connections between the softswitch and the exchanges. */
        RESET,
        /** Makes the callers of the softswitch stop reading for two seconds. */
        STALL
    }

    private final WallClockPacing clock = new WallClockPacing();
    private final Loop loop = new Loop(new UnixClock());
    private final Path folder;
    private final String storm;
    private final int connections;
    private final List<Fault> faults;
    private final List<SoftswitchEnvironment> environments = new CopyOnWriteArrayList<>();
    private final List<Fault> pendingRestarts = new ArrayList<>();
    /** Kills the softswitches if this program is terminated early; otherwise they would continue to run. */
    private final Thread shutdownHook = new Thread(this::killAll, "testbed shutdown");
    /** Start of the run in microseconds of the model's time. */
    private long startedAt;

    /**
     * Creates softswitches that are started in the first turn.
     *
     * @param folder directory for the configurations and logs, with one subdirectory for each softswitch
     * @param storm text of their {@code deploy/storm.toml}; null for no such file
     * @param connections number of connections that the callers of each softswitch share
     */
    public SocketSoftswitches(Path folder, String storm, int connections, List<Fault> faults) {
        this.folder = folder;
        this.storm = storm;
        this.connections = connections;
        this.faults = new ArrayList<>(faults);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Returns the pacing with which the model has to be run. */
    public Model.Pacing pacing() {
        return clock;
    }

    @Override
    public void begin(long now, List<Start> starts) {
        startedAt = now;
        try {
            for (Start start : starts) {
                int place = environments.size();
                SoftswitchEnvironment environment = new SoftswitchEnvironment(place, loop, clock,
                        new SoftswitchProcess(folder.resolve("place-" + place), storm,
                                SoftswitchProcess.Launch.DEFAULT), connections);
                environment.setStart(start);
                environments.add(environment);
            }
        } catch (IOException e) {
            throw new HostException("failed to prepare a softswitch: " + e.getMessage());
        }
    }

    @Override
    public List<Output> turn(long now, List<Input> inputs) {
        startNew(inputs);
        injectDueFaults(now);
        List<Output> out = new ArrayList<>(inputs.size());
        loop.execute(unchecked(() -> {
            for (Input input : inputs) {
                for (SoftswitchEvent happening : input.happenings()) {
                    environments.get(input.place()).deliver(happening);
                }
            }
        }));
        for (Input input : inputs) {
            out.add(new Output(input.place(), environments.get(input.place()).drainEffects(),
                    now + POLL_INTERVAL_MICROS));
        }
        return out;
    }

    private void killAll() {
        environments.stream().filter(environment -> environment.process().isRunning())
                .forEach(environment -> environment.process().kill());
    }

    private void startNew(List<Input> inputs) {
        List<SoftswitchEnvironment> started = new ArrayList<>();
        for (Input input : inputs) {
            SoftswitchEnvironment environment = environments.get(input.place());
            if (!environment.isStarted()) {
                runOnLoop(() -> environment.start(input.happenings()));
                started.add(environment);
            }
        }
        for (SoftswitchEnvironment environment : started) {
            awaitListening(environment);
            runOnLoop(environment::connect);
        }
    }

    private static void awaitListening(SoftswitchEnvironment environment) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
        while (true) {
            try {
                new Socket(InetAddress.getLoopbackAddress(), environment.port()).close();
                return;
            } catch (IOException e) {
                if (!environment.process().isRunning() || System.nanoTime() > deadline) {
                    throw new HostException("a softswitch failed to start; see " + environment.process().logFile());
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
            }
        }
    }

    private void injectDueFaults(long now) {
        for (Fault fault : List.copyOf(faults)) {
            if (now >= startedAt + fault.atMicros()) {
                faults.remove(fault);
                inject(fault, now);
            }
        }
        for (Fault restart : List.copyOf(pendingRestarts)) {
            if (now >= restart.atMicros()) {
                pendingRestarts.remove(restart);
                SoftswitchEnvironment environment = environments.get(restart.place());
                loop.execute(unchecked(environment::restart));
            }
        }
    }

    private void inject(Fault fault, long now) {
        SoftswitchEnvironment environment = environments.get(fault.place());
        switch (fault.kind()) {
            case KILL -> {
                environment.process().kill();
                pendingRestarts.add(new Fault(FaultKind.KILL, fault.place(), now + RESTART_DELAY_MICROS));
            }
            case RESET -> loop.execute(environment::resetExchangeConnections);
            default -> loop.execute(() -> environment.callers().pauseReading());
        }
    }

    /** A task that may fail with an I/O error. */
    private interface Task {
        void run() throws IOException;
    }

    private static Runnable unchecked(Task task) {
        return () -> {
            try {
                task.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
    }

    /** Runs a task on the event loop and waits until it has completed. */
    private void runOnLoop(Task task) {
        CompletableFuture<Void> done = CompletableFuture.runAsync(unchecked(task), loop::execute);
        try {
            done.join();
        } catch (CompletionException e) {
            throw new HostException("failed to start a softswitch: " + e.getCause().getMessage());
        }
    }

    /** Returns how many connections of callers have been opened again after they ended, over all softswitches. */
    public long reconnects() {
        return environments.stream().filter(SoftswitchEnvironment::isStarted)
                .mapToLong(environment -> environment.callers().reconnects()).sum();
    }

    /** Returns the final counters, one log line for each process that shut down gracefully. */
    public List<String> counters() {
        List<String> out = new ArrayList<>();
        try {
            for (SoftswitchEnvironment environment : environments) {
                environment.process().logLines().stream().filter(line -> line.contains("counters "))
                        .forEach(out::add);
            }
        } catch (IOException e) {
            throw new HostException("failed to read the log of a softswitch: " + e.getMessage());
        }
        return out;
    }

    @Override
    public void close() {
        environments.forEach(environment -> environment.process().terminate());
        try {
            for (SoftswitchEnvironment environment : environments) {
                environment.process().awaitTermination();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            killAll();
            throw new CancellationException("interrupted");
        } finally {
            loop.execute(() -> environments.forEach(SoftswitchEnvironment::close));
            loop.stop();
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        }
    }
}
