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
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles one stream connection: splits the received bytes into messages, limits both the unprocessed input and the
 * unsent output, and logs the end of the connection in a single line.
 *
 * <p>With an {@link InputScheduler}, received bytes are buffered until the scheduler lets the connection process a
 * message; beyond a limit they are left to the operating system, whose flow control then holds the peer back.
 *
 * @param <M> type of the messages
 */
public final class MessageHandler<M> extends ChannelInboundHandlerAdapter implements InputScheduler.Source {
    /** Size of a single read; the default would grow with the input of a peer, up to four times this size. */
    public static final int READ_BYTES = 16 * 1024;
    /** Unsent bytes above which a connection is closed because the peer does not read. */
    private static final long MAX_UNSENT_BYTES = 1 << 20;
    /**
     * Unprocessed bytes from which on a connection is not read, unless they are an incomplete message. Only a
     * connection that is read ahead of its processing shows that its peer has left.
     */
    public static final int MAX_READ_AHEAD_BYTES = 1 << 20;
    /** The longest incomplete message, with the read that exceeds it. */
    private static final int MAX_INCOMPLETE_BYTES = FrameDecoder.MAX_FRAME + READ_BYTES;
    /** Initial size of the buffer, to which a larger one returns when it is empty. */
    private static final int INITIAL_BUFFER_BYTES = 1024;
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

        /** Returns how many messages the connection may process in one round of an {@link InputScheduler}. */
        default int messagesPerRound() {
            return DEFAULT_MESSAGES_PER_ROUND;
        }

        /**
         * Whether the peer is a client, which may send anything at any rate. The messages of a client wait while it
         * does not read its replies, and those that are left when its connection ends are delivered after
         * {@link #ended}, in the turns of the {@link InputScheduler}; those of other peers are delivered before it.
         */
        default boolean isPeerClient() {
            return false;
        }

        /** Whether a message that is not processed when its connection ends is dropped, as its sender has left. */
        default boolean isObsoleteAfterEnd(M message) {
            return false;
        }

