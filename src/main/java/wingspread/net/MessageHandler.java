package wingspread.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles one stream connection: splits the received bytes into messages, limits both the incomplete input and the
 * unsent output, and logs the end of the connection in a single line.
 *
 * @param <M> type of the messages
 */
public final class MessageHandler<M> extends ChannelInboundHandlerAdapter {
    /** Unsent bytes above which a connection is closed because the peer does not read. */
    private static final long MAX_UNSENT_BYTES = 1 << 20;
    private static final Logger LOG = LoggerFactory.getLogger("connection");

    /**
     * Receives the messages and the end of a connection.
     *
     * @param <M> type of the messages
     */
    public interface Listener<M> {
        /**
         * Processes a complete message.
         *
         * @throws InvalidInputException if the message is malformed; the connection is closed
         */
        void received(Channel channel, M message) throws InvalidInputException;

        /** The connection has ended. */
        void ended(Channel channel, CloseReason reason);

        /** Returns the time in milliseconds without a byte after which an incomplete message closes its connection. */
        default long maxPauseMillis() {
            return DEFAULT_MAX_PAUSE_MS;
        }

        /**
         * Returns how many intervals of {@link #maxPauseMillis} a message may take in total as long as bytes keep
         * arriving. The default is 1, the minimum, since the messages after a truncated one also count as arriving
         * bytes and are lost until the connection is closed.
         */
        default int maxPauses() {
            return 1;
        }

        /** Whether a reply is pending on the connection; until it is sent, no incomplete message closes it. */
        default boolean hasPendingReply(Channel channel) {
            return false;
        }
    }

    private static final long DEFAULT_MAX_PAUSE_MS = 400;

    private final String kind;
    private final FrameDecoder<M> decoder;
    private final Listener<M> listener;
    private byte[] bytes = new byte[1024];
    private int readIndex;
    private int writeIndex;
    private long messageCount;
    private long receivedBytes;
    /** Consecutive check intervals in which no message was completed. */
    private int incompletePauses;
    /** The next check for an incomplete message; null if none is scheduled. */
    private ScheduledFuture<?> incompleteMessageCheck;
    /** Closes a connection whose peer does not close it after {@link #closeOutput}; null before that. */
    private ScheduledFuture<?> halfCloseTimeout;
    private CloseReason closeReason = CloseReason.PEER_CLOSED;
    private String closeDetail = "";

    /**
     * Creates the handler of one connection.
     *
     * @param kind name of the peer in the log
     */
    public MessageHandler(String kind, FrameDecoder<M> decoder, Listener<M> listener) {
        this.kind = kind;
        this.decoder = decoder;
        this.listener = listener;
    }

    /** Closes a connection and logs this reason with its end. */
    public static void close(Channel channel, CloseReason reason) {
        MessageHandler<?> handler = channel.pipeline().get(MessageHandler.class);
        if (handler != null && channel.isActive()) {
            handler.closeReason = reason;
        }
        channel.close();
    }

    /**
     * Closes a connection for sending once all written data is sent, and goes on reading it until the peer closes it
     * too.
     *
     * @param reason is logged with its end
     * @param maxMicros the time after which it is closed in any case, as {@link CloseReason#UNCONFIRMED}
     */
    public static void closeOutput(Channel channel, CloseReason reason, long maxMicros) {
        MessageHandler<?> handler = channel.pipeline().get(MessageHandler.class);
        if (handler == null || !channel.isActive() || !(channel instanceof DuplexChannel duplex)) {
            close(channel, reason);
            return;
        }
        handler.closeReason = reason;
        channel.flush();
        duplex.shutdownOutput();
        handler.halfCloseTimeout = channel.eventLoop().schedule(() -> close(channel, CloseReason.UNCONFIRMED),
                maxMicros, TimeUnit.MICROSECONDS);
    }

    /** Returns the local port of a connection, which identifies it in the log; 0 if it is not known. */
    public static int localPort(Channel channel) {
        return channel.localAddress() instanceof InetSocketAddress address ? address.getPort() : 0;
    }

