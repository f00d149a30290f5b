package wingspread.wirehost;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import wingspread.config.ConfigException;

/**
 * Connects the call control to the simulator, over standard input and output.
 *
 * <p>The simulator writes frames: a length prefix, the time on the simulator's clock and a batch of events. Each frame
 * gets one reply.
 */
public final class WireHost {
    private static final int BUFFER_BYTES = 1 << 16;
    private static final int LENGTH_BYTES = 4;
    private static final int MIN_FRAME_BYTES = 12;

    private WireHost() { }

    /**
     * Processes standard input until it ends.
     *
     * @return the exit code: 0 at the end of input, 1 for malformed input or settings or an I/O error
     */
    public static int run() {
        OutputStream wire = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER_BYTES);
        return run(System.in, wire, System.err);
    }

    /** Processes frames until the input ends and returns the exit code; an error is one line on {@code err}. */
    static int run(InputStream in, OutputStream out, PrintStream err) {
        long frames = 0;
        try {
            DataInputStream data = new DataInputStream(new BufferedInputStream(in, BUFFER_BYTES));
            ReplyWriter reply = new ReplyWriter();
            Instances instances = new Instances(reply);
            for (byte[] body = readFrame(data); body != null; body = readFrame(data)) {
                frames++;
                instances.process(body);
                reply.flushTo(out);
            }
            return 0;
        } catch (WireException | ConfigException | IOException e) {
            err.println("wingspread: after " + frames + " frames: " + e.getMessage());
            return 1;
        }
    }

    /** Returns the body of the next frame, without its length prefix, or null at the end of input. */
    private static byte[] readFrame(DataInputStream in) throws IOException {
        int firstByte = in.read();
        if (firstByte < 0) {
            return null;
        }
        try {
            long length = (long) firstByte << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
            if (length < MIN_FRAME_BYTES || length > Integer.MAX_VALUE) {
                throw new WireException("invalid frame length of " + length + " bytes");
            }
            byte[] body = in.readNBytes((int) length - LENGTH_BYTES);
            if (body.length < length - LENGTH_BYTES) {
                throw new WireException("input ends inside a frame of " + length + " bytes");
            }
            return body;
        } catch (EOFException e) {
            throw new WireException("input ends inside a frame's length prefix");
        }
    }
}
