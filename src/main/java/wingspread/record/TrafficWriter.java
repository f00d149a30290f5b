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
    /** What the end and the compressor's last block need. */
    private static final int ROOM_FOR_END = 4_096;

    private final Counting counting;
    private final GZIPOutputStream zip;
    private final SequenceWriter items;
    private final long longest;
    private long last;
    private long calls;
    private long dropped;
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

    /** Writes a call, with how many were dropped before it; they come in the order of their times. */
    public void write(RecordedCall call, long droppedSoFar) throws IOException {
        dropped = droppedSoFar;
        if (full) {
            dropped++;
            return;
        }
        int flags = (call.redial() ? TrafficFormat.REDIAL : 0) + (call.transit() ? TrafficFormat.TRANSIT : 0)
                + (call.cut() ? TrafficFormat.CUT : 0);
        items.write(List.of(call.at() - last, call.callClass(), call.destination(), call.width(),
                call.left() / MICROS, flags, call.number(), droppedSoFar));
        last = call.at();
        calls++;
    }

    /** Sends on what was written, so that a cut later loses nothing before it. */
    public void flush() throws IOException {
        items.flush();
        zip.flush();
        full = counting.bytes + ROOM_FOR_END >= longest;
    }

    /** Whether the file has reached its longest. */
    public boolean full() {
        return full;
    }

    @Override
    public void close() throws IOException {
        items.write(new TrafficFormat.End(calls, dropped, full));
        items.close();
    }
}
