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

/** The sockets to the directory, over UDP and TCP. What is asked and when, a {@link DirectoryClient} decides. */
public final class Directory {
    private static final Logger LOG = LoggerFactory.getLogger(Directory.class);
    /** The longest message there can be, over UDP and over TCP. */
    private static final int LONGEST_ANSWER = 65_535;
    private static final int TCP_CONNECT_MS = 500;

    private final Loop loop;
    private final DirectoryClient client;
    /** Where the directory is asked; null before the first. */
    private Channel server;

    public Directory(Loop loop, List<String> zones, List<String> kinds, long seed,
            BiConsumer<ListKind, List<Listing>> told) {
        this.loop = loop;
        this.client = new DirectoryClient(new Roster(zones, kinds), new SplittableRandom(seed), new Sockets(), told);
    }

    /** Takes the events of the start, as the configuration keeps them. */
    public void known(Map<?, ?> known) {
        client.known(known);
    }

    /**
     * Asks the directory at this address from now on, in place of the one asked before; the list and its serial
     * number carry on. Guards against an address that cannot be used: the one before it is then asked further.
     */
    public void follow(InetSocketAddress address) {
        new Bootstrap().group(loop.group()).channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(LONGEST_ANSWER))
                .handler(new DatagramHandler("directory", (ctx, bytes, sender) -> client.heard(loop.now(), bytes)))
                .connect(address)
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        Channel before = server;
                        server = f.channel();
                        if (before != null) {
                            before.close();
                        }
                        LOG.info("the directory is asked at {}", address);
                        ask(server);
                    } else {
                        LOG.error("the directory cannot be asked at {}: {}", address, f.cause().toString());
                    }
                });
    }

    private void ask(Channel channel) {
        if (channel == server) {
            client.ask(loop.now());
            loop.at(loop.now() + DirectoryClient.ASK_EVERY, () -> ask(channel));
        }
    }

    /** Sends the client's questions. */
    private final class Sockets implements DirectoryClient.Transport {
        @Override
        public void send(byte[] question) {
            server.writeAndFlush(Unpooled.wrappedBuffer(question));
        }

        @Override
        public void sendOverTcp(byte[] question) {
            new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TCP_CONNECT_MS)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline().addLast(new LengthFieldBasedFrameDecoder(LONGEST_ANSWER, 0, 2, 0, 2),
                                    new LengthFieldPrepender(2), new OneAnswer());
                        }
                    })
                    .connect(server.remoteAddress())
                    .addListener((ChannelFuture f) -> {
                        if (f.isSuccess()) {
                            loop.at(loop.now() + DirectoryClient.TCP_TAKES - TCP_CONNECT_MS * 1_000L,
                                    f.channel()::close);
                            f.channel().writeAndFlush(Unpooled.wrappedBuffer(question))
                                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
                        }
                    });
        }
    }

    /** Reads the one answer of a connection. */
    private final class OneAnswer extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf answer) {
            client.heard(loop.now(), ByteBufUtil.getBytes(answer));
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            client.unreadable(cause.toString());
            ctx.close();
        }
    }
}
