package wingspread.front.sip;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.metrics.Metrics;
import wingspread.net.AcceptThrottle;
import wingspread.net.Admission;
import wingspread.net.CloseReason;
import wingspread.net.DatagramHandler;
import wingspread.net.FrameDecoder;
import wingspread.net.InvalidInputException;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;
import wingspread.sip.Peer;
import wingspread.sip.SipDecoder;
import wingspread.sip.SipMessage;
import wingspread.sip.Timers;
import wingspread.storm.ReconnectParameters;

/** The sockets of the SIP front end: UDP, and TCP with or without TLS. */
public final class SipListener implements MessageHandler.Listener<SipMessage> {
    private static final Logger LOG = LoggerFactory.getLogger(SipListener.class);
    private static final int DEFAULT_PORT = 5060;
    private static final int MAX_CONNECTIONS = 128;

    private final Loop loop;
    private final SipFront front;
    private final ReconnectParameters reconnects;
    private final Metrics metrics;
    private final Admission admission;
    private final Map<Channel, StreamPeer> streams = new HashMap<>();
    private final List<Channel> listeners = new ArrayList<>();

    /**
     * Creates a listener without sockets.
     *
     * @param reconnects how new connections are paced
     */
    public SipListener(Loop loop, SipFront front, ReconnectParameters reconnects, Metrics metrics) {
        this.loop = loop;
        this.reconnects = reconnects;
        this.metrics = metrics;
        this.front = front;
        this.admission = new Admission(loop, () -> MAX_CONNECTIONS, Timers.TRANSACTION_TIMEOUT_MICROS,
                channel -> !front.hasCalls(streams.get(channel)));
    }

