package wingspread.testbed.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import wingspread.net.Loop;
import wingspread.testbed.Ports;

/**
 * The network between all softswitches and one exchange: a TCP proxy on the loopback that passes bytes on, or does to
 * them what networks and dying machines do. Confined to the loop.
 */
final class FaultProxy {
    /** Connections that the kernel completes for a listener that accepts none are one more than this. */
    private static final int BACKLOG = 16;
    private static final long PIECE_PAUSE = 2_000;
    /** A connect to a queue with room takes no longer. */
    private static final int FILLER_CONNECT_MS = 10;

    /** The softswitch's words for a set-up that it gives up. */
    private static final Pattern CANCEL = Pattern.compile("CANCEL [^\r\n]*\r\n(?:[^\r\n]+\r\n)*?Call-ID: (\\S+)");

    private final Loop loop;
    private final Judge judge;
    private final int port;
    private final Set<Pair> pairs = new LinkedHashSet<>();
    private final List<Socket> fillers = new ArrayList<>();
    private final Set<Integer> fillerPorts = new HashSet<>();
    private int target;
    private Channel listener;
    private boolean blackholed;
    private boolean closesEarly;
    /** Bytes from the exchange after which a connection is reset; 0 for never. */
    private int resetAfter;
    /** Length of the pieces in which the exchange's bytes go on; 0 for whole. */
    private int pieceLength;

    /** One connection of a softswitch and the one to the exchange that belongs to it. */
    private final class Pair {
        final Channel front;
        Channel back;
        /** Nothing passes any longer, and neither side is told. */
        boolean dead;
        int sent;
        final ArrayDeque<ByteBuf> pieces = new ArrayDeque<>();
        boolean sending;

        Pair(Channel front) {
            this.front = front;
        }

        void reset() {
            resetChannel(front);
            if (back != null) {
                resetChannel(back);
            }
        }
    }

    /** Listens at a free port, and passes on to where {@link #serve} says. */
    FaultProxy(Loop loop, Judge judge) throws IOException {
        this.loop = loop;
        this.judge = judge;
        this.port = Ports.free();
        listen();
    }

    /** Where softswitches connect. */
    int port() {
        return port;
    }

    /** Whether something sent now may arrive. */
    boolean reachable() {
        return !blackholed;
    }

    /** Whether what is sent now on a connection that is up arrives whole. */
    boolean reliable() {
        return !blackholed && resetAfter == 0;
    }

