package wingspread.lab.host;

import java.util.function.Supplier;
import wingspread.control.ControlParameters;
import wingspread.core.Event;
import wingspread.core.Planner;
import wingspread.metrics.Metrics;
import wingspread.storm.StormParameters;

/** Runs the program's own {@link Planner} with its decision module, unmodified. */
public final class PlannerController implements Controller {
    private static final int MAX_CALLS = 4_096;

    private final Planner planner;

    private PlannerController(Planner planner) {
        this.planner = planner;
    }

    /** Returns a factory of planners that use these control parameters. */
    public static Factory factory(ControlParameters parameters) {
        return factory(parameters, null);
    }

    /**
     * Returns a factory of planners with protection against retry storms.
     *
     * @param storm parameters of the storm gate; null for no gate
     */
    public static Factory factory(ControlParameters parameters, StormParameters storm) {
        return factory(parameters, storm, Metrics::new);
    }

    /**
     * Returns a factory of planners with protection against retry storms and with their own counters.
     *
     * @param storm parameters of the storm gate; null for no gate
     * @param counters supplies the counters of each planner; called on the thread that runs the replication
     */
    public static Factory factory(ControlParameters parameters, StormParameters storm, Supplier<Metrics> counters) {
        return (clock, settings, seed, exchanges) -> new PlannerController(new Planner(clock, settings, parameters,
                seed, MAX_CALLS, exchanges, (call, cause) -> { }, counters.get(), storm));
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