    /** Binds a UDP socket. */
    public ChannelFuture listenUdp(InetSocketAddress address) {
        ChannelFuture bound = new Bootstrap().group(loop.group()).channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(FrameDecoder.MAX_FRAME))
                .handler(new DatagramHandler("SIP UDP",
                        (ctx, bytes, sender) -> handleDatagram(ctx.channel(), bytes, sender)))
                .bind(address);
        listeners.add(bound.channel());
        return bound;
    }

    /**
     * Binds a listening socket for TCP or TLS.
     *
     * @param security creates the TLS handler of a new connection; null for TCP without TLS
     */
    public ChannelFuture listenTcp(InetSocketAddress address, Supplier<SslHandler> security) {
        String transport = security == null ? "TCP" : "TLS";
        AcceptThrottle acceptThrottle = reconnects.paced()
                ? new AcceptThrottle(loop, "SIP " + transport, reconnects, metrics) : null;
        ServerBootstrap server = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MessageHandler.READ_BYTES))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        if (security != null) {
                            SslHandler handshake = security.get();
                            if (acceptThrottle != null) {
                                acceptThrottle.meterHandshake(channel, handshake);
                            }
                            channel.pipeline().addLast(handshake);
                        }
                        addStream(channel, transport);
                    }
                });
        if (acceptThrottle != null) {
            server.handler(acceptThrottle);
        }
        ChannelFuture bound = server.bind(address);
        listeners.add(bound.channel());
        return bound;
    }

    /** Stops listening and closes all open connections. */
    public void close() {
        listeners.forEach(Channel::close);
        List.copyOf(streams.keySet()).forEach(channel -> MessageHandler.close(channel, CloseReason.SHUTDOWN));
    }

    private void addStream(SocketChannel channel, String transport) {
        channel.pipeline().addLast(new MessageHandler<>("SIP " + transport, new SipDecoder(), this, loop.input()));
        streams.put(channel, new StreamPeer(channel, transport, null));
        admission.opened(channel);
    }

    @Override
    public void received(Channel channel, SipMessage message) {
        StreamPeer peer = streams.get(channel);
        if (peer != null) {
            admission.messageReceived(channel);
            front.received(message, peer);
            loop.requestTurn();
        }
    }

    @Override
    public void ended(Channel channel, CloseReason reason) {
        admission.ended(channel);
        StreamPeer peer = streams.remove(channel);
        if (peer != null) {
            front.peerDisconnected(peer);
            loop.requestTurn();
        }
    }

    private static String hostPort(Channel channel) {
        InetSocketAddress local = (InetSocketAddress) channel.localAddress();
        return local.getAddress().getHostAddress() + ":" + local.getPort();
    }

    /** Returns the IPv4 address and port of a Contact URI, or null if the host is a name, as names are not resolved. */
    static InetSocketAddress addressOf(String uri) {
        String rest = uri.substring(uri.indexOf(':') + 1);
        rest = rest.substring(rest.indexOf('@') + 1);
        int end = rest.indexOf(';');
        rest = end < 0 ? rest : rest.substring(0, end);
        int colon = rest.indexOf(':');
        String host = colon < 0 ? rest : rest.substring(0, colon);
        long port = colon < 0 ? DEFAULT_PORT : SipMessage.number(rest.substring(colon + 1));
        boolean literal = host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}");
        return literal && port > 0 && port < 1 << 16 ? new InetSocketAddress(host, (int) port) : null;
    }

    private void handleDatagram(Channel channel, byte[] bytes, InetSocketAddress sender) throws InvalidInputException {
        SipMessage message = SipDecoder.decodeDatagram(bytes);
        InetSocketAddress responseAddress = message.isRequest() ? recordSource(message, sender) : sender;
        front.received(message, new DatagramPeer(channel, responseAddress));
        loop.requestTurn();
    }

    /**
     * Records the source address of a request in its topmost Via header and returns the address that its responses are
     * sent to (RFC 3261, section 18.2; RFC 3581).
     */
    static InetSocketAddress recordSource(SipMessage message, InetSocketAddress sender) {
        for (int i = 0; i < message.headers().size(); i++) {
            SipMessage.Header via = message.headers().get(i);
            if (!via.name().equalsIgnoreCase("Via") && !via.name().equalsIgnoreCase("v")) {
                continue;
            }
            String host = sender.getAddress().getHostAddress();
            boolean rport = "".equals(SipMessage.parameter(via.value(), "rport"));
            String value = rport ? via.value().replaceFirst("(?i);\\s*rport(?=;|$)", ";rport=" + sender.getPort())
                    : via.value();
            message.headers().set(i, new SipMessage.Header(via.name(), value + ";received=" + host));
            String sentBy = via.value().replaceFirst(";.*", "").strip();
            InetSocketAddress sentByAddress = addressOf("sip:" + sentBy.substring(sentBy.lastIndexOf(' ') + 1));
            int port = rport ? sender.getPort() : sentByAddress == null ? sender.getPort() : sentByAddress.getPort();
            return new InetSocketAddress(sender.getAddress(), port);
        }
        return sender;
    }

    /** A peer that is reached by datagrams. */
    private final class DatagramPeer implements Peer {
        private final Channel channel;
        private final InetSocketAddress address;

        DatagramPeer(Channel channel, InetSocketAddress address) {
            this.channel = channel;
            this.address = address;
        }

        @Override
        public void send(SipMessage message) {
            channel.write(new DatagramPacket(message.encode(), address), channel.voidPromise());
            loop.flushAfterTurn(channel);
        }

        @Override
        public boolean reliable() {
            return false;
        }

        @Override
        public String sentBy() {
            return "UDP " + hostPort(channel);
        }

        @Override
        public Peer forContact(String contact) {
            InetSocketAddress target = addressOf(contact);
            return target == null ? this : new DatagramPeer(channel, target);
        }
    }

    /** The peer of a connection. Once a TCP connection has closed, a new one is made to the Contact's address. */
    private final class StreamPeer implements Peer {
        private final String transport;
        private final InetSocketAddress contact;
        private final String local;
        private Channel channel;

        StreamPeer(Channel channel, String transport, InetSocketAddress contact) {
            this.channel = channel;
            this.transport = transport;
            this.contact = contact;
            this.local = transport + " " + hostPort(channel);
        }

        @Override
        public void send(SipMessage message) {
            if (channel.isActive()) {
                MessageHandler.write(channel, message.encode());
                loop.flushAfterTurn(channel);
            } else if (contact != null && transport.equals("TCP")) {
                reconnect(message);
            }
        }

        private void reconnect(SipMessage message) {
            new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MessageHandler.READ_BYTES))
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel newChannel) {
                            newChannel.pipeline().addLast(new MessageHandler<>("SIP TCP", new SipDecoder(),
                                    SipListener.this, loop.input()));
                        }
                    })
                    .connect(contact)
                    .addListener((ChannelFuture future) -> {
                        if (future.isSuccess()) {
                            channel = future.channel();
                            streams.put(channel, this);
                            send(message);
                        } else {
                            LOG.info("SIP TCP {} ended {}", contact, CloseReason.REFUSED);
                        }
                    });
        }

        @Override
        public boolean reliable() {
            return true;
        }

        @Override
        public String sentBy() {
            return local;
        }

        @Override
        public Peer forContact(String target) {
            InetSocketAddress address = addressOf(target);
            return address == null ? this : new StreamPeer(channel, transport, address);
        }
    }
}