    private void listen() {
        listener = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).addListener(judge::bound)
                .channel();
    }

    // Faults.

    /** The exchange's machine is gone or cut off: connections fall silent for good, and new ones never come up. */
    void blackhole() {
        blackholed = true;
        pairs.forEach(pair -> pair.dead = true);
        holdConnects();
    }

    /** New connections come up again; those of before stay silent, and the exchange sees them end. */
    void heal() {
        blackholed = false;
        pairs.stream().filter(pair -> pair.dead && pair.back != null).forEach(pair -> pair.back.close());
        pairs.removeIf(pair -> pair.dead && !pair.front.isActive());
        admitConnects();
    }

    /** New connections stay away until {@link #admitConnects}; those that are up are not touched. */
    void holdConnects() {
        listener.config().setAutoRead(false);
        // A listener whose queue is full drops further connects, as a machine does that is not there.
        for (int i = fillers.size(); i <= BACKLOG; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), FILLER_CONNECT_MS);
                fillerPorts.add(filler.getLocalPort());
            } catch (SocketTimeoutException e) {
                // Connections of softswitches wait as well: the queue is full.
                return;
            } catch (IOException e) {
                throw new SoakException("the proxy's queue cannot be filled: " + e.getMessage());
            }
        }
    }

    void admitConnects() {
        for (Socket filler : fillers) {
            try {
                filler.close();
            } catch (IOException e) {
                throw new SoakException("the proxy's queue cannot be emptied: " + e.getMessage());
            }
        }
        fillers.clear();
        listener.config().setAutoRead(true);
    }

    /** The exchange's process is dead: connections are reset and new ones refused. */
    void refuse() {
        admitConnects();
        listener.close();
        reset();
    }

    /** A process listens again, at this port behind the proxy. */
    void serve(int newTarget) {
        target = newTarget;
        if (!listener.isOpen()) {
            listen();
        }
    }

    /** Connections that are up are reset. */
    void reset() {
        List.copyOf(pairs).stream().filter(pair -> !pair.dead).forEach(Pair::reset);
    }

    void closesEarly(boolean on) {
        closesEarly = on;
    }

    void resetsAfter(int bytes) {
        resetAfter = bytes;
        pairs.forEach(pair -> pair.sent = 0);
    }

    void piecesOf(int length) {
        pieceLength = length;
    }

    /** Ends all sockets. */
    void close() {
        admitConnects();
        listener.close();
        for (Pair pair : List.copyOf(pairs)) {
            pair.front.close();
            if (pair.back != null) {
                pair.back.close();
            }
        }
    }

    private static void resetChannel(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    // Connections.

    private void accept(SocketChannel front) {
        if (fillerPorts.remove(front.remoteAddress().getPort())) {
            loop.execute(front::close);
            return;
        }
        if (closesEarly) {
            loop.execute(front::close);
            return;
        }
        Pair pair = new Pair(front);
        pairs.add(pair);
        front.pipeline().addLast(new FromSoftswitch(pair));
        new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new FromExchange(pair));
                    }
                })
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target))
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        pair.back = f.channel();
                        front.config().setAutoRead(true);
                    } else {
                        resetChannel(front);
                    }
                });
    }

    /** Reads what a softswitch sends. */
    private final class FromSoftswitch extends ChannelInboundHandlerAdapter {
        private final Pair pair;

        FromSoftswitch(Pair pair) {
            this.pair = pair;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (pair.dead || pair.back == null) {
                seeCancels((ByteBuf) bytes);
                ((ByteBuf) bytes).release();
            } else {
                pair.back.writeAndFlush(bytes);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (pair.dead) {
                return;
            }
            pairs.remove(pair);
            if (pair.back != null) {
                pair.back.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** What a softswitch gives up counts from when it says so, also where nobody hears it. */
    private void seeCancels(ByteBuf bytes) {
        Matcher found = CANCEL.matcher(bytes.toString(StandardCharsets.ISO_8859_1));
        while (found.find()) {
            judge.attemptGivenUp(found.group(1));
        }
    }

    /** Reads what the exchange sends. */
    private final class FromExchange extends ChannelInboundHandlerAdapter {
        private final Pair pair;

        FromExchange(Pair pair) {
            this.pair = pair;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object in) {
            ByteBuf bytes = (ByteBuf) in;
            if (pair.dead) {
                bytes.release();
                return;
            }
            pair.sent += bytes.readableBytes();
            if (resetAfter > 0 && pair.sent > resetAfter) {
                int cut = Math.max(0, bytes.readableBytes() - (pair.sent - resetAfter));
                pair.front.writeAndFlush(bytes.readSlice(cut)).addListener(f -> pair.reset());
                return;
            }
            if (pieceLength == 0 && !pair.sending) {
                pair.front.writeAndFlush(bytes);
                return;
            }
            while (bytes.isReadable()) {
                pair.pieces.add(bytes.readRetainedSlice(Math.min(bytes.readableBytes(), Math.max(1, pieceLength))));
            }
            bytes.release();
            sendPiece(pair);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!pair.dead && !pair.sending) {
                pair.front.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void sendPiece(Pair pair) {
        if (pair.sending || pair.pieces.isEmpty()) {
            return;
        }
        pair.sending = true;
        if (pair.dead) {
            pair.pieces.remove().release();
        } else {
            pair.front.writeAndFlush(pair.pieces.remove());
        }
        loop.at(loop.now() + PIECE_PAUSE, () -> {
            pair.sending = false;
            sendPiece(pair);
            if (pair.pieces.isEmpty() && pair.back != null && !pair.back.isActive() && !pair.dead) {
                pair.front.close();
            }
        });
    }
}
