package wingspread.lab.host;

import java.util.function.Supplier;
import wingspread.control.ControlParameters;
import wingspread.core.Event;
import wingspread.core.Planner;
import wingspread.metrics.Metrics;
import wingspread.storm.StormParameters;

/** The program's own planner with its module, unchanged. */
public final class PlannerController implements Controller {
    private static final int MOST_CALLS = 4_096;

    private final Planner planner;

    private PlannerController(Planner planner) {
        this.planner = planner;
    }

    /** Makes planners whose modules decide by these figures. */
    public static Maker with(ControlParameters figures) {
        return with(figures, null);
    }

    /** The same, with a gate against storms of redials by these figures; null for none. */
    public static Maker with(ControlParameters figures, StormParameters storm) {
        return with(figures, storm, Metrics::new);
    }

    /** The same, each with counters of its own, which are asked for on the thread that plays the replication. */
    public static Maker with(ControlParameters figures, StormParameters storm, Supplier<Metrics> counters) {
        return (clock, settings, seed, exchanges) -> new PlannerController(new Planner(clock, settings, figures, seed,
                MOST_CALLS, exchanges, (call, cause) -> { }, counters.get(), storm));
    }

    @Override
    public void post(Event event) {
        planner.post(event);
    }

    @Override
    public void turn() {
        planner.turn();
    }

    @Override
    public long nextDue() {
        return planner.nextDue();
    }
}
