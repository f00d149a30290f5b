package wingspread.lab.host;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.function.Function;
import wingspread.control.ControlParameters;
import wingspread.lab.host.Wire.Answer;

/** A host of softswitches for a driver at the other end of two streams; it ends when the driver does. */
public final class HostLoop {
    private static final String NAME = "wingspread-lab-host";

    private final String program;
    private final Function<ControlParameters, Softswitches> maker;
    private Softswitches softswitches;
    private int places;

    /** A host that tells its program's version and makes fleets by this maker. */
    public HostLoop(String program, Function<ControlParameters, Softswitches> maker) {
        this.program = program;
        this.maker = maker;
    }

    /**
     * Serves until the input ends.
     *
     * @throws IOException where the driver's messages cannot be read, or the driver has gone
     */
    public void run(InputStream in, OutputStream out) throws IOException {
        ObjectMapper mapper = Wire.mapper();
        Wire.write(mapper, out, new Wire.Hello(NAME, Wire.VERSION, program));
        JsonParser parser = Wire.reading(mapper, in);
        try (MappingIterator<Wire.Order> orders = mapper.readerFor(Wire.Order.class).readValues(parser)) {
            while (orders.hasNextValue()) {
                Wire.write(mapper, out, answer(orders.nextValue()));
            }
        }
    }

    private Answer answer(Wire.Order order) {
        if (order instanceof Wire.Begin begin) {
            if (begin.starts().stream().anyMatch(start -> start == null || start.settings() == null)) {
                return new Answer("a softswitch without settings", List.of());
            }
            try {
                softswitches = maker.apply(new ControlParameters(begin.figures()));
            } catch (IllegalArgumentException e) {
                return new Answer(e.getMessage(), List.of());
            }
            places = begin.starts().size();
            softswitches.begin(begin.now(), begin.starts());
            return new Answer(null, List.of());
        }
        Wire.Turn turn = (Wire.Turn) order;
        if (turn.inputs().stream().anyMatch(i -> i == null || i.place() < 0 || i.place() >= places
                || i.happenings() == null || i.happenings().contains(null))) {
            return new Answer("a turn of a softswitch that was not begun", List.of());
        }
        return new Answer(null, places == 0 ? List.of() : softswitches.turn(turn.now(), turn.inputs()));
    }
}
