package wingspread.lab.host;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.Function;
import java.util.function.Supplier;

/** Fleets of softswitches of one variant, lent to one run at a time; as many are made as run side by side. */
public final class SoftswitchPool implements AutoCloseable {
    private final Supplier<Softswitches> maker;
    private final ConcurrentLinkedDeque<Softswitches> idle = new ConcurrentLinkedDeque<>();
    private final List<Softswitches> all = new ArrayList<>();
    private boolean closed;

    /** A pool that makes its fleets so. */
    public SoftswitchPool(Supplier<Softswitches> maker) {
        this.maker = maker;
    }

    /** A pool of fleets in this process. */
    public static SoftswitchPool local(Controller.Maker maker) {
        return new SoftswitchPool(() -> new LocalSoftswitches(maker));
    }

    /** Does something with a fleet that nobody else has meanwhile. One that fails is not lent again. */
    public <T> T with(Function<Softswitches, T> what) {
        Softswitches fleet = idle.poll();
        if (fleet == null) {
            fleet = maker.get();
            synchronized (all) {
                // Guards against a fleet that comes up while the pool goes down: nobody else would end it.
                if (closed) {
                    fleet.close();
                    throw new CancellationException("the comparison has ended");
                }
                all.add(fleet);
            }
        }
        T result = what.apply(fleet);
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
