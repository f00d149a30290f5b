package wingspread.record;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.util.List;

/**
 * The format of recordings, version 1: a gzip stream (RFC 1952) of a CBOR sequence (RFC 8742). The first item is the
 * {@link Header}; it is followed by arrays of eight numbers, one per call offer: microseconds since the previous one,
 * class, destination, width, milliseconds that the caller waits, flags (1 redial, 2 transit, 4 repeats a cut call),
 * hash of the number, calls dropped so far; the last item is the {@link End}. A file without an end item is truncated.
 */
final class TrafficFormat {
    static final String NAME = "wingspread-traffic";
    static final int VERSION = 1;
    static final int FIELDS = 8;
    static final int REDIAL = 1;
    static final int TRANSIT = 2;
    static final int CUT = 4;
    private static final int MAX_NESTING_DEPTH = 8;
    private static final int MAX_TEXT_LENGTH = 1 << 12;

    private TrafficFormat() { }

    /**
     * The first item: the recording softswitch and the names of the call classes.
     *
     * @param started start of the recording in Unix microseconds
     */
    record Header(String format, int version, long started, int place, int softswitches, List<String> classes) { }

    /**
     * The last item.
     *
     * @param calls number of calls in the file
     * @param dropped number of calls that were offered but not recorded
     * @param full whether the file reached its max size
     */
    record End(long calls, long dropped, boolean full) { }

    static ObjectMapper mapper() {
        return new ObjectMapper(CBORFactory.builder().streamReadConstraints(StreamReadConstraints.builder()
                .maxNestingDepth(MAX_NESTING_DEPTH).maxStringLength(MAX_TEXT_LENGTH).build()).build())
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }
}
