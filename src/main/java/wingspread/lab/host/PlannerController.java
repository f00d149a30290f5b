package wingspread.lab.host;

import wingspread.control.Figures;
import wingspread.core.Event;
import wingspread.core.Planner;
import wingspread.metrics.Metrics;
import wingspread.storm.StormFigures;

/** The program's own planner with its module, unchanged. */
public final class PlannerController implements Controller {
    private static final int MOST_CALLS = 4_096;

    private final Planner planner;

    private PlannerController(Planner planner) {
        this.planner = planner;
    }

    /** Makes planners whose modules decide by these figures. */
    public static Maker with(Figures figures) {
        return with(figures, null);
    }

    /** The same, with a gate against storms of redials by these figures; null for none. */
    public static Maker with(Figures figures, StormFigures storm) {
        return (clock, settings, seed, exchanges) -> new PlannerController(new Planner(clock, settings, figures, seed,
                MOST_CALLS, exchanges, (call, cause) -> { }, new Metrics(), storm));
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
