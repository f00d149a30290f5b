package wingspread.lab.host;

import java.util.List;
import wingspread.control.CallControl.Settings;

/** The softswitches of a fleet, one for each place, wherever they run. */
public interface Softswitches extends AutoCloseable {
    /** How one softswitch starts. */
    record Start(Settings settings, long seed) { }

    /** What has happened to a softswitch since its last turn, in order. */
    record Input(int place, List<Happening> happenings) { }

    /** What a softswitch did in its turn, and when it wants the next at the latest. */
    record Output(int place, List<Effect> effects, long nextDue) { }

    /** Starts all anew, at a time; those of an earlier run are forgotten. */
    void begin(long now, List<Start> starts);

    /** Plays a turn of each that is named, all at the same time; the outputs come in the order of the inputs. */
    List<Output> turn(long now, List<Input> inputs);

    /** Ends what runs elsewhere. */
    @Override
    default void close() {
        // Nothing runs elsewhere.
    }
}
