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
import wingspread.testbed.NameServer.ListedExchange;
import wingspread.testbed.Ports;

/**
 * Stand-in for the directory that one softswitch queries over UDP and TCP on the same port. It can answer incorrectly
 * in several ways, and can move to another port, after which the old port no longer answers. Confined to the loop.
 */
final class DirectoryStandIn {
    private static final int HEADER_BYTES = 12;
    private static final int MAX_TCP_BYTES = 65_535;
    private static final int MAX_UDP_BYTES = 8_000;
    /** Maximum length of answers that are marked as truncated. */
    private static final int TRUNCATED_BYTES = 300;
    private static final int MAX_SNAPSHOTS = 8;
    private static final int RCODE_SERVER_FAILURE = 2;

    /** How the directory answers queries. */
    enum Mode {
        CORRECT, SILENT, LATE, INCOMPLETE, TRUNCATED, STALE, WRONG_ID, ERROR, WITHOUT_HOSTS, STALE_WITHOUT_SERIAL,
        WRONG_QUESTION
    }

    /** An earlier state of the list of exchanges. */
    private record Snapshot(int serial, List<ListedExchange> list) { }

    private final Loop loop;
    private final int softswitch;
    private final TrialLog log;
    private final Judge judge;
    private final Map<String, ListedExchange> exchanges = new LinkedHashMap<>();
    private final ArrayDeque<Snapshot> snapshots = new ArrayDeque<>();
    private int serial = 1;
    private Mode mode = Mode.CORRECT;
    private long delayMicros;
    private Channel udpChannel;
    private Channel tcpChannel;
    private int port;
    private int lastLoggedSerial;

    DirectoryStandIn(Loop loop, int softswitch, TrialLog log, Judge judge) throws IOException {
        this.loop = loop;
        this.softswitch = softswitch;
        this.log = log;
        this.judge = judge;
        open();
    }

    /** Returns the port on which the directory answers now. */
    int port() {
        return port;
    }

    /** Returns the current list of exchanges. */
    Collection<ListedExchange> list() {
        return List.copyOf(exchanges.values());
    }

    /** Adds an exchange, or updates its entry. */
    void put(ListedExchange exchange) {
        saveSnapshot();
        exchanges.put(exchange.uid(), exchange);
    }

    /** Removes an exchange from the list. */
    void remove(String uid) {
        saveSnapshot();
        exchanges.remove(uid);
    }

    private void saveSnapshot() {
        snapshots.add(new Snapshot(serial, List.copyOf(exchanges.values())));
        if (snapshots.size() > MAX_SNAPSHOTS) {
            snapshots.remove();
        }
        serial++;
    }

    /**
     * Sets how the directory answers from now on.
     *
     * @param micros delay of the answers in microseconds in the mode {@link Mode#LATE}
     */
    void setMode(Mode newMode, long micros) {
        if (newMode == Mode.WRONG_QUESTION) {
            // An event that changes no exchange, so that the answers carry a newer serial number than any list.
            saveSnapshot();
        }
        mode = newMode;
        delayMicros = micros;
    }

    /** Moves to another port; the present one no longer answers. */
    void move() throws IOException {
        close();
        open();
    }

    void close() {
        udpChannel.close();
        tcpChannel.close();
    }

    private void open() throws IOException {
        port = Ports.findFreePort();
        InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        tcpChannel = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        connection.pipeline().addLast(new LengthFieldBasedFrameDecoder(MAX_TCP_BYTES, 0, 2, 0, 2),
                                new LengthFieldPrepender(2), new TcpHandler());
                    }
                })
                .bind(at).addListener(judge.bindCheck("a directory over TCP", port)).channel();
        udpChannel = new Bootstrap().group(loop.group()).channel(NioDatagramChannel.class)
                .handler(new DatagramHandler("stand-in directory", (ctx, query, sender) -> answer(query,
                        MAX_UDP_BYTES, bytes -> ctx.writeAndFlush(new DatagramPacket(bytes, sender)))))
                .bind(at).addListener(judge.bindCheck("a directory over UDP", port)).channel();
    }

    /** Answers the queries of one TCP connection. */
    private final class TcpHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf query) {
            answer(ByteBufUtil.getBytes(query), MAX_TCP_BYTES, ctx::writeAndFlush);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sends an answer to the client that made the query. */
    private interface ResponseSender {
        void send(ByteBuf answer);
    }

    private void answer(byte[] query, int maxBytes, ResponseSender sender) {
        if (query.length < HEADER_BYTES || mode == Mode.SILENT) {
            return;
        }
        boolean isForList = NameServer.isForList(query);
        byte[] answer = isForList ? listAnswer(query, maxBytes)
                : NameServer.answerForHost(query, serial, exchanges.values(), mode == Mode.WITHOUT_HOSTS);
        switch (mode) {
            case INCOMPLETE -> answer = Arrays.copyOf(answer, answer.length / 2);
            case WRONG_ID -> answer[0] ^= 0x55;
            case ERROR -> answer[3] |= RCODE_SERVER_FAILURE;
            default -> { }
        }
        boolean isWhole = mode == Mode.CORRECT || mode == Mode.LATE
                || mode == Mode.TRUNCATED && maxBytes == MAX_TCP_BYTES || isStale() && snapshots.isEmpty();
        boolean countsAsDelivered = isForList && isWhole;
        boolean namesServices = isForList && mode == Mode.WITHOUT_HOSTS;
        int sentSerial = serial;
        ByteBuf bytes = Unpooled.wrappedBuffer(answer);
        int queriedPort = port;
        loop.at(loop.now() + (mode == Mode.LATE ? delayMicros : 0), () -> {
            if (countsAsDelivered && queriedPort == port) {
                if (sentSerial != lastLoggedSerial) {
                    lastLoggedSerial = sentSerial;
                    log.add("directory of n" + softswitch, "answers with serial " + sentSerial);
                }
                judge.listDelivered(softswitch, sentSerial);
            } else if (namesServices && queriedPort == port) {
                judge.servicesDelivered(softswitch, sentSerial);
            }
            sender.send(bytes);
        });
    }

    private boolean isStale() {
        return mode == Mode.STALE || mode == Mode.STALE_WITHOUT_SERIAL;
    }

    /** Returns the answer to a query for the list, as the mode demands. */
    private byte[] listAnswer(byte[] query, int maxBytes) {
        Snapshot staleList = isStale() ? snapshots.peek() : null;
        if (staleList != null) {
            return mode == Mode.STALE ? NameServer.answer(query, staleList.serial(), staleList.list(), maxBytes)
                    : NameServer.answerWithoutSerial(query, staleList.list());
        }
        if (mode == Mode.WITHOUT_HOSTS) {
            return NameServer.answerWithoutHosts(query, serial, exchanges.values());
        }
        if (mode == Mode.WRONG_QUESTION) {
            return NameServer.answerToAnotherQuestion(query, serial);
        }
        boolean truncates = mode == Mode.TRUNCATED && maxBytes == MAX_UDP_BYTES;
        return NameServer.answer(query, serial, exchanges.values(), truncates ? TRUNCATED_BYTES : maxBytes);
    }

    /** Returns the serial number of the current list; each change increments it. */
    int serial() {
        return serial;
    }
}
