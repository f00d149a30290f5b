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
import wingspread.net.Admission;
import wingspread.net.BadInput;
import wingspread.net.CloseReason;
import wingspread.net.DatagramHandler;
import wingspread.net.FrameDecoder;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;
import wingspread.net.Newcomers;
import wingspread.metrics.Metrics;
import wingspread.sip.Peer;
import wingspread.sip.SipDecoder;
import wingspread.sip.SipMessage;
import wingspread.sip.Timers;
import wingspread.storm.ReconnectFigures;

/** The sockets of the SIP front: datagrams, and connections with or without TLS. */
public final class SipListener implements MessageHandler.Owner<SipMessage> {
    private static final Logger LOG = LoggerFactory.getLogger(SipListener.class);
    private static final int DEFAULT_PORT = 5060;
    private static final int MOST_CONNECTIONS = 128;

    private final Loop loop;
    private final SipFront front;
    private final ReconnectFigures reconnects;
    private final Metrics metrics;
    private final Admission admission;
    private final Map<Channel, StreamPeer> streams = new HashMap<>();
    private final List<Channel> listeners = new ArrayList<>();

    /** Sockets whose newcomers are paced as these figures say. */
    public SipListener(Loop loop, SipFront front, ReconnectFigures reconnects, Metrics metrics) {
        this.loop = loop;
        this.reconnects = reconnects;
        this.metrics = metrics;
        this.front = front;
        this.admission = new Admission(loop, () -> MOST_CONNECTIONS, Timers.PURSUED,
                channel -> !front.carries(streams.get(channel)));
    }

    /** Takes datagrams at an address. */
    public ChannelFuture listenUdp(InetSocketAddress address) {
        ChannelFuture bound = new Bootstrap().group(loop.group()).channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(FrameDecoder.MAX_FRAME))
                .handler(new DatagramHandler("SIP UDP",
                        (ctx, bytes, sender) -> datagram(ctx.channel(), bytes, sender)))
                .bind(address);
        listeners.add(bound.channel());
        return bound;
    }

    /**
     * Takes connections at an address.
     *
     * @param security the handler that secures a new connection, asked for each; null for none
     */
    public ChannelFuture listenTcp(InetSocketAddress address, Supplier<SslHandler> security) {
        String transport = security == null ? "TCP" : "TLS";
        Newcomers newcomers = reconnects.paced() ? new Newcomers(loop, "SIP " + transport, reconnects, metrics) : null;
        ServerBootstrap server = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        if (security != null) {
                            SslHandler handshake = security.get();
                            if (newcomers != null) {
                                newcomers.meter(channel, handshake);
                            }
                            channel.pipeline().addLast(handshake);
                        }
                        opened(channel, transport);
                    }
                });
        if (newcomers != null) {
            server.handler(newcomers);
        }
        ChannelFuture bound = server.bind(address);
        listeners.add(bound.channel());
        return bound;
    }

    /** Stops listening and closes what is open. */
    public void close() {
        listeners.forEach(Channel::close);
        List.copyOf(streams.keySet()).forEach(channel -> MessageHandler.close(channel, CloseReason.SHUTDOWN));
    }

    private void opened(SocketChannel channel, String transport) {
        channel.pipeline().addLast(new MessageHandler<>("SIP " + transport, new SipDecoder(), this));
        streams.put(channel, new StreamPeer(channel, transport, null));
        admission.opened(channel);
    }

    @Override
    public void received(Channel channel, SipMessage message) {
        StreamPeer peer = streams.get(channel);
        if (peer != null) {
            admission.heard(channel);
            front.received(message, peer);
            loop.wantTurn();
        }
    }

    @Override
    public void ended(Channel channel, CloseReason reason) {
        admission.ended(channel);
        StreamPeer peer = streams.remove(channel);
        if (peer != null) {
            front.lost(peer);
            loop.wantTurn();
        }
    }

    private static String hostPort(Channel channel) {
        InetSocketAddress local = (InetSocketAddress) channel.localAddress();
        return local.getAddress().getHostAddress() + ":" + local.getPort();
    }

    /** The address in a Contact, or null where it is no address but a name, which nobody here resolves. */
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

    private void datagram(Channel channel, byte[] bytes, InetSocketAddress sender) throws BadInput {
        SipMessage message = SipDecoder.datagram(bytes);
        InetSocketAddress back = message.isRequest() ? received(message, sender) : sender;
        front.received(message, new DatagramPeer(channel, back));
        loop.wantTurn();
    }

    /** Notes in the Via whence a request came, and returns where its answers go (RFC 3261, 18.2; RFC 3581). */
    static InetSocketAddress received(SipMessage message, InetSocketAddress sender) {
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
            InetSocketAddress stated = addressOf("sip:" + sentBy.substring(sentBy.lastIndexOf(' ') + 1));
            int port = rport ? sender.getPort() : stated == null ? sender.getPort() : stated.getPort();
            return new InetSocketAddress(sender.getAddress(), port);
        }
        return sender;
    }

    /** A place that datagrams go to. */
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
            loop.touch(channel);
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
        public Peer toward(String contact) {
            InetSocketAddress target = addressOf(contact);
            return target == null ? this : new DatagramPeer(channel, target);
        }
    }

    /** The other end of a connection; where that has closed, a new one is made to the Contact's address. */
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
                loop.touch(channel);
            } else if (contact != null && transport.equals("TCP")) {
                reconnect(message);
            }
        }

        private void reconnect(SipMessage message) {
            new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel fresh) {
                            fresh.pipeline().addLast(new MessageHandler<>("SIP TCP", new SipDecoder(),
                                    SipListener.this));
                        }
                    })
                    .connect(contact)
                    .addListener((ChannelFuture f) -> {
                        if (f.isSuccess()) {
                            channel = f.channel();
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
        public Peer toward(String target) {
            InetSocketAddress address = addressOf(target);
            return address == null ? this : new StreamPeer(channel, transport, address);
        }
    }
}
