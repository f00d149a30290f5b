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
 * A recording as it was read: all of it, or what came before the place where it was cut off or spoilt.
 *
 * @param started Unix microseconds
 * @param dropped calls that came in and were not recorded
 * @param fault null for a whole recording, else one line that says how far it could be read and why not further
 */
public record Recording(long started, int place, int softswitches, List<String> classes, List<RecordedCall> calls,
        long dropped, String fault) {
    private static final int MILLIS = 1_000;
    /** Guards the memory against a file that unpacks to more than any day of calls. */
    private static final int MOST_CALLS = 20_000_000;

    /** A file that is no recording at all; the message is one line. */
    public static final class NoRecordingException extends RuntimeException {
        private static final long serialVersionUID = 1;

        NoRecordingException(String message) {
            super(message);
        }
    }

    /**
     * Reads a file.
     *
     * @throws NoRecordingException where not even the head can be read
     */
    public static Recording read(Path file) {
        try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
            return read(in, file.toString());
        } catch (IOException e) {
            throw new NoRecordingException(file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
        }
    }

    /** Reads a stream, under a name for its errors. */
    public static Recording read(InputStream in, String name) {
        ObjectMapper mapper = TrafficFormat.mapper();
        try (MappingIterator<JsonNode> items = mapper.readerFor(JsonNode.class).readValues(new GZIPInputStream(in))) {
            TrafficFormat.Header head = items.hasNextValue()
                    ? mapper.treeToValue(items.nextValue(), TrafficFormat.Header.class) : null;
            if (head == null || !TrafficFormat.NAME.equals(head.format()) || head.classes() == null) {
                throw new NoRecordingException(name + ": is no recording of traffic");
            }
            if (head.version() != TrafficFormat.VERSION) {
                throw new NoRecordingException(name + ": is a recording of version " + head.version() + "; "
                        + TrafficFormat.VERSION + " was expected");
            }
            return calls(items, head, mapper);
        } catch (IOException e) {
            throw new NoRecordingException(name + ": is no recording of traffic (" + why(e) + ")");
        }
    }

    private static Recording calls(MappingIterator<JsonNode> items, TrafficFormat.Header head, ObjectMapper mapper) {
        List<RecordedCall> calls = new ArrayList<>();
        long at = 0;
        long dropped = 0;
        String fault = "cut off after %d calls: no end was found";
        try {
            while (fault != null && items.hasNextValue()) {
                JsonNode item = items.nextValue();
                if (item.isObject()) {
                    dropped = mapper.treeToValue(item, TrafficFormat.End.class).dropped();
                    fault = null;
                } else if (!sound(item, head) || calls.size() >= MOST_CALLS) {
                    fault = "spoilt after %d calls: an item is no call";
                    break;
                } else {
                    at += item.get(0).longValue();
                    dropped = item.get(7).longValue();
                    calls.add(call(item, at));
                }
            }
        } catch (IOException e) {
            fault = (e instanceof EOFException ? "cut off" : "cut off or spoilt") + " after %d calls: " + why(e);
        }
        return new Recording(head.started(), head.place(), head.softswitches(), head.classes(), List.copyOf(calls),
                dropped, fault == null ? null : fault.replace("%d", Integer.toString(calls.size())));
    }

    private static boolean sound(JsonNode item, TrafficFormat.Header head) {
        if (!item.isArray() || item.size() != TrafficFormat.FIELDS) {
            return false;
        }
        for (JsonNode field : item) {
            if (!field.isNumber()) {
                return false;
            }
        }
        return item.get(0).longValue() >= 0 && item.get(1).intValue() >= 0
                && item.get(1).intValue() < head.classes().size();
    }

    private static RecordedCall call(JsonNode item, long at) {
        int flags = item.get(5).intValue();
        return new RecordedCall(at, item.get(1).intValue(), item.get(2).intValue(), item.get(3).doubleValue(),
                item.get(4).longValue() * MILLIS, (flags & TrafficFormat.REDIAL) != 0,
                (flags & TrafficFormat.TRANSIT) != 0, (flags & TrafficFormat.CUT) != 0, item.get(6).longValue());
    }

    private static String why(IOException e) {
        String text = e instanceof JsonProcessingException j ? j.getOriginalMessage() : e.getMessage();
        String kind = e instanceof ZipException ? "unpacking failed, " : "";
        return kind + String.valueOf(text).replaceAll("\\s+", " ");
    }
}
