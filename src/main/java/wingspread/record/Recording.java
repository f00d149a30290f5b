package wingspread.record;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.ZipException;

/**
 * The contents of a recording: all of it, or the part before the position where it is truncated or corrupt.
 *
 * @param started start of the recording in Unix microseconds
 * @param place index of the recording softswitch's exchange
 * @param softswitches number of softswitches in the fleet
 * @param classes names of the call classes
 * @param calls the recorded calls in order of time
 * @param dropped number of calls that were offered but not recorded
 * @param fault null for a complete recording, else one line with the number of calls read and the reason
 */
public record Recording(long started, int place, int softswitches, List<String> classes, List<RecordedCall> calls,
        long dropped, String fault) {
    private static final int MICROS_PER_MILLI = 1_000;
    /** Bounds the memory against a file that decompresses to more calls than any day has. */
    private static final int MAX_CALLS = 20_000_000;

    /** Thrown when a file is not a recording of this version; the message is a single line. */
    public static final class InvalidRecordingException extends RuntimeException {
        private static final long serialVersionUID = 1;

        InvalidRecordingException(String message) {
            super(message);
        }
    }

    /**
     * Reads a recording from a file.
     *
     * @throws InvalidRecordingException if the header cannot be read
     */
    public static Recording read(Path file) {
        try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
            return read(in, file.toString());
        } catch (IOException e) {
            throw new InvalidRecordingException(file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
        }
    }

    /**
     * Reads a recording from a stream.
     *
     * @param name name of the stream in error messages
     * @throws InvalidRecordingException if the header cannot be read
     */
    public static Recording read(InputStream in, String name) {
        ObjectMapper mapper = TrafficFormat.mapper();
        try (MappingIterator<JsonNode> items = mapper.readerFor(JsonNode.class).readValues(new GZIPInputStream(in))) {
            TrafficFormat.Header header = items.hasNextValue()
                    ? mapper.treeToValue(items.nextValue(), TrafficFormat.Header.class) : null;
            if (header == null || !TrafficFormat.NAME.equals(header.format()) || header.classes() == null) {
                throw new InvalidRecordingException(name + ": is not a traffic recording");
            }
            if (header.version() != TrafficFormat.VERSION) {
                throw new InvalidRecordingException(name + ": recording has version " + header.version() + "; "
                        + TrafficFormat.VERSION + " was expected");
            }
            return calls(items, header, mapper);
        } catch (IOException e) {
            throw new InvalidRecordingException(name + ": is not a traffic recording (" + reasonOf(e) + ")");
        }
    }

    private static Recording calls(MappingIterator<JsonNode> items, TrafficFormat.Header header, ObjectMapper mapper) {
        List<RecordedCall> calls = new ArrayList<>();
        long at = 0;
        long dropped = 0;
        String fault = "cut off after %d calls: end item is missing";
        try {
            while (fault != null && items.hasNextValue()) {
                JsonNode item = items.nextValue();
                if (item.isObject()) {
                    dropped = mapper.treeToValue(item, TrafficFormat.End.class).dropped();
                    fault = null;
                } else if (!isValid(item, header) || calls.size() >= MAX_CALLS) {
                    fault = "corrupt after %d calls: an item is not a valid call";
                    break;
                } else {
                    at += item.get(0).longValue();
                    dropped = item.get(7).longValue();
                    calls.add(call(item, at));
                }
            }
        } catch (IOException e) {
            fault = (e instanceof EOFException ? "cut off" : "cut off or corrupt") + " after %d calls: " + reasonOf(e);
        }
        return new Recording(header.started(), header.place(), header.softswitches(), header.classes(),
                List.copyOf(calls), dropped,
                fault == null ? null : fault.replace("%d", Integer.toString(calls.size())));
    }

    private static boolean isValid(JsonNode item, TrafficFormat.Header header) {
        if (!item.isArray() || item.size() != TrafficFormat.FIELDS) {
            return false;
        }
        for (JsonNode field : item) {
            if (!field.isNumber()) {
                return false;
            }
        }
        return item.get(0).longValue() >= 0 && item.get(1).intValue() >= 0
                && item.get(1).intValue() < header.classes().size();
    }

    private static RecordedCall call(JsonNode item, long at) {
        int flags = item.get(5).intValue();
        return new RecordedCall(at, item.get(1).intValue(), item.get(2).intValue(), item.get(3).doubleValue(),
                item.get(4).longValue() * MICROS_PER_MILLI, (flags & TrafficFormat.REDIAL) != 0,
                (flags & TrafficFormat.TRANSIT) != 0, (flags & TrafficFormat.CUT) != 0, item.get(6).longValue());
    }

    private static String reasonOf(IOException e) {
        String text = e instanceof JsonProcessingException j ? j.getOriginalMessage() : e.getMessage();
        String kind = e instanceof ZipException ? "decompression failed, " : "";
        return kind + String.valueOf(text).replaceAll("\\s+", " ");
    }
}
