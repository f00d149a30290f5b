package wingspread.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import wingspread.lab.host.Softswitches;
import wingspread.lab.scenario.Scenario;
import wingspread.lab.sim.Streams;
import wingspread.lab.world.Model;

/**
 * Runs replications of a scenario. Each replication runs on one thread; several run in parallel, and the results are
 * returned in the order of the replication numbers, independent of the scheduling of the threads.
 */
public final class Experiment implements AutoCloseable {
    private final Scenario scenario;
    private final long seed;
    private final ExecutorService threads;

    /** Creates an experiment whose replications are all derived from one seed. */
    public Experiment(Scenario scenario, long seed, int threadCount) {
        this.scenario = scenario;
        this.seed = seed;
        this.threads = Executors.newFixedThreadPool(threadCount, task -> {
            Thread thread = new Thread(task, "lab");
            thread.setDaemon(true);
            return thread;
        });
    }

    public Scenario scenario() {
        return scenario;
    }

    public long seed() {
        return seed;
    }

    /**
     * Runs one replication in the calling thread.
     *
     * @param family softswitches of the same family get the same random seeds, those of different families independent
     *     ones; 0 uses the streams of the replication itself
     */
    public Model.Run runReplication(int replication, Softswitches softswitches, int family) {
        Streams streams = new Streams(seed, replication);
        Streams own = family == 0 ? streams : new Streams(streams.seedOf("family", family), replication);
        return new Model(scenario.day(streams), streams, own, softswitches).run();
    }

    /** Applies a function to {@code count} numbers from {@code from} on in parallel; returns the results in order. */
    public <T> List<T> mapInParallel(int from, int count, IntFunction<T> what) {
        List<Future<T>> futures = IntStream.range(from, from + count)
                .mapToObj(number -> threads.submit(() -> what.apply(number))).toList();
        List<T> out = new ArrayList<>();
        try {
            for (Future<T> future : futures) {
                out.add(get(future));
            }
        } finally {
            // If one fails, those that have not started are not needed.
            futures.forEach(future -> future.cancel(false));
        }
        return out;
    }

    private static <T> T get(Future<T> future) {
        try {
            return future.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CancellationException("interrupted");
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RuntimeException cause) {
                throw cause;
            }
            throw new IllegalStateException(e.getCause());
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
