package wingspread.record;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.util.List;

/**
 * The format of recordings, version 1: a gzip stream (RFC 1952) of a CBOR sequence (RFC 8742). The first item is the
 * {@link Header}; then come arrays of eight numbers, one for each try: microseconds since the one before, class,
 * destination, width, milliseconds the caller waits, flags (1 dialled again, 2 in transit, 4 cut and comes again),
 * the number's hash, calls dropped so far; the last item is the {@link End}. A file without an end was cut off.
 */
final class TrafficFormat {
    static final String NAME = "wingspread-traffic";
    static final int VERSION = 1;
    static final int FIELDS = 8;
    static final int REDIAL = 1;
    static final int TRANSIT = 2;
    static final int CUT = 4;
    private static final int DEEPEST = 8;
    private static final int LONGEST_TEXT = 1 << 12;

    private TrafficFormat() { }

    /** Who recorded, when (Unix microseconds), and the names of the classes. */
    record Header(String format, int version, long started, int place, int softswitches, List<String> classes) { }

    /** How a recording ended; {@code full} where its file had reached its longest. */
    record End(long calls, long dropped, boolean full) { }

    static ObjectMapper mapper() {
        return new ObjectMapper(CBORFactory.builder().streamReadConstraints(StreamReadConstraints.builder()
                .maxNestingDepth(DEEPEST).maxStringLength(LONGEST_TEXT).build()).build())
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }
}
