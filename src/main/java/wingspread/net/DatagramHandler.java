package wingspread.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Receives datagrams. A malformed datagram or a network error is logged and does not affect later datagrams. */
public final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    private static final Logger LOG = LoggerFactory.getLogger("datagram");

    /** Receives the datagrams. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Processes a datagram.
         *
         * @throws InvalidInputException if the datagram is malformed; it is dropped
         */
        void received(ChannelHandlerContext ctx, byte[] bytes, InetSocketAddress sender) throws InvalidInputException;
    }

    private final String kind;
    private final Listener listener;

    /**
     * Creates a handler.
     *
     * @param kind name of the endpoint in the log
     */
    public DatagramHandler(String kind, Listener listener) {
        this.kind = kind;
        this.listener = listener;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        ByteBuf content = packet.content();
        byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        try {
            listener.received(ctx, bytes, packet.sender());
        } catch (InvalidInputException e) {
            LOG.info("{} {} dropped {} ({})", kind, packet.sender(), CloseReason.BAD_INPUT, e.getMessage());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            LOG.info("{}: {}", kind, cause.toString());
        } else {
            ctx.fireExceptionCaught(cause);
        }
    }
}