    /** Whether a message has been received in part, or written data has not been sent completely. */
    public static boolean hasPendingData(Channel channel) {
        MessageHandler<?> handler = channel.pipeline().get(MessageHandler.class);
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return handler != null && handler.writeIndex > handler.readIndex
                || unsent != null && unsent.totalPendingWriteBytes() > 0;
    }

    /** Writes without a flush; closes the connection if its peer does not read. */
    public static void write(Channel channel, ByteBuf message) {
        channel.write(message, channel.voidPromise());
        // If the peer stopped reading, the unsent bytes would fill up the memory without a limit.
        if (channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_UNSENT_BYTES) {
            close(channel, CloseReason.BACKLOG);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object input) {
        ByteBuf data = (ByteBuf) input;
        try {
            append(data);
        } finally {
            data.release();
        }
        try {
            while (ctx.channel().isActive()) {
                FrameDecoder.DecodeResult<M> decoded = decoder.next(bytes, readIndex, writeIndex);
                readIndex += decoded.consumedBytes();
                if (decoded.message() == null) {
                    scheduleIncompleteMessageCheck(ctx);
                    return;
                }
                messageCount++;
                listener.received(ctx.channel(), decoded.message());
            }
        } catch (InvalidInputException e) {
            closeDetail = " (" + e.getMessage() + ")";
            close(ctx.channel(), CloseReason.BAD_INPUT);
        }
    }

    /**
     * Closes the connection if a message is truncated, or announces a length that never arrives: everything that
     * follows on the connection would be taken for the rest of that message. A message that arrives slowly may
     * continue as long as bytes keep arriving, up to a limit.
     */
    private void scheduleIncompleteMessageCheck(ChannelHandlerContext ctx) {
        if (writeIndex > readIndex && incompleteMessageCheck == null) {
            long messageCountBefore = messageCount;
            long receivedBytesBefore = receivedBytes;
            incompleteMessageCheck = ctx.executor().schedule(() -> {
                incompleteMessageCheck = null;
                incompletePauses = messageCount > messageCountBefore ? 0 : incompletePauses + 1;
                boolean timedOut = writeIndex > readIndex && messageCount == messageCountBefore
                        && (receivedBytes == receivedBytesBefore || incompletePauses >= listener.maxPauses());
                if (timedOut && !listener.hasPendingReply(ctx.channel())) {
                    closeDetail = " (incomplete message)";
                    close(ctx.channel(), CloseReason.BAD_INPUT);
                } else {
                    scheduleIncompleteMessageCheck(ctx);
                }
            }, listener.maxPauseMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void append(ByteBuf data) {
        int added = data.readableBytes();
        receivedBytes += added;
        if (writeIndex + added > bytes.length) {
            byte[] target = writeIndex - readIndex + added > bytes.length
                    ? new byte[Integer.highestOneBit(writeIndex - readIndex + added) * 2] : bytes;
            System.arraycopy(bytes, readIndex, target, 0, writeIndex - readIndex);
            bytes = target;
            writeIndex -= readIndex;
            readIndex = 0;
        }
        data.readBytes(bytes, writeIndex, added);
        writeIndex += added;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        LOG.info("{} {} ended {}{} local-port={}", kind, ctx.channel().remoteAddress(), closeReason, closeDetail,
                localPort(ctx.channel()));
        bytes = Arrays.copyOf(bytes, 0);
        readIndex = 0;
        writeIndex = 0;
        if (incompleteMessageCheck != null) {
            // The check would keep the closed channel until its time.
            incompleteMessageCheck.cancel(false);
        }
        if (halfCloseTimeout != null) {
            halfCloseTimeout.cancel(false);
        }
        listener.ended(ctx.channel(), closeReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            // A TLS record that cannot be decoded closes the connection with a single log line.
            closeDetail = " (" + cause.getMessage() + ")";
            close(ctx.channel(), CloseReason.BAD_INPUT);
            return;
        }
        if (!(cause instanceof IOException)) {
            LOG.error("{} {} failed", kind, ctx.channel().remoteAddress(), cause);
        }
        closeDetail = " (" + cause.getMessage() + ")";
        // A peer may answer a close for sending with a reset.
        close(ctx.channel(), halfCloseTimeout == null ? CloseReason.RESET : closeReason);
    }
}
