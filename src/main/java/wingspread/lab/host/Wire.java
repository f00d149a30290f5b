package wingspread.lab.host;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.StreamWriteFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;

/**
 * The interface between a driver and a softswitch host, which may be another version of this program: a CBOR sequence
 * (RFC 8742) in each direction, one item per message. The host first sends its version; after that it sends one reply
 * to each command of the driver. Unknown fields are ignored, so that fields can be added; an incompatible change
 * increments {@link #VERSION}.
 */
final class Wire {
    /** The interface version of this program. */
    static final int VERSION = 1;
    private static final int MAX_NESTING_DEPTH = 32;
    private static final int MAX_TEXT_LENGTH = 1 << 20;

    private Wire() { }

    /** The first message of a host. */
    record Hello(String host, int version, String program) { }

    /** A message from the driver. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
    @JsonSubTypes({@JsonSubTypes.Type(value = Begin.class, name = "begin"),
        @JsonSubTypes.Type(value = Turn.class, name = "turn")})
    sealed interface Command { }

    /**
     * Starts a fleet.
     *
     * @param now the start time in microseconds
     * @param figures control parameters by name; those not listed have their defaults
     */
    record Begin(long now, Map<String, Double> figures, List<Softswitches.Start> starts) implements Command {
        Begin {
            figures = figures == null ? Map.of() : figures;
            starts = starts == null ? List.of() : starts;
        }
    }

    /** Runs turns. */
    record Turn(long now, List<Softswitches.Input> inputs) implements Command {
        Turn {
            inputs = inputs == null ? List.of() : inputs;
        }
    }

    /** The host's reply to a command; {@code error} is null on success. */
    record Reply(String error, List<Softswitches.Output> outputs) { }

    /** Returns a mapper that checks its size limits before it allocates memory. */
    static ObjectMapper mapper() {
        CBORFactory factory = CBORFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH)
                        .maxStringLength(MAX_TEXT_LENGTH).build())
                .disable(StreamWriteFeature.AUTO_CLOSE_TARGET).disable(StreamReadFeature.AUTO_CLOSE_SOURCE).build();
        return new ObjectMapper(factory).disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    /** Returns a parser of the items of a stream. */
    static JsonParser newParser(ObjectMapper mapper, InputStream in) throws IOException {
        return mapper.getFactory().createParser(in);
    }

    /** Writes one item and flushes the stream. */
    static void write(ObjectMapper mapper, OutputStream out, Object item) throws IOException {
        mapper.writeValue(out, item);
        out.flush();
    }
}
