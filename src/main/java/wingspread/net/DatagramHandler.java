package wingspread.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads datagrams; what is malformed, and what the network reports, ends with its datagram. */
public final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    private static final Logger LOG = LoggerFactory.getLogger("datagram");

    /** Whom the datagrams concern. */
    @FunctionalInterface
    public interface Owner {
        void received(ChannelHandlerContext ctx, byte[] bytes, InetSocketAddress sender) throws BadInput;
    }

    private final String kind;
    private final Owner owner;

    public DatagramHandler(String kind, Owner owner) {
        this.kind = kind;
        this.owner = owner;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        ByteBuf content = packet.content();
        byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        try {
            owner.received(ctx, bytes, packet.sender());
        } catch (BadInput e) {
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
