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
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
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
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import wingspread.net.Loop;
import wingspread.testbed.Ports;

/**
 * The network between one softswitch and one exchange: a TCP proxy on the loopback that forwards bytes, or simulates
 * the faults of networks and of crashing machines. Confined to the loop.
 */
final class FaultProxy {
    /** Length of the accept queue; the kernel completes one connection more than this if the listener accepts none. */
    private static final int ACCEPT_BACKLOG = 16;
    private static final long FRAGMENT_PAUSE_MICROS = 2_000;
    /** Time within which a connection attempt succeeds if the accept queue has free capacity. */
    private static final int FILLER_CONNECT_TIMEOUT_MS = 10;

    /** The message with which the softswitch cancels a set-up. */
    private static final Pattern CANCEL = Pattern.compile("CANCEL [^\r\n]*\r\n(?:[^\r\n]+\r\n)*?Call-ID: (\\S+)");

    private final Loop loop;
    private final Judge judge;
    private final int port;
    private final Set<ProxiedConnection> connections = new LinkedHashSet<>();
    private final List<Socket> fillers = new ArrayList<>();
    private final Set<Integer> fillerPorts = new HashSet<>();
    private int targetPort;
    private Channel listener;
    private boolean blackholed;
    private boolean closeOnAccept;
    /** Number of bytes from the exchange after which a connection is reset; 0 for never. */
    private int resetAfterBytes;
    /** Length in bytes of the fragments in which the exchange's data is forwarded; 0 for no fragmentation. */
    private int fragmentLength;

    /** A connection of the softswitch and the corresponding connection to the exchange. */
    private final class ProxiedConnection {
        final Channel softswitchChannel;
        Channel exchangeChannel;
        /** Whether data is dropped in both directions without either side being notified. */
        boolean dropsTraffic;
        /** Bytes from the exchange forwarded since a reset after a number of bytes was last requested. */
        int forwardedBytes;
        /** Bytes from the exchange that were sent on to the softswitch since the connection was established. */
        long deliveredBytes;
        final ArrayDeque<ByteBuf> fragments = new ArrayDeque<>();
        boolean sendingFragment;

        ProxiedConnection(Channel softswitchChannel) {
            this.softswitchChannel = softswitchChannel;
        }

        void deliver(ByteBuf bytes) {
            deliveredBytes += bytes.readableBytes();
            softswitchChannel.writeAndFlush(bytes);
        }

        void reset() {
            resetChannel(softswitchChannel);
            if (exchangeChannel != null) {
                resetChannel(exchangeChannel);
            }
        }
    }

    /** Listens on a free port, and forwards to the port set by {@link #forwardTo}. */
    FaultProxy(Loop loop, Judge judge) throws IOException {
        this.loop = loop;
        this.judge = judge;
        this.port = Ports.findFreePort();
        listen();
    }

    /** Returns the port to which the softswitch connects. */
    int port() {
        return port;
    }

    /** Whether data sent now may arrive. */
    boolean reachable() {
        return !blackholed;
    }

    /** Whether data sent now on an established connection arrives completely. */
    boolean reliable() {
        return !blackholed && resetAfterBytes == 0;
    }

    private void listen() {
        listener = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .addListener(judge.bindCheck("a fault proxy", port)).channel();
    }

    // Faults.

    /**
     * Simulates a lost or disconnected machine: present connections never transfer data again, and new ones are not
     * established.
     */
    void blackhole() {
        blackholed = true;
        connections.forEach(connection -> connection.dropsTraffic = true);
        blockNewConnections();
    }

    /**
     * Lets new connections be established again. The earlier ones still transfer no data, and are closed towards the
     * exchange.
     */
    void heal() {
        blackholed = false;
        connections.stream().filter(connection -> connection.dropsTraffic && connection.exchangeChannel != null)
                .forEach(connection -> connection.exchangeChannel.close());
        connections.removeIf(connection -> connection.dropsTraffic && !connection.softswitchChannel.isActive());
        acceptNewConnections();
    }

