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
 * Misbehaving callers outside the regular load: they send malformed input, or hold connections without ever finishing a
 * request. The softswitch has to refuse the request, report an error or close the connection, and must never accept a
 * call of theirs.
 */
final class BadCallers {
    /** Time after which these callers close their connection at the latest. */
    private static final long MAX_HOLD_MICROS = 4_000_000;
    private static final Pattern END_MESSAGE = Pattern.compile("\"op\":\"end\",\"call\":\"([0-9a-f]{16})\"");
    private static final List<String> INVALID_INPUTS = List.of("nonsense\n", "{\"op\":\"offer\"\n",
            "\u0000\u0001\u0002\n",
            "{\"op\":\"offer\",\"call\":\"1\",\"with\":{\"class\":\"none\",\"left\":\"-1\"},\"desc\":\"\"}\n",
            "{\"op\":\"offer\",\"call\":\"2\",\"with\":{\"class\":\"c0\",\"left\":\"1e999\"}}\n",
            "{\"op\":\"end\",\"call\":\"ffffffffffffffff\",\"with\":{},\"why\":-9}\n", "x".repeat(17_000),
            "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "{\"op\":\"offer\",\"call\":\"3\",");

    private BadCallers() { }

    /** Opens a connection and sends malformed input. */
    static void sendGarbage(Loop loop, int port, SplittableRandom random, TrialLog log, String party) {
        sendAndHold(loop, port, INVALID_INPUTS.get(random.nextInt(INVALID_INPUTS.size())), log, party, call -> { });
    }

    /**
     * Opens a connection and never finishes a request.
     *
     * @param number number of the caller; callers with an odd number send the beginning of a request
     */
    static void holdUnfinishedRequest(Loop loop, int port, int number, TrialLog log, String party) {
        sendAndHold(loop, port, number % 2 == 0 ? "" : "{\"op\":\"off", log, party, call -> { });
    }

    /**
     * Connects, sends a text, and holds the connection for a while.
     *
     * @param endedCalls receives the ids of the calls whose end is reported on this connection; the softswitch may
     *     report the end of an established call on any connection of a caller
     */
    static void sendAndHold(Loop loop, int port, String text, TrialLog log, String party,
            Consumer<String> endedCalls) {
        new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<NioSocketChannel>() {
                    @Override
                    protected void initChannel(NioSocketChannel channel) {
                        channel.pipeline().addLast(new ResponseReader(log, party, endedCalls));
                    }
                })
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        Channel channel = f.channel();
                        channel.writeAndFlush(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)));
                        loop.at(loop.now() + MAX_HOLD_MICROS, channel::close);
                    }
                });
    }

    /** Connects, sends a text, and closes the connection as soon as the text is written. */
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

    /** Reads the softswitch's messages, and records each accepted call, which would be a fault. */
    private static final class ResponseReader extends ChannelInboundHandlerAdapter {
        private final TrialLog log;
        private final String party;
        private final Consumer<String> endedCalls;

        ResponseReader(TrialLog log, String party, Consumer<String> endedCalls) {
            this.endedCalls = endedCalls;
            this.log = log;
            this.party = party;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object in) {
            ByteBuf bytes = (ByteBuf) in;
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            bytes.release();
            Matcher ended = END_MESSAGE.matcher(text);
            while (ended.find()) {
                endedCalls.accept(ended.group(1));
            }
            if (text.contains("\"accept\"")) {
                log.add(party, "a bad caller's call is accepted: " + text.strip());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
