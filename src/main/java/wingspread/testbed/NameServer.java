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
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import wingspread.control.CallControl.Readiness;
import wingspread.net.DatagramHandler;
import wingspread.net.InvalidInputException;
import wingspread.net.Loop;

/**
 * A stand-in for the directory that one softswitch queries: a DNS server that answers with SRV, A, TXT and SOA records
 * (RFC 1035, RFC 2782).
 */
public final class NameServer {
    private static final int HEADER_BYTES = 12;
    private static final int TYPE_A = 1;
    private static final int TYPE_SOA = 6;
    private static final int TYPE_TXT = 16;
    private static final int TYPE_SRV = 33;
    private static final int CLASS_IN = 1;
    private static final String[] SERVICE = {"_back", "_tcp", "pool", "lan"};

    /**
     * An exchange as the directory lists it.
     *
     * @param uid unique id of the exchange, the first label of its host name
     * @param zone zone of the exchange, the second label of its host name
     * @param place number of the exchange's place in the fleet, {@code cell} in the TXT record
     * @param port port on the loopback interface
     * @param readiness READY gives SRV priority 0, any other value 1
     * @param startedMs start time in Unix milliseconds; 0 stands for the distant past
     */
    public record ListedExchange(String uid, String zone, int place, int port, Readiness readiness, long startedMs) { }

    /** Maximum length of an answer over UDP; a longer list is truncated after an exchange, and complete over TCP. */
    private static final int MAX_UDP_BYTES = 8_000;
    /** An authoritative response without an error. */
    private static final int FLAGS_RESPONSE = 0x8400;
    private static final int FLAG_TRUNCATED = 0x0200;
    /** Distance of the low byte of a question's type from the end of the query. */
    private static final int QUESTION_TYPE_FROM_END = 3;
    /** Limit of the 16-bit length prefix of DNS over TCP. */
    private static final int MAX_TCP_BYTES = 65_535;

    private final Channel udpChannel;
    private final Channel tcpListener;
    /** The listed exchanges by their uid. */
    private final Map<String, ListedExchange> exchanges = new LinkedHashMap<>();
    private int serial = 1;

