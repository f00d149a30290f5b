package wingspread.lab.host;

import java.util.function.LongSupplier;
import wingspread.control.CallControl.Settings;
import wingspread.core.Event;
import wingspread.core.ExchangeTransport;
import wingspread.turn.Worker;

/** A softswitch's calls and decisions, as the model hosts them. */
public interface Controller extends Worker {
    /** Takes an event for the next turn. */
    void post(Event event);

    /** Makes the softswitch of one exchange. */
    @FunctionalInterface
    interface Maker {
        Controller make(LongSupplier clock, Settings settings, long seed, ExchangeTransport exchanges);
    }
}