    /** Blocks new connections until {@link #acceptNewConnections}; established connections are not affected. */
    void blockNewConnections() {
        listener.config().setAutoRead(false);
        // A listener with a full accept queue drops further connection attempts, as if the machine did not exist.
        for (int i = fillers.size(); i <= ACCEPT_BACKLOG; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        FILLER_CONNECT_TIMEOUT_MS);
                fillerPorts.add(filler.getLocalPort());
            } catch (SocketTimeoutException e) {
                // The queue is full, so connection attempts of the softswitch wait as well.
                return;
            } catch (IOException e) {
                throw new SoakException("cannot fill the proxy's accept queue: " + e.getMessage());
            }
        }
    }

    /** Accepts new connections again after {@link #blockNewConnections}. */
    void acceptNewConnections() {
        for (Socket filler : fillers) {
            try {
                filler.close();
            } catch (IOException e) {
                throw new SoakException("cannot empty the proxy's accept queue: " + e.getMessage());
            }
        }
        fillers.clear();
        listener.config().setAutoRead(true);
    }

    /** Simulates a crashed process: established connections are reset and new ones refused. */
    void refuse() {
        acceptNewConnections();
        listener.close();
        reset();
    }

    /** Forwards new connections to a process that listens on this port, and listens again if the proxy had stopped. */
    void forwardTo(int newTargetPort) {
        targetPort = newTargetPort;
        if (!listener.isOpen()) {
            listen();
        }
    }

    /**
     * Loses some of the established connections: they never transfer data again, and neither side is notified of a
     * close by the other.
     *
     * @param choice whether to lose the next connection
     */
    void loseConnections(BooleanSupplier choice) {
        connections.stream().filter(connection -> choice.getAsBoolean())
                .forEach(connection -> connection.dropsTraffic = true);
    }

    /** Whether the connection that the exchange has accepted from this port transfers no data. */
    boolean isLost(int proxyPort) {
        return acceptedFrom(proxyPort).anyMatch(connection -> connection.dropsTraffic);
    }

    /** Returns how many bytes that the exchange has written to a connection were sent on to the softswitch. */
    long deliveredBytes(int proxyPort) {
        return acceptedFrom(proxyPort).mapToLong(connection -> connection.deliveredBytes).sum();
    }

    /** Returns the connection that the exchange has accepted from this port; empty if there is none. */
    private Stream<ProxiedConnection> acceptedFrom(int proxyPort) {
        return connections.stream().filter(connection -> connection.exchangeChannel != null
                && ((InetSocketAddress) connection.exchangeChannel.localAddress()).getPort() == proxyPort);
    }

    /** Resets the established connections. */
    void reset() {
        List.copyOf(connections).stream().filter(connection -> !connection.dropsTraffic)
                .forEach(ProxiedConnection::reset);
    }

    /** Sets whether new connections are closed as soon as they are accepted. */
    void setCloseOnAccept(boolean on) {
        closeOnAccept = on;
    }

    /** Resets each connection after this number of bytes from the exchange; 0 for never. */
    void setResetAfterBytes(int bytes) {
        resetAfterBytes = bytes;
        connections.forEach(connection -> connection.forwardedBytes = 0);
    }

    /** Forwards data from the exchange in fragments of this length in bytes; 0 for no fragmentation. */
    void setFragmentLength(int length) {
        fragmentLength = length;
    }

    /** Closes all sockets. */
    void close() {
        acceptNewConnections();
        listener.close();
        for (ProxiedConnection connection : List.copyOf(connections)) {
            connection.softswitchChannel.close();
            if (connection.exchangeChannel != null) {
                connection.exchangeChannel.close();
            }
        }
    }

    private static void resetChannel(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    // Connections.

    private void accept(SocketChannel softswitchChannel) {
        if (fillerPorts.remove(softswitchChannel.remoteAddress().getPort())) {
            loop.execute(softswitchChannel::close);
            return;
        }
        if (closeOnAccept) {
            loop.execute(softswitchChannel::close);
            return;
        }
        ProxiedConnection connection = new ProxiedConnection(softswitchChannel);
        connections.add(connection);
        softswitchChannel.pipeline().addLast(new SoftswitchReader(connection));
        new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new ExchangeReader(connection));
                    }
                })
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort))
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        connection.exchangeChannel = f.channel();
                        softswitchChannel.config().setAutoRead(true);
                    } else {
                        resetChannel(softswitchChannel);
                    }
                });
    }

    /** Reads the data that the softswitch sends. */
    private final class SoftswitchReader extends ChannelInboundHandlerAdapter {
        private final ProxiedConnection connection;

        SoftswitchReader(ProxiedConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (connection.dropsTraffic || connection.exchangeChannel == null) {
                reportCancels((ByteBuf) bytes);
                ((ByteBuf) bytes).release();
            } else {
                connection.exchangeChannel.writeAndFlush(bytes);
            }
        }

        /** Passes on that the softswitch closes the connection for sending. */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event != ChannelInputShutdownEvent.INSTANCE || connection.dropsTraffic) {
                return;
            }
            if (connection.exchangeChannel instanceof DuplexChannel exchangeChannel) {
                exchangeChannel.shutdownOutput();
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (connection.dropsTraffic) {
                return;
            }
            connections.remove(connection);
            if (connection.exchangeChannel != null) {
                connection.exchangeChannel.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Reports cancelled set-ups to the judge: they count from the time of the CANCEL, even if it is not delivered. */
    private void reportCancels(ByteBuf bytes) {
        Matcher cancels = CANCEL.matcher(bytes.toString(StandardCharsets.ISO_8859_1));
        while (cancels.find()) {
            judge.attemptCancelled(cancels.group(1));
        }
    }

    /** Reads the data that the exchange sends. */
    private final class ExchangeReader extends ChannelInboundHandlerAdapter {
        private final ProxiedConnection connection;

        ExchangeReader(ProxiedConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object input) {
            ByteBuf bytes = (ByteBuf) input;
            if (connection.dropsTraffic) {
                bytes.release();
                return;
            }
            connection.forwardedBytes += bytes.readableBytes();
            if (resetAfterBytes > 0 && connection.forwardedBytes > resetAfterBytes) {
                int bytesBeforeReset =
                        Math.max(0, bytes.readableBytes() - (connection.forwardedBytes - resetAfterBytes));
                connection.softswitchChannel.writeAndFlush(bytes.readSlice(bytesBeforeReset))
                        .addListener(f -> connection.reset());
                return;
            }
            if (fragmentLength == 0 && !connection.sendingFragment) {
                connection.deliver(bytes);
                return;
            }
            while (bytes.isReadable()) {
                connection.fragments.add(
                        bytes.readRetainedSlice(Math.min(bytes.readableBytes(), Math.max(1, fragmentLength))));
            }
            bytes.release();
            sendNextFragment(connection);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!connection.dropsTraffic && !connection.sendingFragment) {
                connection.softswitchChannel.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void sendNextFragment(ProxiedConnection connection) {
        if (connection.sendingFragment || connection.fragments.isEmpty()) {
            return;
        }
        connection.sendingFragment = true;
        if (connection.dropsTraffic) {
            connection.fragments.remove().release();
        } else {
            connection.deliver(connection.fragments.remove());
        }
        loop.at(loop.now() + FRAGMENT_PAUSE_MICROS, () -> {
            connection.sendingFragment = false;
            sendNextFragment(connection);
            if (connection.fragments.isEmpty() && connection.exchangeChannel != null
                    && !connection.exchangeChannel.isActive() && !connection.dropsTraffic) {
                connection.softswitchChannel.close();
            }
        });
    }
}
