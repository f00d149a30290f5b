package wingspread.record;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SequenceWriter;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.zip.GZIPOutputStream;

/** Writes a recording. It is full when the compressed stream has reached its longest; what follows is not written. */
public final class TrafficWriter implements AutoCloseable {
    private static final int MICROS = 1_000;
    /** So many calls go to the compressor before what it made of them is counted. */
    private static final int CALLS_A_BLOCK = 64;
    /** What a block of calls that do not pack, the end and the compressor's last bytes need at the most. */
    private static final int ROOM_FOR_END = 8_192;

    private final Counting counting;
    private final GZIPOutputStream zip;
    private final SequenceWriter items;
    private final long longest;
    private long last;
    private long calls;
    private int inBlock;
    /** Calls that never came here, and those that came when the file was full. */
    private long dropped;
    private long unwritten;
    private boolean full;

    /** Counts what goes to the file. */
    private static final class Counting extends FilterOutputStream {
        private long bytes;

        Counting(OutputStream out) {
            super(out);
        }

        @Override
        public void write(int one) throws IOException {
            out.write(one);
            bytes++;
        }

        @Override
        public void write(byte[] many, int from, int length) throws IOException {
            out.write(many, from, length);
            bytes += length;
        }
    }

    /**
     * Starts a recording.
     *
     * @param started Unix microseconds
     * @param longest the most bytes of the file
     */
    public TrafficWriter(OutputStream out, long started, int place, int softswitches, List<String> classes,
            long longest) throws IOException {
        this.counting = new Counting(out);
        this.zip = new GZIPOutputStream(counting, 1 << 13, true);
        this.longest = longest;
        ObjectMapper mapper = TrafficFormat.mapper();
        this.items = mapper.writer().writeValues(zip);
        items.write(new TrafficFormat.Header(TrafficFormat.NAME, TrafficFormat.VERSION, started, place, softswitches,
                classes));
    }

    /** Notes how many calls were dropped so far before they came here. */
    public void dropped(long soFar) {
        dropped = soFar;
    }

    /** Writes a call; they come in the order of their times. */
    public void write(RecordedCall call) throws IOException {
        if (full) {
            unwritten++;
            return;
        }
        int flags = (call.redial() ? TrafficFormat.REDIAL : 0) + (call.transit() ? TrafficFormat.TRANSIT : 0)
                + (call.cut() ? TrafficFormat.CUT : 0);
        items.write(List.of(call.at() - last, call.callClass(), call.destination(), call.width(),
                call.left() / MICROS, flags, call.number(), dropped));
        last = call.at();
        calls++;
        if (++inBlock == CALLS_A_BLOCK) {
            flush();
        }
    }

    /** Sends on what was written, so that a cut later loses nothing before it. */
    public void flush() throws IOException {
        items.flush();
        zip.flush();
        inBlock = 0;
        full = counting.bytes + ROOM_FOR_END >= longest;
    }

    /** Whether the file has reached its longest. */
    public boolean full() {
        return full;
    }

    /** Calls that are not in the file, for whatever reason. */
    public long missing() {
        return dropped + unwritten;
    }

    @Override
    public void close() throws IOException {
        items.write(new TrafficFormat.End(calls, missing(), full));
        items.close();
    }
}
