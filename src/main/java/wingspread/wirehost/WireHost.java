package wingspread.wirehost;

import wingspread.config.ConfigException;
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

/** Plays the decision module over the bench's wire, on standard input and output. */
public final class WireHost {
    private static final int BUFFER = 1 << 16;
    private static final int LENGTH_BYTES = 4;
    private static final int SHORTEST_FRAME = 12;

    private WireHost() { }

    /** Plays standard input to standard output; returns the exit code. */
    public static int run() {
        OutputStream wire = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER);
        return run(System.in, wire, System.err);
    }

    /** Returns the exit code: 0 at a clean end of input, 1 on input it cannot read. */
    static int run(InputStream in, OutputStream out, PrintStream err) {
        long frames = 0;
        try {
            DataInputStream data = new DataInputStream(new BufferedInputStream(in, BUFFER));
            ReplyWriter reply = new ReplyWriter();
            Instances instances = new Instances(reply);
            for (byte[] body = next(data); body != null; body = next(data)) {
                frames++;
                instances.play(body);
                reply.flushTo(out);
            }
            return 0;
        } catch (WireException | ConfigException | IOException e) {
            err.println("wingspread: after " + frames + " frames: " + e.getMessage());
            return 1;
        }
    }

    /** The next frame after its length, or null at the end of input. */
    private static byte[] next(DataInputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        try {
            long length = (long) first << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
            if (length < SHORTEST_FRAME || length > Integer.MAX_VALUE) {
                throw new WireException("frame states a length of " + length + " bytes");
            }
            byte[] body = in.readNBytes((int) length - LENGTH_BYTES);
            if (body.length < length - LENGTH_BYTES) {
                throw new WireException("input ends inside a frame of " + length + " bytes");
            }
            return body;
        } catch (EOFException e) {
            throw new WireException("input ends inside a frame's length");
        }
    }
}
