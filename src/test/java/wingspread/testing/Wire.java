package wingspread.testing;

import io.netty.buffer.ByteBuf;
import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import wingspread.net.InvalidInputException;
import wingspread.net.FrameDecoder;

/** One end of a connection in a test: reads whole messages, with a bound on how long it waits for one. */
public final class Wire<M> implements Closeable {
    private static final int PATIENCE_MS = 10_000;

    private final Socket socket;
    private final FrameDecoder<M> decoder;
    private byte[] bytes = new byte[0];

    public Wire(Socket socket, FrameDecoder<M> decoder) throws IOException {
        this.socket = socket;
        this.decoder = decoder;
        socket.setSoTimeout(PATIENCE_MS);
    }

    /** The next message; an EOF or a wait of ten seconds is an exception. */
    public M next() throws IOException, InvalidInputException {
        byte[] more = new byte[4_096];
        while (true) {
            FrameDecoder.DecodeResult<M> step = decoder.next(bytes, 0, bytes.length);
            bytes = Arrays.copyOfRange(bytes, step.consumedBytes(), bytes.length);
            if (step.message() != null) {
                return step.message();
            }
            int n = socket.getInputStream().read(more);
            if (n < 0) {
                throw new IOException("the connection was closed");
            }
            int had = bytes.length;
            bytes = Arrays.copyOf(bytes, had + n);
            System.arraycopy(more, 0, bytes, had, n);
        }
    }

    /** Whether the other side closes without a further message. */
    public boolean closed() throws IOException {
        return socket.getInputStream().read() < 0;
    }

    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    public void send(ByteBuf message) throws IOException {
        byte[] out = new byte[message.readableBytes()];
        message.readBytes(out);
        socket.getOutputStream().write(out);
    }

    /** Closes with a reset in place of an orderly end. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
