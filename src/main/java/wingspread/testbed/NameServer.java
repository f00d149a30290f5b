package wingspread.testbed;

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
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import wingspread.control.CallControl.Readiness;
import wingspread.net.InvalidInputException;
import wingspread.net.DatagramHandler;
import wingspread.net.Loop;

/** The stand-in for the directory that one softswitch asks: DNS answers with SRV, A, TXT and SOA (RFC 1035, 2782). */
public final class NameServer {
    private static final int HEADER = 12;
    private static final int A = 1;
    private static final int SOA = 6;
    private static final int TXT = 16;
    private static final int SRV = 33;
    private static final int CLASS_IN = 1;
    private static final String[] SERVICE = {"_back", "_tcp", "pool", "lan"};

    /** An exchange as the directory names it; {@code startedMs} in Unix milliseconds, 0 for long past. */
    public record Named(String uid, String zone, int place, int port, Readiness readiness, long startedMs) { }

    /** Bytes of an answer over UDP; a longer list is cut after its last whole exchange, and had whole over TCP. */
    private static final int MOST_UDP = 8_000;
    private static final int TRUNCATED = 0x0200;
    private static final int LONGEST = 65_535;

    private final Channel channel;
    private final Channel whole;
    private final Map<String, Named> named = new LinkedHashMap<>();
    private int serial = 1;

    /** Answers at a free port of the loopback, the same one over UDP and over TCP. */
    NameServer(Loop loop) {
        InetAddress local = InetAddress.getLoopbackAddress();
        whole = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        connection.pipeline().addLast(new LengthFieldBasedFrameDecoder(LONGEST, 0, 2, 0, 2),
                                new LengthFieldPrepender(2), new WholeAnswer());
                    }
                })
                .bind(new InetSocketAddress(local, 0)).syncUninterruptibly().channel();
        channel = new Bootstrap().group(loop.group()).channel(NioDatagramChannel.class)
                .handler(new DatagramHandler("name server", (ctx, bytes, sender) ->
                        ctx.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(
                                answer(checked(bytes), serial, named.values(), MOST_UDP)), sender))))
                .bind(new InetSocketAddress(local, ((InetSocketAddress) whole.localAddress()).getPort()))
                .syncUninterruptibly().channel();
    }

    private static byte[] checked(byte[] question) throws InvalidInputException {
        if (question.length < HEADER) {
            throw new InvalidInputException("DNS: the question ends early");
        }
        return question;
    }

    /** Answers the questions of one connection. */
    private final class WholeAnswer extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf question) throws InvalidInputException {
            ctx.writeAndFlush(Unpooled.wrappedBuffer(
                    answer(checked(ByteBufUtil.getBytes(question)), serial, named.values(), LONGEST)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Names an exchange, or another state of it; on the loop. */
    void name(Named one) {
        named.put(one.uid(), one);
        serial++;
    }

    /** Names it no longer; on the loop. */
    void forget(String uid) {
        named.remove(uid);
        serial++;
    }

    void close() {
        channel.close();
        whole.close();
    }

    /** The answer to a question, with the whole list or as much of it as the bytes hold. */
    public static byte[] answer(byte[] question, int serial, Collection<Named> all, int most) {
        byte[] answer = answer(question, serial, all, false);
        // Each exchange takes as many bytes as the next, but for some digits.
        long fitting = (long) all.size() * most / answer.length;
        while (answer.length > most) {
            answer = answer(question, serial, all.stream().limit(fitting--).toList(), true);
        }
        return answer;
    }

    private static byte[] answer(byte[] question, int serial, Collection<Named> list, boolean cut) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(question, 0, 2);
        u16(out, 0x8400 | (cut ? TRUNCATED : 0), 1, list.size(), 1, 2 * list.size());
        out.write(question, HEADER, question.length - HEADER);
        for (Named one : list) {
            byte[] target = name(one.uid(), one.zone(), "hosts");
            record(out, name(SERVICE), SRV, bytes(b -> {
                u16(b, one.readiness() == Readiness.READY ? 0 : 1, 10, one.port());
                b.writeBytes(target);
            }));
        }
        record(out, name(SERVICE), SOA, bytes(b -> {
            b.writeBytes(name(SERVICE));
            b.writeBytes(name(SERVICE));
            u16(b, serial >>> 16, serial & 0xffff);
            u16(b, 0, 1, 0, 1, 0, 1, 0, 1);
        }));
        for (Named one : list) {
            byte[] target = name(one.uid(), one.zone(), "hosts");
            record(out, target, A, InetAddress.getLoopbackAddress().getAddress());
            record(out, target, TXT, bytes(b -> {
                text(b, "kind=std");
                text(b, "cell=" + one.place());
                text(b, "started=" + one.startedMs());
            }));
        }
        return out.toByteArray();
    }

    /** Writes some bytes. */
    private interface Writer {
        void to(ByteArrayOutputStream out);
    }

    private static byte[] bytes(Writer writer) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.to(out);
        return out.toByteArray();
    }

    private static void record(ByteArrayOutputStream out, byte[] name, int type, byte[] data) {
        out.writeBytes(name);
        u16(out, type, CLASS_IN, 0, 0, data.length);
        out.writeBytes(data);
    }

    private static byte[] name(String... labels) {
        return bytes(b -> {
            for (String label : labels) {
                text(b, label);
            }
            b.write(0);
        });
    }

    private static void text(ByteArrayOutputStream out, String text) {
        out.write(text.length());
        out.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void u16(ByteArrayOutputStream out, int... values) {
        for (int value : values) {
            out.write(value >> 8);
            out.write(value);
        }
    }
}
