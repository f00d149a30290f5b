package wingspread.record;

import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.core.Request;

/**
 * Records the calls offered to a softswitch. The event loop only adds a few fields to a bounded queue; a separate
 * thread hashes, compresses and writes. Calls that this thread cannot keep up with are dropped and counted.
 */
public final class Recorder implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Recorder.class);
    private static final long POLL_INTERVAL_MILLIS = 100;
    /** Max time to wait for the disk on close, so that a disk that hangs does not delay the shutdown. */
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final OfferedCallQueue queue;
    private final NumberHash hash;
    private final TrafficWriter writer;
    private final long started;
    private final Thread thread;
    private volatile boolean closing;
    private boolean fullReported;

    /**
     * Starts the recording thread.
     *
     * @param started start of the recording in Unix microseconds; recorded times are relative to it
     * @param queueCapacity max number of calls queued for the disk
     * @param key key of the number hash
     */
    public Recorder(TrafficWriter writer, long started, int queueCapacity, byte[] key) {
        this.writer = writer;
        this.started = started;
        this.queue = new OfferedCallQueue(queueCapacity);
        this.hash = new NumberHash(key);
        this.thread = new Thread(this::run, "recorder");
        thread.setDaemon(true);
        thread.start();
    }

    /** Records an offered call without blocking. */
    public void offered(long now, Request request) {
        queue.offer(now, request);
    }

    /** Returns the number of calls dropped because the queue was full. */
    public long dropped() {
        return queue.dropped();
    }

    private void run() {
        try (writer) {
            boolean last;
            do {
                last = closing;
                writeAll();
                if (!last) {
                    pause();
                }
            } while (!last);
            writer.dropped(queue.dropped());
        } catch (IOException e) {
            LOG.atError().addKeyValue("reason", "RECORD_FAILED")
                    .log("recording failed and was stopped: {}", e.getMessage());
        }
    }

    private void writeAll() throws IOException {
        OfferedCallQueue.QueuedCall call = queue.poll();
        if (call == null) {
            return;
        }
        writer.dropped(queue.dropped());
        for (; call != null; call = queue.poll()) {
            writer.write(new RecordedCall(call.at() - started, call.callClass(), call.destination(), call.width(),
                    Math.max(0, call.deadline() - call.at()), call.redial(), call.transit(), call.cut(),
                    hash.of(call.number())));
        }
        writer.flush();
        if (writer.full() && !fullReported) {
            fullReported = true;
            LOG.atWarn().addKeyValue("reason", "RECORD_FULL")
                    .log("the recording has reached its max size; further calls are not written");
        }
    }

    private void pause() {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            // Interrupted by close(), to write the remaining calls without delay.
            closing = true;
        }
    }

    /** Writes the queued calls and closes the file. */
    @Override
    public void close() {
        closing = true;
        thread.interrupt();
        try {
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // Once the recording thread has ended, the writer may be read here. If the thread still hangs in a write, only
        // the queue's count is known.
        long missing = thread.isAlive() ? queue.dropped() : writer.missing();
        LOG.atInfo().addKeyValue("missing", missing).log("recording closed");
    }
}
