package wingspread.testbed.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import wingspread.net.Loop;

/**
 * Callers that the platform does not count as usual: they send what cannot be read, or hold connections and never
 * finish a request. Each is owed a refusal, an error or a close, never an answer that its call stands.
 */
final class BadCallers {
    /** How long they hold a connection at the most. */
    private static final long LONGEST = 4_000_000;
    private static final Pattern ENDED = Pattern.compile("\"op\":\"end\",\"call\":\"([0-9a-f]{16})\"");
    private static final List<String> GARBAGE = List.of("nonsense\n", "{\"op\":\"offer\"\n",
            "\u0000\u0001\u0002\n",
            "{\"op\":\"offer\",\"call\":\"1\",\"with\":{\"class\":\"none\",\"left\":\"-1\"},\"desc\":\"\"}\n",
            "{\"op\":\"offer\",\"call\":\"2\",\"with\":{\"class\":\"c0\",\"left\":\"1e999\"}}\n",
            "{\"op\":\"end\",\"call\":\"ffffffffffffffff\",\"with\":{},\"why\":-9}\n", "x".repeat(17_000),
            "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "{\"op\":\"offer\",\"call\":\"3\",");

    private BadCallers() { }

    /** One that sends what cannot be read. */
    static void garbage(Loop loop, int port, SplittableRandom random, TrialLog log, String party) {
        sendAndHold(loop, port, GARBAGE.get(random.nextInt(GARBAGE.size())), log, party, call -> { });
    }

    /** One that never finishes a request; every other one has begun. */
    static void mute(Loop loop, int port, int number, TrialLog log, String party) {
        sendAndHold(loop, port, number % 2 == 0 ? "" : "{\"op\":\"off", log, party, call -> { });
    }

    /**
     * Connects, says this, and holds the connection for a while. Whatever ends a call that stands may come on it, as on
     * any connection of a caller's: {@code over} hears of these calls.
     */
    static void sendAndHold(Loop loop, int port, String text, TrialLog log, String party, Consumer<String> over) {
        new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<NioSocketChannel>() {
                    @Override
                    protected void initChannel(NioSocketChannel channel) {
                        channel.pipeline().addLast(new Listener(log, party, over));
                    }
                })
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        Channel channel = f.channel();
                        channel.writeAndFlush(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)));
                        loop.at(loop.now() + LONGEST, channel::close);
                    }
                });
    }

    /** Connects, says this, and closes with it. */
    static void sendAndClose(Loop loop, int port, String text) {
        new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        f.channel().writeAndFlush(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)))
                                .addListener(ChannelFutureListener.CLOSE);
                    }
                });
    }

    /** Hears what it is told. */
    private static final class Listener extends ChannelInboundHandlerAdapter {
        private final TrialLog log;
        private final String party;
        private final Consumer<String> over;

        Listener(TrialLog log, String party, Consumer<String> over) {
            this.over = over;
            this.log = log;
            this.party = party;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object in) {
            ByteBuf bytes = (ByteBuf) in;
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            bytes.release();
            Matcher ended = ENDED.matcher(text);
            while (ended.find()) {
                over.accept(ended.group(1));
            }
            if (text.contains("\"accept\"")) {
                log.add(party, "a bad caller is told that its call stands: " + text.strip());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
