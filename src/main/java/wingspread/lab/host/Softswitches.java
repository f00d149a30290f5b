package wingspread.lab.host;

import java.util.List;
import wingspread.control.CallControl.Settings;

/** The softswitches of a fleet, one per place, in this process or in another. */
public interface Softswitches extends AutoCloseable {
    /** Start parameters of one softswitch. */
    record Start(Settings settings, long seed) { }

    /** The events of a softswitch since its last turn, in order. */
    record Input(int place, List<SoftswitchEvent> happenings) { }

    /**
     * The effects of a softswitch's turn.
     *
     * @param nextDue the latest time of the next turn, in microseconds
     */
    record Output(int place, List<Effect> effects, long nextDue) { }

    /** Starts a new fleet at {@code now}, in microseconds, and discards the softswitches of an earlier run. */
    void begin(long now, List<Start> starts);

    /** Runs a turn of each softswitch in {@code inputs}, all at {@code now}; outputs are in the order of the inputs. */
    List<Output> turn(long now, List<Input> inputs);

    /** Ends the softswitches' process if they run in another one. */
    @Override
    default void close() {
        // No other process to end.
    }
}
