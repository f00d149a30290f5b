package wingspread.lab.host;

import java.util.function.LongSupplier;
import wingspread.control.CallControl.Settings;
import wingspread.core.Event;
import wingspread.core.ExchangeTransport;
import wingspread.turn.Worker;

/** The call processing of one softswitch as hosted by the model: takes events and runs one turn at a time. */
public interface Controller extends Worker {
    /** Queues an event for the next turn. */
    void post(Event event);

    /** Creates the controller of one exchange's softswitch. */
    @FunctionalInterface
    interface Factory {
        Controller make(LongSupplier clock, Settings settings, long seed, ExchangeTransport exchanges);
    }
}
