package wingspread.testbed.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
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

    /** Set-ups that are invalid by one field; each takes an id, and a text that an exchange would read as a message. */
    private static final List<String> FORGERIES = List.of(
            "{\"op\":\"offer\",\"call\":\"%s\",\"with\":{\"class\":\"c0\",\"left\":\"900\",\"key\":\"1@net%s\","
                    + "\"extras\":\"dest:1;width:1;via:-1\"},\"desc\":\"\"}\n",
            "{\"op\":\"offer\",\"call\":\"%s%s\",\"with\":{\"class\":\"c0\",\"left\":\"900\",\"key\":\"1\","
                    + "\"extras\":\"dest:1;width:1;via:-1\"},\"desc\":\"\"}\n",
            "{\"op\":\"offer\",\"call\":\"%s\",\"with\":{\"class\":\"c0\",\"left\":\"900\",\"key\":\"1\","
                    + "\"extras\":\"dest:1;width:57;via:-1\"},\"desc\":\"%s\"}\n",
            "{\"op\":\"offer\",\"call\":\"%s\",\"with\":{\"class\":\"c0\",\"left\":\"900\",\"key\":\"1\","
                    + "\"extras\":\"dest:1;width:NaN;via:-1\"},\"desc\":\"%s\"}\n");
    private static final String FORGED_MESSAGE = " SIP/2.0\\r\\nCall-ID: %1$s\\r\\nCSeq: 1 INVITE\\r\\n"
            + "Content-Length: 0\\r\\n\\r\\nINVITE sip:1@net SIP/2.0\\r\\nCall-ID: %1$s\\r\\nCSeq: 1 INVITE\\r\\n"
            + "Content-Length: 0\\r\\n\\r\\n";
    private static final int BURST_REQUESTS = 300;
    private static final int BURST_PADDING_CHARS = 1_000;
    /** No exchange has this number, so that a set-up for it is refused. */
    private static final int UNKNOWN_PLACE = 60_000;

    private BadCallers() { }

    private static String newId(SplittableRandom random) {
        return String.format(Locale.ROOT, "%016x", random.nextLong());
    }

    /** Opens a connection and sends many large requests at once, none of which an exchange can run. */
    static void sendBurst(Loop loop, int port, SplittableRandom random, TrialLog log, String party) {
        StringBuilder requests = new StringBuilder();
        String description = "x".repeat(BURST_PADDING_CHARS);
        for (int i = 0; i < BURST_REQUESTS; i++) {
            requests.append(String.format(Locale.ROOT, "{\"op\":\"offer\",\"call\":\"%s\",\"with\":{\"class\":\"c0\","
                    + "\"left\":\"900\",\"key\":\"1\",\"extras\":\"dest:%d;width:1;via:-1\"},\"desc\":\"%s\"}\n",
                    newId(random), UNKNOWN_PLACE, description));
        }
        sendAndHold(loop, port, requests.toString(), log, party, call -> { });
    }

    /**
     * Opens a connection and sends a set-up that must not be accepted, nor lead to any message to an exchange.
     *
     * @param accepted receives what the softswitch sends if it accepts the call
     */
    static void sendForgery(Loop loop, int port, SplittableRandom random, TrialLog log, String party,
            Consumer<String> accepted) {
        String message = String.format(FORGED_MESSAGE, newId(random));
        String forgery = String.format(FORGERIES.get(random.nextInt(FORGERIES.size())), newId(random), message);
        connect(loop, port, new ResponseReader(log, party, call -> { }, accepted), channel -> {
            channel.writeAndFlush(Unpooled.wrappedBuffer(forgery.getBytes(StandardCharsets.ISO_8859_1)));
            loop.at(loop.now() + MAX_HOLD_MICROS, channel::close);
        });
    }

    private static void connect(Loop loop, int port, ChannelInboundHandlerAdapter handler,
            Consumer<Channel> connected) {
        connect(loop, port, handler, connected, () -> { });
    }

    private static void connect(Loop loop, int port, ChannelInboundHandlerAdapter handler,
            Consumer<Channel> connected, Runnable failed) {
        new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                .handler(handler)
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        connected.accept(f.channel());
                    } else {
                        failed.run();
                    }
                });
    }

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
        connect(loop, port, new ResponseReader(log, party, endedCalls, accepted -> { }), channel -> {
            channel.writeAndFlush(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)));
            loop.at(loop.now() + MAX_HOLD_MICROS, channel::close);
        });
    }

    /** Connects, sends a text, and closes the connection as soon as the text is written. */
    static void sendAndClose(Loop loop, int port, String text) {
        connect(loop, port, new ChannelInboundHandlerAdapter(), channel ->
                channel.writeAndFlush(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)))
                        .addListener(ChannelFutureListener.CLOSE));
    }

    /**
     * Connects, sends a text, and closes the connection after a while.
     *
     * @param left is run once the connection is closed, or could not be opened
     */
    static void sendAndClose(Loop loop, int port, String text, long stayMicros, Runnable left) {
        connect(loop, port, new ChannelInboundHandlerAdapter(), channel -> {
            channel.writeAndFlush(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)));
            channel.closeFuture().addListener(closed -> left.run());
            loop.at(loop.now() + stayMicros, channel::close);
        }, left);
    }

    /** Reads the softswitch's messages, and records each accepted call, which would be a fault. */
    private static final class ResponseReader extends ChannelInboundHandlerAdapter {
        private final TrialLog log;
        private final String party;
        private final Consumer<String> endedCalls;
        private final Consumer<String> accepted;

        ResponseReader(TrialLog log, String party, Consumer<String> endedCalls, Consumer<String> accepted) {
            this.endedCalls = endedCalls;
            this.accepted = accepted;
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
                accepted.accept(text.strip());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
