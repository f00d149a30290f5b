package wingspread.lab.host;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * A pool of softswitch fleets of one variant. Each fleet serves one run at a time; the pool grows to the number of
 * concurrent runs.
 */
public final class SoftswitchPool implements AutoCloseable {
    private final Supplier<Softswitches> factory;
    private final ConcurrentLinkedDeque<Softswitches> idle = new ConcurrentLinkedDeque<>();
    private final List<Softswitches> all = new ArrayList<>();
    private boolean closed;

    /** Creates a pool that creates its fleets with {@code factory}. */
    public SoftswitchPool(Supplier<Softswitches> factory) {
        this.factory = factory;
    }

    /** Creates a pool of fleets in this process. */
    public static SoftswitchPool local(Controller.Factory factory) {
        return new SoftswitchPool(() -> new LocalSoftswitches(factory));
    }

    /** Runs {@code task} with exclusive use of a fleet. A fleet whose task throws is not reused. */
    public <T> T with(Function<Softswitches, T> task) {
        Softswitches fleet = idle.poll();
        if (fleet == null) {
            fleet = factory.get();
            synchronized (all) {
                // A fleet created while the pool is being closed must be closed here; nothing else would.
                if (closed) {
                    fleet.close();
                    throw new CancellationException("the comparison has ended");
                }
                all.add(fleet);
            }
        }
        T result = task.apply(fleet);
        idle.push(fleet);
        return result;
    }

    @Override
    public void close() {
        synchronized (all) {
            closed = true;
            all.forEach(Softswitches::close);
        }
    }
}
