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
 * The server socket on which one softswitch reaches one exchange of the model. It translates the events of the model's
 * exchange into SIP messages of the platform, and the messages of the softswitch into effects for the model. Confined
 * to the event loop.
 */
final class ExchangeEndpoint implements MessageHandler.Listener<SipMessage> {
    /**
     * A set-up that has not been answered.
     *
     * @param channel connection on which it arrived
     * @param deadline deadline of the attempt in microseconds of the model's time
     */
    private record Invite(Channel channel, SipMessage message, long deadline) { }

    private final Loop loop;
    private final long address;
    private final Consumer<Effect> effects;
    private final WallClockPacing clock;
    private final Channel listener;
    private final int port;
    /** Open connections, oldest first. */
    private final Set<Channel> channels = new LinkedHashSet<>();
    private final Map<String, Invite> invites = new HashMap<>();
    /** Last report as the value of the X-Gauges header; empty before the first report. */
    private String gauges = "";
    private boolean closed;

    /**
     * Listens on a free port of the loopback interface.
     *
     * @param address address of the exchange in the model
     * @param effects receives what the softswitch does, on the event loop
     */
    ExchangeEndpoint(Loop loop, long address, WallClockPacing clock, Consumer<Effect> effects) throws IOException {
        this.port = Ports.findFreePort();
        this.loop = loop;
        this.address = address;
        this.clock = clock;
        this.effects = effects;
        this.listener = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        initConnection(channel);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).channel();
    }

    int port() {
        return port;
    }

    /** Whether the exchange has crashed, so that nothing listens on its port. */
    boolean isClosed() {
        return closed;
    }

    private void initConnection(Channel channel) {
        channel.pipeline().addLast(new MessageHandler<>("stand-in exchange " + address, new SipDecoder(), this));
        channels.add(channel);
        if (!gauges.isEmpty()) {
            loop.execute(() -> send(channel, gaugesNotification()));
        }
    }

    private SipMessage gaugesNotification() {
        return SipMessage.request("NOTIFY", "sip:group@net").with("X-Gauges", gauges);
    }

    /** Simulates a crash of the exchange: connections are reset, and new ones refused. */
    void crash() {
        closed = true;
        listener.close();
        resetConnections();
    }

    /** Resets all connections; the exchange continues to listen. */
    void resetConnections() {
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

    /** Returns the connection that was opened last, or null if there is none. */
    private Channel newestConnection() {
        Channel newest = null;
        for (Channel channel : channels) {
            newest = channel;
        }
        return newest;
    }

    /** Whether a set-up of this call has not been answered yet. */
    boolean hasPendingInvite(String call) {
        return invites.containsKey(call);
    }

    // Messages from the exchange to the softswitch.

    /** Accepts a pending set-up with 200 OK. */
    void sendAnswer(String call) {
        Invite invite = invites.remove(call);
        if (invite != null) {
            send(invite.channel(), invite.message().reply(200, "OK").with("X-Gauges", gauges));
        }
    }

    /** Rejects a pending set-up. */
    void sendRejection(String call, Status status, Cause cause, Report report) {
        Invite invite = invites.remove(call);
        if (invite != null) {
            SipMessage reply = invite.message().reply(statusCode(status), "refused").with("X-Gauges", encode(report));
            send(invite.channel(), cause == Cause.NONE ? reply : reply.with("X-Outcome", outcome(cause)));
        }
    }

    /** Releases an established call with BYE, on the newest connection. */
    void sendRelease(String call, int cause, Report report) {
        Channel channel = newestConnection();
        if (channel != null) {
            send(channel, SipMessage.request("BYE", "sip:call@net").with("Call-ID", call).with("CSeq", "1 BYE")
                    .with("Reason", "Q.850;cause=" + cause).with("X-Gauges", encode(report)));
        }
    }

    /** Notifies the softswitch of new gauges, on all connections. */
    void sendReport(Report report) {
        gauges = encode(report);
        for (Channel channel : channels) {
            send(channel, gaugesNotification());
        }
    }

    private static int statusCode(Status status) {
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

    private static String encode(Report report) {
        StringBuilder out = new StringBuilder();
        appendGauge(out, "idle", report.free());
        appendGauge(out, "circuits", report.circuits());
        appendGauge(out, "backlog", report.backlog());
        appendGauge(out, "max_rate", report.maxRate());
        return out.toString();
    }

    private static void appendGauge(StringBuilder out, String name, double value) {
        if (!Double.isNaN(value)) {
            out.append(out.isEmpty() ? "" : ";").append(name).append(':').append(value);
        }
    }

    // Messages from the softswitch to the exchange.

    @Override
    public void received(Channel channel, SipMessage message) {
        String call = message.callId();
        switch (message.isRequest() ? message.method() : "") {
            case "INVITE" -> {
                long remainingMillis = Math.max(0, SipMessage.number(message.header("X-Deadline")));
                Invite invite = new Invite(channel, message, clock.modelMicros() + remainingMillis * 1_000);
                invites.put(call, invite);
                effects.accept(new Effect.Invite(call, (int) message.cseq() - 1, address, invite.deadline()));
            }
            case "CANCEL" -> {
                Invite invite = invites.remove(call);
                send(channel, message.reply(200, "OK"));
                if (invite != null) {
                    effects.accept(new Effect.Withdraw(call, (int) message.cseq() - 1,
                            clock.modelMicros() >= invite.deadline() ? Status.TIMEOUT : Status.CANCELLED));
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

    /** The softswitch has crashed or closed this connection: the set-ups that arrived on it are lost. */
    @Override
    public void ended(Channel channel, CloseReason reason) {
        channels.remove(channel);
        for (Map.Entry<String, Invite> pending : List.copyOf(invites.entrySet())) {
            if (pending.getValue().channel() == channel) {
                invites.remove(pending.getKey());
                if (!closed) {
                    effects.accept(new Effect.Withdraw(pending.getKey(),
                            (int) pending.getValue().message().cseq() - 1, Status.RESET));
                }
            }
        }
    }
}
