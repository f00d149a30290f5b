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
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl.ListKind;
import wingspread.net.BadInput;
import wingspread.net.DatagramHandler;
import wingspread.net.Loop;

/**
 * Asks the directory for the list of exchanges, and tells what changes. An answer that is cut short is asked for again
 * over TCP (RFC 7766); hosts that an answer names without their address are asked for one by one. What is wrong with
 * the answers is logged once with a reason code, and once that it is over.
 */
public final class Directory {
    private static final Logger LOG = LoggerFactory.getLogger(Directory.class);
    private static final String SERVICE = "_back._tcp.pool.lan";
    /** Asked so often that a lost datagram is made up for well within the time in which news counts as told. */
    private static final long ASK_EVERY = 300_000;
    /** The longest message there can be, over UDP and over TCP. */
    private static final int LONGEST_ANSWER = 65_535;
    /** Questions whose answers are still taken. */
    private static final int QUESTIONS = 8;
    /** Hosts asked for with one question for the list, two questions each; the others' turn comes with the next. */
    private static final int MOST_HOSTS = 32;
    private static final int TCP_MS = 500;

    private final Loop loop;
    private final Roster roster;
    private final BiConsumer<ListKind, List<Listing>> told;
    private final SplittableRandom random;
    /** Where the directory is asked; null before the first. */
    private Channel server;
    private final ArrayDeque<Integer> asked = new ArrayDeque<>();
    /** Questions about one host each, oldest first. */
    private final Map<Integer, String> askedHosts = new LinkedHashMap<>();
    private boolean overTcp;
    private int unanswered;
    /** What is wrong with the answers now; empty for nothing. */
    private String fault = "";

    public Directory(Loop loop, List<String> zones, List<String> kinds, long seed,
            BiConsumer<ListKind, List<Listing>> told) {
        this.loop = loop;
        this.roster = new Roster(zones, kinds);
        this.told = told;
        this.random = new SplittableRandom(seed);
    }

    /** Takes the events of the start, as the configuration keeps them. */
    public void known(Map<?, ?> known) {
        roster.known(known);
        told.accept(ListKind.CACHED, roster.present());
    }

    /**
     * Asks the directory at this address from now on, in place of the one asked before; the list and its serial
     * number carry on. Guards against an address that cannot be used: the one before it is then asked further.
     */
    public void follow(InetSocketAddress address) {
        new Bootstrap().group(loop.group()).channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(LONGEST_ANSWER))
                .handler(new DatagramHandler("directory", (ctx, bytes, sender) -> heard(bytes)))
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
        if (channel != server) {
            return;
        }
        if (++unanswered > QUESTIONS) {
            fault("SILENT", "no answer to " + QUESTIONS + " questions");
        }
        int id = random.nextInt(1 << 16);
        expect(id);
        channel.writeAndFlush(Unpooled.wrappedBuffer(DnsMessage.query(id, SERVICE, DnsMessage.SRV)));
        loop.at(loop.now() + ASK_EVERY, () -> ask(channel));
    }

    /** Takes answers to the question of this number, and to the few before it. */
    void expect(int id) {
        asked.add(id);
        if (asked.size() > QUESTIONS) {
            asked.remove();
        }
    }

    private void heard(byte[] bytes) throws BadInput {
        try {
            answer(DnsMessage.parse(bytes));
        } catch (BadInput e) {
            fault("BAD_INPUT", e.getMessage());
        }
    }

    /** Takes an answer: what is not in the whole list has gone, what is not in a part of it has not. */
    void answer(DnsMessage message) throws BadInput {
        String host = askedHosts.remove(message.id());
        if (host != null) {
            roster.learn(host, message);
            if (message.question() == DnsMessage.TXT && message.code() == 0) {
                roster.learnNoFacts(host);
            }
            return;
        }
        // An answer that comes after the next question is taken all the same: a slow directory would never be heard.
        if (!asked.contains(message.id())) {
            return;
        }
        unanswered = 0;
        if (message.code() != 0) {
            fault("REFUSED", "response code " + message.code());
            return;
        }
        Roster.Reading reading = roster.read(message);
        for (Listing change : reading.changes()) {
            LOG.info("directory {}: {} at {} is {}, started {}", roster.serial(), change.uid(), change.endpoint(),
                    change.exchange().readiness(), change.exchange().upSince());
        }
        if (!reading.changes().isEmpty()) {
            told.accept(ListKind.DELTA, reading.changes());
        }
        if (message.truncated()) {
            fault("TRUNCATED", message.records().size() + " records; what they lack is taken to be as it was");
            askWhole();
        } else if (!reading.lacking().isEmpty()) {
            fault("LACKING", reading.lacking().size() + " hosts without address or facts, as "
                    + reading.lacking().iterator().next());
            reading.lacking().stream().limit(MOST_HOSTS).forEach(this::askHost);
        } else {
            fault("", "");
        }
    }

    /** Logs what is wrong when that changes. */
    private void fault(String code, String what) {
        if (!fault.equals(code)) {
            fault = code;
            if (code.isEmpty()) {
                LOG.info("the directory answers in good order again");
            } else {
                LOG.warn("directory {}: the answers are {} ({}); the last list stays", roster.serial(), code, what);
            }
        }
    }

    private void askHost(String host) {
        for (int type : new int[] {DnsMessage.A, DnsMessage.TXT}) {
            int id = random.nextInt(1 << 16);
            askedHosts.put(id, host);
            if (askedHosts.size() > 2 * MOST_HOSTS) {
                askedHosts.remove(askedHosts.keySet().iterator().next());
            }
            if (server != null) {
                server.writeAndFlush(Unpooled.wrappedBuffer(DnsMessage.query(id, host, type)));
            }
        }
    }

    /** Asks for the whole list over TCP, once at a time. */
    private void askWhole() {
        if (overTcp || server == null) {
            return;
        }
        overTcp = true;
        new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TCP_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new LengthFieldBasedFrameDecoder(LONGEST_ANSWER, 0, 2, 0, 2),
                                new LengthFieldPrepender(2), new Whole());
                    }
                })
                .connect(server.remoteAddress())
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        f.channel().closeFuture().addListener(closed -> overTcp = false);
                        loop.at(loop.now() + 2 * ASK_EVERY, f.channel()::close);
                        int id = random.nextInt(1 << 16);
                        expect(id);
                        f.channel().writeAndFlush(Unpooled.wrappedBuffer(
                                        DnsMessage.query(id, SERVICE, DnsMessage.SRV)))
                                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
                    } else {
                        overTcp = false;
                    }
                });
    }

    /** Reads the one answer of a connection. */
    private final class Whole extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf answer) throws BadInput {
            heard(ByteBufUtil.getBytes(answer));
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fault("BAD_INPUT", cause.toString());
            ctx.close();
        }
    }
}
