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
import wingspread.lab.host.Wire.Reply;

/** Hosts softswitches for a driver that is connected by a pair of streams; ends when the driver closes its end. */
public final class HostLoop {
    private static final String NAME = "wingspread-lab-host";

    private final String program;
    private final Function<ControlParameters, Softswitches> factory;
    private Softswitches softswitches;
    private int fleetSize;

    /**
     * Creates a host.
     *
     * @param program the program version sent to the driver
     * @param factory creates a fleet that uses the given control parameters
     */
    public HostLoop(String program, Function<ControlParameters, Softswitches> factory) {
        this.program = program;
        this.factory = factory;
    }

    /**
     * Serves the driver's commands until the input ends.
     *
     * @throws IOException if the driver's messages cannot be read or the driver closed the connection
     */
    public void run(InputStream in, OutputStream out) throws IOException {
        ObjectMapper mapper = Wire.mapper();
        Wire.write(mapper, out, new Wire.Hello(NAME, Wire.VERSION, program));
        JsonParser parser = Wire.newParser(mapper, in);
        try (MappingIterator<Wire.Command> commands = mapper.readerFor(Wire.Command.class).readValues(parser)) {
            while (commands.hasNextValue()) {
                Wire.write(mapper, out, reply(commands.nextValue()));
            }
        }
    }

    private Reply reply(Wire.Command command) {
        if (command instanceof Wire.Begin begin) {
            if (begin.starts().stream().anyMatch(start -> start == null || start.settings() == null)) {
                return new Reply("fleet has a softswitch without settings", List.of());
            }
            try {
                softswitches = factory.apply(new ControlParameters(begin.figures()));
            } catch (IllegalArgumentException e) {
                return new Reply(e.getMessage(), List.of());
            }
            fleetSize = begin.starts().size();
            softswitches.begin(begin.now(), begin.starts());
            return new Reply(null, List.of());
        }
        Wire.Turn turn = (Wire.Turn) command;
        if (turn.inputs().stream().anyMatch(i -> i == null || i.place() < 0 || i.place() >= fleetSize
                || i.happenings() == null || i.happenings().contains(null))) {
            return new Reply("turn for a softswitch that was not begun", List.of());
        }
        return new Reply(null, fleetSize == 0 ? List.of() : softswitches.turn(turn.now(), turn.inputs()));
    }
}
