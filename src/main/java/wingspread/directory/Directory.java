package wingspread.directory;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl.ListKind;
import wingspread.net.DatagramHandler;
import wingspread.net.Loop;

/**
 * The sockets to the directory, over UDP and TCP. {@link DirectoryClient} decides which queries are sent and when.
 */
public final class Directory {
    private static final Logger LOG = LoggerFactory.getLogger(Directory.class);
    /** Maximum size of a DNS message, over UDP and over TCP. */
    private static final int MAX_MESSAGE_BYTES = 65_535;
    private static final int TCP_CONNECT_TIMEOUT_MS = 500;

    private final Loop loop;
    private final DirectoryClient client;
    /** The UDP channel to the directory server; null until the first server has been set. */
    private Channel server;

    /**
     * Creates a directory client that has no server yet.
     *
     * @param zones names of the zones; the position of a name is the zone's index
     * @param kinds names of the kinds of exchange; the position of a name is the kind's index
     * @param seed seed of the random query ids
     * @param listener receives the cached list and every later change
     */
    public Directory(Loop loop, List<String> zones, List<String> kinds, long seed,
            BiConsumer<ListKind, List<DirectoryEntry>> listener) {
        this.loop = loop;
        this.client = new DirectoryClient(new Roster(zones, kinds), new SplittableRandom(seed), new SocketTransport(),
                listener);
    }

    /** Loads the cached list of exchanges from the configuration. */
    public void loadCached(Map<?, ?> cached) {
        client.loadCached(cached);
    }

    /**
     * Switches to the directory server at this address. The list and its serial number are kept. If the address cannot
     * be used, the client continues to query the previous server.
     */
    public void setServer(InetSocketAddress address) {
        new Bootstrap().group(loop.group()).channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_MESSAGE_BYTES))
                .handler(new DatagramHandler("directory",
                        (ctx, bytes, sender) -> client.handleMessage(loop.now(), bytes)))
                .connect(address)
                .addListener((ChannelFuture future) -> {
                    if (future.isSuccess()) {
                        Channel previous = server;
                        server = future.channel();
                        if (previous != null) {
                            previous.close();
                        }
                        LOG.info("querying the directory at {}", address);
                        queryPeriodically(server);
                    } else {
                        LOG.error("cannot query the directory at {}: {}", address, future.cause().toString());
                    }
                });
    }

    private void queryPeriodically(Channel channel) {
        if (channel == server) {
            client.queryList(loop.now());
            loop.at(loop.now() + DirectoryClient.QUERY_INTERVAL_MICROS, () -> queryPeriodically(channel));
        }
    }

    /** Sends the queries of the client over UDP and TCP. */
    private final class SocketTransport implements DirectoryClient.Transport {
        @Override
        public void send(byte[] query) {
            server.writeAndFlush(Unpooled.wrappedBuffer(query));
        }

        @Override
        public void sendOverTcp(byte[] query) {
            new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TCP_CONNECT_TIMEOUT_MS)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline().addLast(new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, 2, 0, 2),
                                    new LengthFieldPrepender(2), new TcpResponseHandler());
                        }
                    })
                    .connect(server.remoteAddress())
                    .addListener((ChannelFuture future) -> {
                        if (future.isSuccess()) {
                            loop.at(loop.now() + DirectoryClient.TCP_TIMEOUT_MICROS - TCP_CONNECT_TIMEOUT_MS * 1_000L,
                                    future.channel()::close);
                            future.channel().writeAndFlush(Unpooled.wrappedBuffer(query))
                                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
                        }
                    });
        }
    }

    /** Reads the single response on a TCP connection and closes the connection. */
    private final class TcpResponseHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf response) {
            client.handleMessage(loop.now(), ByteBufUtil.getBytes(response));
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            client.handleDecodeError(cause.toString());
            ctx.close();
        }
    }
}
