package wingspread.testbed.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wingspread.net.DatagramHandler;
import wingspread.net.Loop;
import wingspread.testbed.NameServer;
import wingspread.testbed.NameServer.Named;
import wingspread.testbed.Ports;

/**
 * The directory that one softswitch asks, over UDP and TCP at one port, which can answer wrongly in several ways. It
 * can move to another port; the old one then answers no longer. Confined to the loop.
 */
final class DirectoryStandIn {
    private static final int HEADER = 12;
    private static final int LONGEST = 65_535;
    private static final int MOST_UDP = 8_000;
    /** Answers that are marked as truncated hold no more bytes than this. */
    private static final int TRUNCATED_TO = 300;
    private static final int MOST_EARLIER = 8;
    private static final int SERVER_FAILURE = 2;

    /** How it answers. */
    enum Mode { GOOD, SILENT, LATE, CUT, TRUNCATED, OLD, WRONG_ID, ERROR }

    /** The list as it was. */
    private record Earlier(int serial, List<Named> list) { }

    private final Loop loop;
    private final int softswitch;
    private final TrialLog log;
    private final Judge judge;
    private final Map<String, Named> named = new LinkedHashMap<>();
    private final ArrayDeque<Earlier> earlier = new ArrayDeque<>();
    private int serial = 1;
    private Mode mode = Mode.GOOD;
    private long lateBy;
    private Channel datagrams;
    private Channel streams;
    private int port;
    private int toldLast;

    DirectoryStandIn(Loop loop, int softswitch, TrialLog log, Judge judge) throws IOException {
        this.loop = loop;
        this.softswitch = softswitch;
        this.log = log;
        this.judge = judge;
        open();
    }

    /** Where it answers now. */
    int port() {
        return port;
    }

    /** The list as it is now. */
    Collection<Named> list() {
        return List.copyOf(named.values());
    }

    /** Names an exchange, or another state of it. */
    void name(Named one) {
        keep();
        named.put(one.uid(), one);
    }

    /** Names it no longer. */
    void remove(String uid) {
        keep();
        named.remove(uid);
    }

    private void keep() {
        earlier.add(new Earlier(serial, List.copyOf(named.values())));
        if (earlier.size() > MOST_EARLIER) {
            earlier.remove();
        }
        serial++;
    }

    void answers(Mode how, long micros) {
        mode = how;
        lateBy = micros;
    }

    /** Answers at another port from now on, and no longer at this one. */
    void move() throws IOException {
        close();
        open();
    }

    void close() {
        datagrams.close();
        streams.close();
    }

    private void open() throws IOException {
        port = Ports.free();
        InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        streams = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        connection.pipeline().addLast(new LengthFieldBasedFrameDecoder(LONGEST, 0, 2, 0, 2),
                                new LengthFieldPrepender(2), new OverTcp());
                    }
                })
                .bind(at).addListener(judge::bound).channel();
        datagrams = new Bootstrap().group(loop.group()).channel(NioDatagramChannel.class)
                .handler(new DatagramHandler("stand-in directory", (ctx, question, sender) -> answer(question, MOST_UDP,
                        bytes -> ctx.writeAndFlush(new DatagramPacket(bytes, sender)))))
                .bind(at).addListener(judge::bound).channel();
    }

    /** Answers the questions of one connection. */
    private final class OverTcp extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf question) {
            answer(ByteBufUtil.getBytes(question), LONGEST, ctx::writeAndFlush);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sends an answer. */
    private interface Sender {
        void send(ByteBuf answer);
    }

    private void answer(byte[] question, int most, Sender sender) {
        if (question.length < HEADER || mode == Mode.SILENT) {
            return;
        }
        Earlier old = mode == Mode.OLD && !earlier.isEmpty() ? earlier.peek() : null;
        boolean overUdp = most == MOST_UDP;
        byte[] answer = old != null ? NameServer.answer(question, old.serial(), old.list(), most)
                : NameServer.answer(question, serial, named.values(),
                        mode == Mode.TRUNCATED && overUdp ? TRUNCATED_TO : most);
        boolean good = old == null;
        switch (mode) {
            case CUT -> {
                answer = Arrays.copyOf(answer, answer.length / 2);
                good = false;
            }
            case WRONG_ID -> {
                answer[0] ^= 0x55;
                good = false;
            }
            case ERROR -> {
                answer[3] |= SERVER_FAILURE;
                good = false;
            }
            default -> good &= mode != Mode.TRUNCATED || !overUdp;
        }
        boolean whole = good;
        int held = serial;
        ByteBuf bytes = Unpooled.wrappedBuffer(answer);
        int askedAt = port;
        loop.at(loop.now() + (mode == Mode.LATE ? lateBy : 0), () -> {
            if (whole && askedAt == port) {
                if (held != toldLast) {
                    toldLast = held;
                    log.add("directory of n" + softswitch, "answers with serial " + held);
                }
                judge.listTold(softswitch, held);
            }
            sender.send(bytes);
        });
    }

    /** The number of the last event. */
    int serial() {
        return serial;
    }
}