    /** Answers on a free port of the loopback interface, the same one for UDP and TCP. */
    NameServer(Loop loop) {
        InetAddress local = InetAddress.getLoopbackAddress();
        tcpListener = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        connection.pipeline().addLast(new LengthFieldBasedFrameDecoder(MAX_TCP_BYTES, 0, 2, 0, 2),
                                new LengthFieldPrepender(2), new TcpQueryHandler());
                    }
                })
                .bind(new InetSocketAddress(local, 0)).syncUninterruptibly().channel();
        udpChannel = new Bootstrap().group(loop.group()).channel(NioDatagramChannel.class)
                .handler(new DatagramHandler("name server", (ctx, bytes, sender) ->
                        ctx.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(
                                answer(withHeader(bytes), serial, exchanges.values(), MAX_UDP_BYTES)), sender))))
                .bind(new InetSocketAddress(local, ((InetSocketAddress) tcpListener.localAddress()).getPort()))
                .syncUninterruptibly().channel();
    }

    private static byte[] withHeader(byte[] question) throws InvalidInputException {
        if (question.length < HEADER_BYTES) {
            throw new InvalidInputException("DNS: query shorter than its header");
        }
        return question;
    }

    /** Answers the queries of one TCP connection, without truncation. */
    private final class TcpQueryHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf question) throws InvalidInputException {
            ctx.writeAndFlush(Unpooled.wrappedBuffer(
                    answer(withHeader(ByteBufUtil.getBytes(question)), serial, exchanges.values(), MAX_TCP_BYTES)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    int port() {
        return ((InetSocketAddress) udpChannel.localAddress()).getPort();
    }

    /** Lists an exchange or updates its entry; called on the event loop. */
    void put(ListedExchange exchange) {
        exchanges.put(exchange.uid(), exchange);
        serial++;
    }

    /** Removes an exchange from the list; called on the event loop. */
    void remove(String uid) {
        exchanges.remove(uid);
        serial++;
    }

    void close() {
        udpChannel.close();
        tcpListener.close();
    }

    /**
     * Returns the answer to a query, with the complete list or as many exchanges as fit; in the latter case the answer
     * is marked as truncated.
     *
     * @param question the query, at least as long as a DNS header
     * @param serial serial number of the list in the SOA record
     * @param all the complete list
     * @param maxBytes maximum length of the answer
     */
    public static byte[] answer(byte[] question, int serial, Collection<ListedExchange> all, int maxBytes) {
        byte[] answer = answer(question, serial, all, false);
        // All exchanges take nearly the same number of bytes; only the number of their digits differs.
        long fitting = (long) all.size() * maxBytes / answer.length;
        while (answer.length > maxBytes) {
            answer = answer(question, serial, all.stream().limit(fitting--).toList(), true);
        }
        return answer;
    }

    private static byte[] answer(byte[] question, int serial, Collection<ListedExchange> list, boolean truncated) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writeHeader(out, question, truncated, list.size(), 1, 2 * list.size());
        list.forEach(exchange -> writeService(out, exchange));
        writeSerial(out, serial);
        for (ListedExchange exchange : list) {
            writeAddress(out, exchange);
            writeAttributes(out, exchange);
        }
        return out.toByteArray();
    }

    /** Whether a query is for the list, and not for one host. */
    public static boolean isForList(byte[] question) {
        byte[] name = encodeName(SERVICE);
        return Arrays.equals(name, 0, name.length, question, HEADER_BYTES,
                Math.min(question.length, HEADER_BYTES + name.length));
    }

    /** Returns the answer to a query for the list without the optional records of the hosts (RFC 2181, section 9). */
    public static byte[] answerWithoutHosts(byte[] question, int serial, Collection<ListedExchange> all) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writeHeader(out, question, false, all.size(), 1, 0);
        all.forEach(exchange -> writeService(out, exchange));
        writeSerial(out, serial);
        return out.toByteArray();
    }

    /** Returns the answer to a query for the list, marked as truncated and cut before its serial number. */
    public static byte[] answerWithoutSerial(byte[] question, Collection<ListedExchange> all) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writeHeader(out, question, true, all.size(), 0, 0);
        all.forEach(exchange -> writeService(out, exchange));
        return out.toByteArray();
    }

    /**
     * Returns the answer to a query for the address or the attributes of a host; without a record if the host is not
     * listed, or if the attributes are asked for and are cut off.
     */
    public static byte[] answerForHost(byte[] question, int serial, Collection<ListedExchange> all,
            boolean cutAttributes) {
        boolean forAddress = question[question.length - QUESTION_TYPE_FROM_END] == TYPE_A;
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        for (ListedExchange exchange : all) {
            byte[] host = encodeHostName(exchange);
            boolean isQueried = Arrays.equals(host, 0, host.length, question, HEADER_BYTES,
                    Math.min(question.length, HEADER_BYTES + host.length));
            if (isQueried && forAddress) {
                writeAddress(records, exchange);
            } else if (isQueried && !cutAttributes) {
                writeAttributes(records, exchange);
            }
        }
        boolean truncated = cutAttributes && !forAddress;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writeHeader(out, question, truncated, records.size() == 0 ? 0 : 1, truncated ? 0 : 1, 0);
        out.writeBytes(records.toByteArray());
        if (!truncated) {
            writeSerial(out, serial);
        }
        return out.toByteArray();
    }

    /** Returns the answer, under the id of this query, that a host which nobody has asked about has no attributes. */
    public static byte[] answerToAnotherQuestion(byte[] question, int serial) {
        byte[] otherName = encodeName("s-0", "z0", "hosts");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(question, 0, 2);
        writeU16(out, FLAGS_RESPONSE, 1, 0, 1, 0);
        out.writeBytes(otherName);
        writeU16(out, TYPE_TXT, CLASS_IN);
        writeSerial(out, serial);
        return out.toByteArray();
    }

    /** Writes the header and the question of an answer with these numbers of records in its sections. */
    private static void writeHeader(ByteArrayOutputStream out, byte[] question, boolean truncated, int answers,
            int authorities, int additional) {
        out.write(question, 0, 2);
        writeU16(out, FLAGS_RESPONSE | (truncated ? FLAG_TRUNCATED : 0), 1, answers, authorities, additional);
        out.write(question, HEADER_BYTES, question.length - HEADER_BYTES);
    }

    private static byte[] encodeHostName(ListedExchange exchange) {
        return encodeName(exchange.uid(), exchange.zone(), "hosts");
    }

    private static void writeService(ByteArrayOutputStream out, ListedExchange exchange) {
        writeRecord(out, encodeName(SERVICE), TYPE_SRV, encode(data -> {
            writeU16(data, exchange.readiness() == Readiness.READY ? 0 : 1, 10, exchange.port());
            data.writeBytes(encodeHostName(exchange));
        }));
    }

    private static void writeSerial(ByteArrayOutputStream out, int serial) {
        writeRecord(out, encodeName(SERVICE), TYPE_SOA, encode(data -> {
            data.writeBytes(encodeName(SERVICE));
            data.writeBytes(encodeName(SERVICE));
            writeU16(data, serial >>> 16, serial & 0xffff);
            writeU16(data, 0, 1, 0, 1, 0, 1, 0, 1);
        }));
    }

    private static void writeAddress(ByteArrayOutputStream out, ListedExchange exchange) {
        writeRecord(out, encodeHostName(exchange), TYPE_A, InetAddress.getLoopbackAddress().getAddress());
    }

    private static void writeAttributes(ByteArrayOutputStream out, ListedExchange exchange) {
        writeRecord(out, encodeHostName(exchange), TYPE_TXT, encode(data -> {
            writeCharacterString(data, "kind=std");
            writeCharacterString(data, "cell=" + exchange.place());
            writeCharacterString(data, "started=" + exchange.startedMs());
        }));
    }

    /** Writes the data of a record or name. */
    private interface Writer {
        void writeTo(ByteArrayOutputStream out);
    }

    private static byte[] encode(Writer writer) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.writeTo(out);
        return out.toByteArray();
    }

    private static void writeRecord(ByteArrayOutputStream out, byte[] name, int type, byte[] data) {
        out.writeBytes(name);
        writeU16(out, type, CLASS_IN, 0, 0, data.length);
        out.writeBytes(data);
    }

    private static byte[] encodeName(String... labels) {
        return encode(data -> {
            for (String label : labels) {
                writeCharacterString(data, label);
            }
            data.write(0);
        });
    }

    /** Writes a length byte and the text, which is the encoding of both labels and character strings of TXT. */
    private static void writeCharacterString(ByteArrayOutputStream out, String text) {
        out.write(text.length());
        out.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void writeU16(ByteArrayOutputStream out, int... values) {
        for (int value : values) {
            out.write(value >> 8);
            out.write(value);
        }
    }
}
