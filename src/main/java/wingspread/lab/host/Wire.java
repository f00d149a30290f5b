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
 * The interface between a driver and a host of softswitches, which may be another version of this program: a CBOR
 * sequence (RFC 8742) in each direction, one item for each message. The host speaks first and names its version;
 * from then on each message of the driver gets one answer. What a side does not know is skipped, so that fields may
 * be added; a change that breaks this raises {@link #VERSION}.
 */
final class Wire {
    /** What this program speaks. */
    static final int VERSION = 1;
    private static final int DEEPEST = 32;
    private static final int LONGEST_TEXT = 1 << 20;

    private Wire() { }

    /** What a host says first. */
    record Hello(String host, int version, String program) { }

    /** What a driver says. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
    @JsonSubTypes({@JsonSubTypes.Type(value = Begin.class, name = "begin"),
        @JsonSubTypes.Type(value = Turn.class, name = "turn")})
    sealed interface Order { }

    /** Start a fleet with these figures, by name, where they are not the usual ones; times in microseconds. */
    record Begin(long now, Map<String, Double> figures, List<Softswitches.Start> starts) implements Order {
        Begin {
            figures = figures == null ? Map.of() : figures;
            starts = starts == null ? List.of() : starts;
        }
    }

    /** Play turns. */
    record Turn(long now, List<Softswitches.Input> inputs) implements Order {
        Turn {
            inputs = inputs == null ? List.of() : inputs;
        }
    }

    /** What a host answers; {@code error} is null where all went well. */
    record Answer(String error, List<Softswitches.Output> outputs) { }

    /** A mapper whose limits hold before anything is allocated. */
    static ObjectMapper mapper() {
        CBORFactory factory = CBORFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(DEEPEST)
                        .maxStringLength(LONGEST_TEXT).build())
                .disable(StreamWriteFeature.AUTO_CLOSE_TARGET).disable(StreamReadFeature.AUTO_CLOSE_SOURCE).build();
        return new ObjectMapper(factory).disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    /** Items in their order. */
    static JsonParser reading(ObjectMapper mapper, InputStream in) throws IOException {
        return mapper.getFactory().createParser(in);
    }

    /** Writes one item and flushes. */
    static void write(ObjectMapper mapper, OutputStream out, Object item) throws IOException {
        mapper.writeValue(out, item);
        out.flush();
    }
}
