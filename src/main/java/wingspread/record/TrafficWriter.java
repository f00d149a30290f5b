package wingspread.record;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SequenceWriter;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.zip.GZIPOutputStream;

/** Writes a recording. Once the compressed stream has reached its max size, further calls are counted only. */
public final class TrafficWriter implements AutoCloseable {
    private static final int MICROS_PER_MILLI = 1_000;
    /** Calls passed to the compressor between two checks of the compressed size. */
    private static final int CALLS_PER_BLOCK = 64;
    /** Max bytes needed by a block of incompressible calls, the end item and the compressor's trailer. */
    private static final int RESERVED_END_BYTES = 8_192;

    private final ByteCounter byteCounter;
    private final GZIPOutputStream gzip;
    private final SequenceWriter items;
    private final long maxBytes;
    private long lastAt;
    private long calls;
    private int inBlock;
    /** Calls dropped before they reached this writer; {@code unwritten} counts those that arrived when it was full. */
    private long dropped;
    private long unwritten;
    private boolean full;

    /** Counts the bytes written to the file. */
    private static final class ByteCounter extends FilterOutputStream {
        private long bytes;

        ByteCounter(OutputStream out) {
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
     * Starts a recording and writes its header.
     *
     * @param started start of the recording in Unix microseconds
     * @param place index of the recording softswitch's exchange
     * @param softswitches number of softswitches in the fleet
     * @param classes names of the call classes
     * @param maxBytes max size of the file in bytes
     */
    public TrafficWriter(OutputStream out, long started, int place, int softswitches, List<String> classes,
            long maxBytes) throws IOException {
        this.byteCounter = new ByteCounter(out);
        this.gzip = new GZIPOutputStream(byteCounter, 1 << 13, true);
        this.maxBytes = maxBytes;
        ObjectMapper mapper = TrafficFormat.mapper();
        this.items = mapper.writer().writeValues(gzip);
        items.write(new TrafficFormat.Header(TrafficFormat.NAME, TrafficFormat.VERSION, started, place, softswitches,
                classes));
    }

    /** Sets the number of calls dropped so far before they reached this writer. */
    public void dropped(long soFar) {
        dropped = soFar;
    }

    /** Writes a call. Calls must be passed in order of time. */
    public void write(RecordedCall call) throws IOException {
        if (full) {
            unwritten++;
            return;
        }
        int flags = (call.redial() ? TrafficFormat.REDIAL : 0) + (call.transit() ? TrafficFormat.TRANSIT : 0)
                + (call.cut() ? TrafficFormat.CUT : 0);
        items.write(List.of(call.at() - lastAt, call.callClass(), call.destination(), call.width(),
                call.left() / MICROS_PER_MILLI, flags, call.number(), dropped));
        lastAt = call.at();
        calls++;
        if (++inBlock == CALLS_PER_BLOCK) {
            flush();
        }
    }

    /** Flushes the compressor, so that a later truncation does not lose the calls written before. */
    public void flush() throws IOException {
        items.flush();
        gzip.flush();
        inBlock = 0;
        full = byteCounter.bytes + RESERVED_END_BYTES >= maxBytes;
    }

    /** Returns whether the file has reached its max size. */
    public boolean full() {
        return full;
    }

    /** Returns the number of calls missing from the file, whether dropped or not written. */
    public long missing() {
        return dropped + unwritten;
    }

    @Override
    public void close() throws IOException {
        items.write(new TrafficFormat.End(calls, missing(), full));
        items.close();
    }
}
