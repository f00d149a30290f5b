package wingspread.testing;

import io.netty.buffer.ByteBuf;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import wingspread.net.FrameDecoder;
import wingspread.net.InvalidInputException;

/** One end of a connection in a test; reads complete messages, with a timeout. */
public final class Wire<M> implements Closeable {
    private static final int READ_TIMEOUT_MS = 10_000;

    private final Socket socket;
    private final FrameDecoder<M> decoder;
    /** The received bytes that are not decoded yet. */
    private byte[] buffer = new byte[0];

    /** Wraps a connected socket, with a decoder for what the other end sends. */
    public Wire(Socket socket, FrameDecoder<M> decoder) throws IOException {
        this.socket = socket;
        this.decoder = decoder;
        socket.setSoTimeout(READ_TIMEOUT_MS);
    }

    /**
     * Waits for the next message.
     *
     * @throws IOException if the other end closes, or nothing is received for ten seconds
     */
    public M next() throws IOException, InvalidInputException {
        byte[] chunk = new byte[4_096];
        while (true) {
            FrameDecoder.DecodeResult<M> step = decoder.next(buffer, 0, buffer.length);
            buffer = Arrays.copyOfRange(buffer, step.consumedBytes(), buffer.length);
            if (step.message() != null) {
                return step.message();
            }
            int count = socket.getInputStream().read(chunk);
            if (count < 0) {
                throw new IOException("the connection was closed");
            }
            int bufferedBytes = buffer.length;
            buffer = Arrays.copyOf(buffer, bufferedBytes + count);
            System.arraycopy(chunk, 0, buffer, bufferedBytes, count);
        }
    }

    /** Waits until the other end closes, and returns false if it sends a byte before that. */
    public boolean awaitClose() throws IOException {
        return socket.getInputStream().read() < 0;
    }

    /** Sends a text whose chars each hold one byte. */
    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a text like {@link #send(String)}, unless the other end has closed. */
    public void sendUnchecked(String text) {
        try {
            send(text);
        } catch (IOException e) {
            // The other end may close at any time.
            return;
        }
    }

    /** Reads and drops whatever the other end sends until it closes, or sends nothing for ten seconds. */
    public void readUntilClosed() {
        try {
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The other end may close at any time.
            return;
        }
    }

    /** Sends an encoded message. */
    public void send(ByteBuf message) throws IOException {
        byte[] bytes = new byte[message.readableBytes()];
        message.readBytes(bytes);
        socket.getOutputStream().write(bytes);
    }

    /** Closes the connection with a reset instead of a FIN. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
