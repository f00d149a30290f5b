package wingspread.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Status;
import wingspread.lab.host.Effect;
import wingspread.net.CloseReason;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;
import wingspread.sip.SipDecoder;
import wingspread.sip.SipMessage;

/**
 * The socket at which one softswitch reaches one exchange: it says what the model's exchange does in the platform's
 * SIP, and what the softswitch sends as the model's effects. Confined to the loop.
 */
final class ExchangeSide implements MessageHandler.Listener<SipMessage> {
    /** A set-up that has come in and where it came. */
    private record Invite(Channel channel, SipMessage message, long deadline) { }

    private final Loop loop;
    private final long address;
    private final Consumer<Effect> effects;
    private final Clock clock;
    private final Channel listener;
    private final int port;
    private final Set<Channel> channels = new LinkedHashSet<>();
    private final Map<String, Invite> invites = new HashMap<>();
    private String gauges = "";
    private boolean closed;

    /** Listens at a free port of the loopback. */
    ExchangeSide(Loop loop, long address, Clock clock, Consumer<Effect> effects) throws IOException {
        this.port = Ports.free();
        this.loop = loop;
        this.address = address;
        this.clock = clock;
        this.effects = effects;
        this.listener = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        opened(channel);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).channel();
    }

    int port() {
        return port;
    }

    /** Whether its process has died: nothing listens. */
    boolean closed() {
        return closed;
    }

    private void opened(Channel channel) {
        channel.pipeline().addLast(new MessageHandler<>("stand-in exchange " + address, new SipDecoder(), this));
        channels.add(channel);
        if (!gauges.isEmpty()) {
            loop.execute(() -> send(channel, notification()));
        }
    }

    private SipMessage notification() {
        return SipMessage.request("NOTIFY", "sip:group@net").with("X-Gauges", gauges);
    }

    /** The process dies: connections are reset, and further ones refused. */
    void die() {
        closed = true;
        listener.close();
        reset();
    }

    /** Its connections are reset; it goes on to listen. */
    void reset() {
        for (Channel channel : List.copyOf(channels)) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            MessageHandler.close(channel, CloseReason.GONE);
        }
    }

    private void send(Channel channel, SipMessage message) {
        if (channel.isActive()) {
            MessageHandler.write(channel, message.encode());
            loop.flushAfterTurn(channel);
        }
    }

    /** The newest connection, or null. */
    private Channel newest() {
        Channel newest = null;
        for (Channel channel : channels) {
            newest = channel;
        }
        return newest;
    }

    /** Whether a set-up of this call waits here for its answer. */
    boolean has(String call) {
        return invites.containsKey(call);
    }

    // What the exchange does.

    void answered(String call) {
        Invite invite = invites.remove(call);
        if (invite != null) {
            send(invite.channel(), invite.message().reply(200, "OK").with("X-Gauges", gauges));
        }
    }

    void rejected(String call, Status status, Cause cause, Report report) {
        Invite invite = invites.remove(call);
        if (invite != null) {
            SipMessage reply = invite.message().reply(code(status), "refused").with("X-Gauges", text(report));
            send(invite.channel(), cause == Cause.NONE ? reply : reply.with("X-Outcome", outcome(cause)));
        }
    }

    /** A call that stood is over at the exchange. */
    void released(String call, int cause, Report report) {
        Channel channel = newest();
        if (channel != null) {
            send(channel, SipMessage.request("BYE", "sip:call@net").with("Call-ID", call).with("CSeq", "1 BYE")
                    .with("Reason", "Q.850;cause=" + cause).with("X-Gauges", text(report)));
        }
    }

    void reported(Report report) {
        gauges = text(report);
        for (Channel channel : channels) {
            send(channel, notification());
        }
    }

    private static int code(Status status) {
        return switch (status) {
            case FULL -> 503;
            case MOOT -> 480;
            case RESET -> 504;
            case CANCELLED -> 487;
            default -> 500;
        };
    }

    private static String outcome(Cause cause) {
        return switch (cause) {
            case NO_CIRCUIT -> "blocked";
            case TANDEM_BLOCKED -> "bounced";
            case BEYOND_FULL -> "far_swamped";
            case PROCESSOR_FULL -> "swamped";
            case LINES_BUSY -> "occupied";
            case NONE -> "";
        };
    }

    private static String text(Report report) {
        StringBuilder out = new StringBuilder();
        add(out, "idle", report.free());
        add(out, "circuits", report.circuits());
        add(out, "backlog", report.backlog());
        add(out, "max_rate", report.maxRate());
        return out.toString();
    }

    private static void add(StringBuilder out, String name, double value) {
        if (!Double.isNaN(value)) {
            out.append(out.isEmpty() ? "" : ";").append(name).append(':').append(value);
        }
    }

    // What the softswitch sends.

    @Override
    public void received(Channel channel, SipMessage message) {
        String call = message.callId();
        switch (message.isRequest() ? message.method() : "") {
            case "INVITE" -> {
                long left = Math.max(0, SipMessage.number(message.header("X-Deadline")));
                Invite invite = new Invite(channel, message, clock.model() + left * 1_000);
                invites.put(call, invite);
                effects.accept(new Effect.Invite(call, (int) message.cseq() - 1, address, invite.deadline()));
            }
            case "CANCEL" -> {
                Invite invite = invites.remove(call);
                send(channel, message.reply(200, "OK"));
                if (invite != null) {
                    effects.accept(new Effect.Withdraw(call, (int) message.cseq() - 1,
                            clock.model() >= invite.deadline() ? Status.TIMEOUT : Status.CANCELLED));
                }
            }
            case "BYE" -> {
                send(channel, message.reply(200, "OK"));
                String cause = SipMessage.parameter(message.header("Reason"), "cause");
                effects.accept(new Effect.Release(call, address,
                        cause == null ? 16 : (int) SipMessage.number(cause)));
            }
            default -> { }
        }
    }

    /** The softswitch has gone, or given this connection up: its set-ups on it are lost. */
    @Override
    public void ended(Channel channel, CloseReason reason) {
        channels.remove(channel);
        for (Map.Entry<String, Invite> open : List.copyOf(invites.entrySet())) {
            if (open.getValue().channel() == channel) {
                invites.remove(open.getKey());
                if (!closed) {
                    effects.accept(new Effect.Withdraw(open.getKey(),
                            (int) open.getValue().message().cseq() - 1, Status.RESET));
                }
            }
        }
    }
}
