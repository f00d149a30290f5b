package wingspread.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One stream connection: cuts its bytes into messages, bounds both directions and logs its end once. */
public final class MessageHandler<M> extends ChannelInboundHandlerAdapter {
    /** Unsent bytes at which a connection whose other side does not read is given up. */
    private static final long MOST_UNSENT = 1 << 20;
    private static final Logger LOG = LoggerFactory.getLogger("connection");

    /** Whom the messages and the end of a connection concern. */
    public interface Owner<M> {
        /** A whole message; an owner may find it malformed too. */
        void received(Channel channel, M message) throws BadInput;

        /** The connection has ended. */
        void ended(Channel channel, CloseReason reason);

        /** Milliseconds without a byte after which a message that has begun counts as stopping short. */
        default long longestPause() {
            return LONGEST_PAUSE;
        }

        /**
         * Pauses that a message may take as long as bytes come. One is the least: what follows a message that has
         * stopped short is bytes as well, and is swallowed for so long.
         */
        default int mostPauses() {
            return 1;
        }

        /** Whether something is owed on the connection: meanwhile no message that stops short closes it. */
        default boolean owes(Channel channel) {
            return false;
        }
    }

    private static final long LONGEST_PAUSE = 400;

    private final String kind;
    private final FrameDecoder<M> decoder;
    private final Owner<M> owner;
    private byte[] bytes = new byte[1024];
    private int from;
    private int to;
    private long messages;
    private long received;
    /** Pauses in a row in which no message became whole. */
    private int pauses;
    private boolean awaiting;
    private CloseReason reason = CloseReason.PEER_CLOSED;
    private String detail = "";

    public MessageHandler(String kind, FrameDecoder<M> decoder, Owner<M> owner) {
        this.kind = kind;
        this.decoder = decoder;
        this.owner = owner;
    }

    /** Closes a connection for a reason of ours. */
    public static void close(Channel channel, CloseReason reason) {
        MessageHandler<?> handler = channel.pipeline().get(MessageHandler.class);
        if (handler != null && channel.isActive()) {
            handler.reason = reason;
        }
        channel.close();
    }

    /** Whether a message is there in part, or what was written has not gone out whole. */
    public static boolean busy(Channel channel) {
        MessageHandler<?> handler = channel.pipeline().get(MessageHandler.class);
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return handler != null && handler.to > handler.from || unsent != null && unsent.totalPendingWriteBytes() > 0;
    }

    /** Writes without a flush; gives up a connection whose other side does not read. */
    public static void write(Channel channel, ByteBuf message) {
        channel.write(message, channel.voidPromise());
        // Guards against a reader that has stopped: without a bound its unsent bytes would fill the memory.
        if (channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MOST_UNSENT) {
            close(channel, CloseReason.BACKLOG);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object in) {
        ByteBuf buf = (ByteBuf) in;
        try {
            take(buf);
        } finally {
            buf.release();
        }
        try {
            while (ctx.channel().isActive()) {
                FrameDecoder.Step<M> step = decoder.next(bytes, from, to);
                from += step.used();
                if (step.message() == null) {
                    awaitRest(ctx);
                    return;
                }
                messages++;
                owner.received(ctx.channel(), step.message());
            }
        } catch (BadInput e) {
            detail = " (" + e.getMessage() + ")";
            close(ctx.channel(), CloseReason.BAD_INPUT);
        }
    }

    /**
     * Guards against a message that stops short or states a length that never comes: all that follows it on its
     * connection would be waited for in vain. One that comes slowly goes on for as long as bytes come, within a bound.
     */
    private void awaitRest(ChannelHandlerContext ctx) {
        if (to > from && !awaiting) {
            awaiting = true;
            long messagesBefore = messages;
            long receivedBefore = received;
            ctx.executor().schedule(() -> {
                awaiting = false;
                pauses = messages > messagesBefore ? 0 : pauses + 1;
                boolean stopped = to > from && messages == messagesBefore
                        && (received == receivedBefore || pauses >= owner.mostPauses());
                if (stopped && !owner.owes(ctx.channel())) {
                    detail = " (a message that stops short)";
                    close(ctx.channel(), CloseReason.BAD_INPUT);
                } else {
                    awaitRest(ctx);
                }
            }, owner.longestPause(), TimeUnit.MILLISECONDS);
        }
    }

    private void take(ByteBuf buf) {
        int n = buf.readableBytes();
        received += n;
        if (to + n > bytes.length) {
            byte[] target = to - from + n > bytes.length ? new byte[Integer.highestOneBit(to - from + n) * 2] : bytes;
            System.arraycopy(bytes, from, target, 0, to - from);
            bytes = target;
            to -= from;
            from = 0;
        }
        buf.readBytes(bytes, to, n);
        to += n;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        LOG.info("{} {} ended {}{}", kind, ctx.channel().remoteAddress(), reason, detail);
        bytes = Arrays.copyOf(bytes, 0);
        from = 0;
        to = 0;
        owner.ended(ctx.channel(), reason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            // Guards against a client whose TLS cannot be read: it ends its connection, in one line.
            detail = " (" + cause.getMessage() + ")";
            close(ctx.channel(), CloseReason.BAD_INPUT);
            return;
        }
        if (!(cause instanceof IOException)) {
            LOG.error("{} {} failed", kind, ctx.channel().remoteAddress(), cause);
        }
        close(ctx.channel(), CloseReason.RESET);
    }
}
