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
import wingspread.lab.host.Happening;
import wingspread.lab.host.HostException;
import wingspread.lab.host.Softswitches;
import wingspread.lab.world.Model;
import wingspread.net.Loop;
import wingspread.net.UnixClock;

/**
 * The softswitches of a model as real processes on the loopback, reached over the platform's wires. The model stays
 * what it is: exchanges, circuits, callers, troubles and rules are the laboratory's, but time is the wall's.
 */
public final class SocketSoftswitches implements Softswitches {
    /** The model asks so often, in microseconds, what the softswitches have sent. */
    private static final long POLL = 1_000;
    private static final long LONGEST_START = 20;
    private static final long RESTART_AFTER = 500_000;

    /** Something that befalls the softswitch of a place so many microseconds after the start. */
    public record Fault(Kind kind, int place, long at) { }

    /** What it is. */
    public enum Kind {
        /** Its process is killed, and started again half a second later. */
        KILL,
        /** All exchanges' connections to it are reset. */
        RESET,
        /** Its callers read nothing for two seconds. */
        STALL
    }

    private final Clock clock = new Clock();
    private final Loop loop = new Loop(new UnixClock());
    private final Path folder;
    private final String storm;
    private final int connections;
    private final List<Fault> faults;
    private final List<Place> places = new CopyOnWriteArrayList<>();
    private final List<Fault> toRestart = new ArrayList<>();
    /** Guards the machine: where this program is ended from outside, the softswitches do not outlive it. */
    private final Thread atExit = new Thread(this::killAll, "testbed end");
    private long startsAt;

    /**
     * Softswitches that are started with the first turn.
     *
     * @param storm the text of their {@code deploy/storm.toml}; null for none
     * @param connections of the callers of each
     */
    public SocketSoftswitches(Path folder, String storm, int connections, List<Fault> faults) {
        this.folder = folder;
        this.storm = storm;
        this.connections = connections;
        this.faults = new ArrayList<>(faults);
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    /** The time by which the model has to be driven. */
    public Model.Pacing pacing() {
        return clock;
    }

    @Override
    public void begin(long now, List<Start> starts) {
        startsAt = now;
        try {
            for (Start start : starts) {
                int place = places.size();
                Place one = new Place(place, loop, clock, new SoftswitchProcess(folder.resolve("place-" + place),
                        storm, SoftswitchProcess.Launch.AMPLE), connections);
                one.begin(start);
                places.add(one);
            }
        } catch (IOException e) {
            throw new HostException("a softswitch cannot be prepared: " + e.getMessage());
        }
    }

    @Override
    public List<Output> turn(long now, List<Input> inputs) {
        startAll(inputs);
        faults(now);
        List<Output> out = new ArrayList<>(inputs.size());
        loop.execute(unchecked(() -> {
            for (Input input : inputs) {
                for (Happening happening : input.happenings()) {
                    places.get(input.place()).tell(happening);
                }
            }
        }));
        for (Input input : inputs) {
            out.add(new Output(input.place(), places.get(input.place()).drain(), now + POLL));
        }
        return out;
    }

    private void killAll() {
        places.stream().filter(place -> place.process().alive()).forEach(place -> place.process().kill());
    }

    private void startAll(List<Input> inputs) {
        List<Place> fresh = new ArrayList<>();
        for (Input input : inputs) {
            Place place = places.get(input.place());
            if (!place.started()) {
                onLoop(() -> place.start(input.happenings()));
                fresh.add(place);
            }
        }
        for (Place place : fresh) {
            awaitListening(place);
            onLoop(place::connect);
        }
    }

    private static void awaitListening(Place place) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_START);
        while (true) {
            try {
                new Socket(InetAddress.getLoopbackAddress(), place.port()).close();
                return;
            } catch (IOException e) {
                if (!place.process().alive() || System.nanoTime() > until) {
                    throw new HostException("a softswitch does not start; see " + place.process().log());
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
            }
        }
    }

    private void faults(long now) {
        for (Fault fault : List.copyOf(faults)) {
            if (now >= startsAt + fault.at()) {
                faults.remove(fault);
                strike(fault, now);
            }
        }
        for (Fault again : List.copyOf(toRestart)) {
            if (now >= again.at()) {
                toRestart.remove(again);
                Place place = places.get(again.place());
                loop.execute(unchecked(place::startAgain));
            }
        }
    }

    private void strike(Fault fault, long now) {
        Place place = places.get(fault.place());
        switch (fault.kind()) {
            case KILL -> {
                place.process().kill();
                toRestart.add(new Fault(Kind.KILL, fault.place(), now + RESTART_AFTER));
            }
            case RESET -> loop.execute(place::reset);
            default -> loop.execute(() -> place.callers().stall());
        }
    }

    /** Something that may fail on a file. */
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

    private void onLoop(Task task) {
        CompletableFuture<Void> done = CompletableFuture.runAsync(unchecked(task), loop::execute);
        try {
            done.join();
        } catch (CompletionException e) {
            throw new HostException("a softswitch cannot be started: " + e.getCause().getMessage());
        }
    }

    /** Connections of callers that were opened anew, over all places. */
    public long reconnects() {
        return places.stream().filter(Place::started).mapToLong(place -> place.callers().reconnects()).sum();
    }

    /** The last lines of counters, one for each process that ended in good order. */
    public List<String> counters() {
        List<String> out = new ArrayList<>();
        try {
            for (Place place : places) {
                place.process().lines().stream().filter(line -> line.contains("counters ")).forEach(out::add);
            }
        } catch (IOException e) {
            throw new HostException("a softswitch's log cannot be read: " + e.getMessage());
        }
        return out;
    }

    @Override
    public void close() {
        places.forEach(place -> place.process().end());
        try {
            for (Place place : places) {
                place.process().awaitEnd();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            killAll();
            throw new CancellationException("interrupted");
        } finally {
            loop.execute(() -> places.forEach(Place::close));
            loop.stop();
            Runtime.getRuntime().removeShutdownHook(atExit);
        }
    }
}
