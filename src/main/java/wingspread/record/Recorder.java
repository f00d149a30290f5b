package wingspread.record;

import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.core.Request;

/**
 * Records the calls that come in. The loop only puts a few figures into a bounded queue; hashing, packing and the disk
 * are the business of a thread of its own, and what that cannot keep up with is dropped and counted.
 */
public final class Recorder implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Recorder.class);
    private static final long PAUSE_MILLIS = 100;
    /** At the end the disk gets so long; the program does not wait for one that hangs. */
    private static final long LAST_MILLIS = 500;

    private final HeardCalls heard;
    private final NumberHash hash;
    private final TrafficWriter writer;
    private final long started;
    private final Thread thread;
    private volatile boolean ending;
    private boolean toldFull;

    /**
     * Starts to record.
     *
     * @param started Unix microseconds, from which the calls' times count
     * @param held calls that wait for the disk at the most
     * @param key for the numbers' hash
     */
    public Recorder(TrafficWriter writer, long started, int held, byte[] key) {
        this.writer = writer;
        this.started = started;
        this.heard = new HeardCalls(held);
        this.hash = new NumberHash(key);
        this.thread = new Thread(this::run, "recorder");
        thread.setDaemon(true);
        thread.start();
    }

    /** A call has come in; returns at once. */
    public void offered(long now, Request request) {
        heard.offer(now, request);
    }

    /** Calls that there was no room for. */
    public long dropped() {
        return heard.dropped();
    }

    private void run() {
        try (writer) {
            boolean last;
            do {
                last = ending;
                writeAll();
                if (!last) {
                    pause();
                }
            } while (!last);
            writer.dropped(heard.dropped());
        } catch (IOException e) {
            LOG.atError().addKeyValue("reason", "RECORD_FAILED").log("recording has ended: {}", e.getMessage());
        }
    }

    private void writeAll() throws IOException {
        HeardCalls.Heard call = heard.poll();
        if (call == null) {
            return;
        }
        writer.dropped(heard.dropped());
        for (; call != null; call = heard.poll()) {
            writer.write(new RecordedCall(call.at() - started, call.callClass(), call.destination(), call.width(),
                    Math.max(0, call.deadline() - call.at()), call.redial(), call.transit(), call.cut(),
                    hash.of(call.number())));
        }
        writer.flush();
        if (writer.full() && !toldFull) {
            toldFull = true;
            LOG.atWarn().addKeyValue("reason", "RECORD_FULL").log("the recording has reached its longest");
        }
    }

    private void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            // close() asks to go on at once.
            ending = true;
        }
    }

    /** Writes what has come in and ends the file. */
    @Override
    public void close() {
        ending = true;
        thread.interrupt();
        try {
            thread.join(LAST_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // The writer is this thread's once its own has ended; a disk that still hangs has told nothing.
        long missing = thread.isAlive() ? heard.dropped() : writer.missing();
        LOG.atInfo().addKeyValue("missing", missing).log("recording ends");
    }
}