        /** Whether a reply is pending on the connection; until it is sent, no incomplete message closes it. */
        default boolean hasPendingReply(Channel channel) {
            return false;
        }
    }

    private static final long DEFAULT_MAX_PAUSE_MS = 400;
    private static final int DEFAULT_MESSAGES_PER_ROUND = 16;
    /** Time for which a connection may wait for its peer to read replies, in milliseconds. */
    private static final long MAX_UNREAD_REPLIES_MS = 3_000;

    private final String kind;
    private final FrameDecoder<M> decoder;
    private final Listener<M> listener;
    /** Null if messages are processed as soon as they are read. */
    private final InputScheduler scheduler;
    private ChannelHandlerContext context;
    private byte[] bytes = new byte[INITIAL_BUFFER_BYTES];
    private int readIndex;
    private int writeIndex;
    /** Number of unprocessed bytes in which the decoder has found no complete message. */
    private int examinedBytes;
    /** Number of unprocessed bytes without which no message is complete; 0 if unknown. */
    private int requiredBytes;
    /** Whether the scheduler has this connection in its queue. */
    private boolean scheduled;
    /** Whether the listener was told of the end of the connection. */
    private boolean ended;
    private long messageCount;
    private long receivedBytes;
    /** Consecutive check intervals in which no message was completed. */
    private int incompletePauses;
    /** The next check for an incomplete message; null if none is scheduled. */
    private ScheduledFuture<?> incompleteMessageCheck;
    /** Closes a connection whose peer does not close it after {@link #closeOutput}; null before that. */
    private ScheduledFuture<?> halfCloseTimeout;
    /** Closes a connection whose peer does not read its replies; null while it does. */
    private ScheduledFuture<?> unreadRepliesTimeout;
    private CloseReason closeReason = CloseReason.PEER_CLOSED;
    private String closeDetail = "";

    /**
     * Creates the handler of one connection that processes messages as soon as they are read.
     *
     * @param kind name of the peer in the log
     */
    public MessageHandler(String kind, FrameDecoder<M> decoder, Listener<M> listener) {
        this(kind, decoder, listener, null);
    }

    /**
     * Creates the handler of one connection.
     *
     * @param kind name of the peer in the log
     * @param scheduler decides when messages are processed; null for as soon as they are read
     */
    public MessageHandler(String kind, FrameDecoder<M> decoder, Listener<M> listener, InputScheduler scheduler) {
        this.kind = kind;
        this.decoder = decoder;
        this.listener = listener;
        this.scheduler = scheduler;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
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

    /** Writes without a flush, unless the connection has ended; closes it if its peer does not read. */
    public static void write(Channel channel, ByteBuf message) {
        if (!channel.isActive()) {
            message.release();
            return;
        }
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
        if (scheduler != null) {
            schedule();
            return;
        }
        while (ctx.channel().isActive() && processNext() > 0) {
            // Continue with the next message.
        }
    }

    /** Lets the connection process its input in the next turn, and reads no more of it beyond the limit. */
    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            scheduler.add(this);
        }
        if (unprocessedBytes() >= readAheadLimit()) {
            context.channel().config().setAutoRead(false);
        }
    }

    private int readAheadLimit() {
        return scheduler.mayReadAhead() ? MAX_READ_AHEAD_BYTES : FrameDecoder.MAX_FRAME;
    }

    @Override
    public int messagesPerRound() {
        return listener.messagesPerRound();
    }

    @Override
    public int processNext() {
        Channel channel = context.channel();
        if (ended) {
            return processNextAfterEnd();
        }
        if (!channel.isActive() || listener.isPeerClient() && !channel.isWritable()) {
            scheduled = false;
            return 0;
        }
        int before = unprocessedBytes();
        M message = nextMessage();
        if (message == null) {
            scheduled = false;
            scheduleIncompleteMessageCheck(context);
        } else {
            deliver(message);
        }
        if (channel.isActive() && (message == null || scheduler != null && unprocessedBytes() < readAheadLimit() / 2)) {
            channel.config().setAutoRead(true);
        }
        return message == null ? 0 : Math.max(1, before - unprocessedBytes());
    }

    private int processNextAfterEnd() {
        int before = unprocessedBytes();
        M message = nextMessage();
        if (message == null) {
            scheduled = false;
            dropInput();
            return 0;
        }
        if (!listener.isObsoleteAfterEnd(message)) {
            deliver(message);
        }
        return before - unprocessedBytes();
    }

    /** Decodes the next message; returns null if none is complete, or if the connection was closed for bad input. */
    private M nextMessage() {
        if (unprocessedBytes() < requiredBytes) {
            return null;
        }
        try {
            FrameDecoder.DecodeResult<M> decoded =
                    decoder.next(bytes, readIndex, readIndex + examinedBytes, writeIndex);
            consume(decoded.consumedBytes());
            requiredBytes = decoded.requiredBytes();
            examinedBytes = decoded.message() != null || requiredBytes > 0 ? 0 : unprocessedBytes();
            return decoded.message();
        } catch (InvalidInputException e) {
            closeForBadInput(e.getMessage());
            return null;
        }
    }

    private void deliver(M message) {
        messageCount++;
        boolean handled = false;
        try {
            listener.received(context.channel(), message);
            handled = true;
        } catch (InvalidInputException e) {
            handled = true;
            closeForBadInput(e.getMessage());
        } finally {
            if (!handled) {
                closeDetail = " (defect)";
                close(context.channel(), CloseReason.RESET);
            }
        }
    }

    private void closeForBadInput(String problem) {
        closeDetail = " (" + problem + ")";
        dropInput();
        close(context.channel(), CloseReason.BAD_INPUT);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (scheduler != null && listener.isPeerClient()) {
            if (unreadRepliesTimeout != null) {
                unreadRepliesTimeout.cancel(false);
                unreadRepliesTimeout = null;
            }
            if (ctx.channel().isWritable()) {
                schedule();
            } else {
                unreadRepliesTimeout = ctx.executor().schedule(() -> close(ctx.channel(), CloseReason.BACKLOG),
                        MAX_UNREAD_REPLIES_MS, TimeUnit.MILLISECONDS);
            }
        }
        ctx.fireChannelWritabilityChanged();
    }

    private int unprocessedBytes() {
        return writeIndex - readIndex;
    }

    private void consume(int count) {
        readIndex += count;
        bufferedBytesChanged(-count);
        if (readIndex == writeIndex) {
            readIndex = 0;
            writeIndex = 0;
            if (bytes.length > READ_BYTES) {
                bytes = new byte[INITIAL_BUFFER_BYTES];
            }
        }
    }

    private void bufferedBytesChanged(int difference) {
        if (scheduler != null) {
            scheduler.bufferedBytesChanged(difference);
        }
    }

    private void dropInput() {
        consume(unprocessedBytes());
        examinedBytes = 0;
        requiredBytes = 0;
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
                boolean timedOut = hasIncompleteMessage() && messageCount == messageCountBefore
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

    /** Whether the unprocessed bytes are the beginning of a message, and not messages that wait to be processed. */
    private boolean hasIncompleteMessage() {
        int unprocessed = unprocessedBytes();
        return unprocessed > 0 && (examinedBytes == unprocessed || unprocessed < requiredBytes);
    }

    private void append(ByteBuf data) {
        int added = data.readableBytes();
        receivedBytes += added;
        bufferedBytesChanged(added);
        if (writeIndex + added > bytes.length) {
            makeRoom(unprocessedBytes() + added);
        }
        data.readBytes(bytes, writeIndex, added);
        writeIndex += added;
    }

    /** Moves the unprocessed bytes to the start of a buffer that holds at least this number of bytes. */
    private void makeRoom(int required) {
        byte[] target = bytes;
        if (required > bytes.length) {
            // Doubled, but for hundreds of connections that buffer one incomplete message each.
            boolean readsAhead = required > MAX_INCOMPLETE_BYTES;
            int doubled = readsAhead ? bytes.length * 2 : Math.min(bytes.length * 2, MAX_INCOMPLETE_BYTES);
            target = new byte[Math.max(required, doubled)];
        }
        System.arraycopy(bytes, readIndex, target, 0, unprocessedBytes());
        bytes = target;
        writeIndex -= readIndex;
        readIndex = 0;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        LOG.info("{} {} ended {}{} local-port={}", kind, ctx.channel().remoteAddress(), closeReason, closeDetail,
                localPort(ctx.channel()));
        boolean restFollows = scheduler != null && listener.isPeerClient() && unprocessedBytes() > 0;
        if (!restFollows) {
            deliverRest();
            dropInput();
        }
        if (incompleteMessageCheck != null) {
            // The check would keep the closed channel until its time.
            incompleteMessageCheck.cancel(false);
        }
        if (halfCloseTimeout != null) {
            halfCloseTimeout.cancel(false);
        }
        if (unreadRepliesTimeout != null) {
            unreadRepliesTimeout.cancel(false);
        }
        ended = true;
        listener.ended(ctx.channel(), closeReason);
        if (restFollows && !scheduled) {
            scheduled = true;
            scheduler.add(this);
        }
    }

    /** Delivers what was received before the connection ended, except for what its sender no longer waits for. */
    private void deliverRest() {
        for (M message = nextMessage(); message != null; message = nextMessage()) {
            if (!listener.isObsoleteAfterEnd(message)) {
                deliver(message);
            }
        }
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
