package wingspread.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import wingspread.core.Planner;
import wingspread.core.Request;
import wingspread.json.Json;
import wingspread.json.LineDecoder;
import wingspread.lab.host.Effect;
import wingspread.net.CloseReason;
import wingspread.net.InvalidInputException;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;

/**
 * The callers of one softswitch. They share a fixed number of connections in the JSON-lines protocol; a connection that
 * ends is opened again. Confined to the event loop.
 */
final class CallerConnections implements MessageHandler.Listener<Map<?, ?>> {
    private static final long RECONNECT_DELAY_MICROS = 50_000;
    private static final long READ_PAUSE_MICROS = 2_000_000;
    private static final int REFUSED_CAUSE = 42;

    private final Loop loop;
    private final int port;
    private final WallClockPacing clock;
    private final Consumer<Effect> effects;
    private final List<Channel> connections = new ArrayList<>();
    /** The connection on which each unanswered call was offered; established calls have no entry. */
    private final Map<String, Channel> unanswered = new HashMap<>();
    private long reconnects;
    private boolean closed;

    /**
     * Opens the connections.
     *
     * @param port port of the softswitch on the loopback interface
     * @param connectionCount number of connections to keep open, at least 1
     * @param effects receives what the softswitch does, on the event loop
     */
    CallerConnections(Loop loop, int port, int connectionCount, WallClockPacing clock, Consumer<Effect> effects) {
        this.loop = loop;
        this.port = port;
        this.clock = clock;
        this.effects = effects;
        for (int i = 0; i < connectionCount; i++) {
            connections.add(null);
            connect(i);
        }
    }

    /** Returns how many connections have been opened again after they ended. */
    long reconnects() {
        return reconnects;
    }

    private void connect(int index) {
        if (closed) {
            return;
        }
        new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<NioSocketChannel>() {
                    @Override
                    protected void initChannel(NioSocketChannel channel) {
                        channel.pipeline().addLast(new MessageHandler<>("stand-in caller", new LineDecoder(),
                                CallerConnections.this));
                    }
                })
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .addListener((ChannelFuture future) -> connected(index, future));
    }

    private void connected(int index, ChannelFuture future) {
        if (!future.isSuccess()) {
            loop.at(loop.now() + RECONNECT_DELAY_MICROS, () -> connect(index));
            return;
        }
        reconnects += connections.get(index) == null ? 0 : 1;
        connections.set(index, future.channel());
        // The softswitch closes a connection on which no complete message arrives in time. A test request counts as
        // one, like the first message of a caller.
        write(future.channel(), "{\"op\":\"test\",\"call\":\"0000000000000001\",\"with\":{},\"why\":0}\n");
    }

    private void write(Channel channel, String line) {
        MessageHandler.write(channel, Unpooled.wrappedBuffer(line.getBytes(StandardCharsets.ISO_8859_1)));
        loop.flushAfterTurn(channel);
    }

    void close() {
        closed = true;
        connections.stream().filter(c -> c != null).forEach(Channel::close);
    }

    /** Stops reading from all connections for {@link #READ_PAUSE_MICROS}, then reads what has arrived meanwhile. */
    void pauseReading() {
        List<Channel> stalled = connections.stream().filter(c -> c != null && c.isActive()).toList();
        stalled.forEach(channel -> channel.config().setAutoRead(false));
        loop.at(loop.now() + READ_PAUSE_MICROS, () -> stalled.forEach(channel -> channel.config().setAutoRead(true)));
    }

    // Messages from the callers to the softswitch.

    /** Offers a call; it fails immediately if its connection is down. */
    void offer(Request request) {
        Channel channel = connections.get(Math.floorMod(request.id().hashCode(), connections.size()));
        if (channel == null || !channel.isActive()) {
            // A caller without a connection to the softswitch detects the failure immediately.
            effects.accept(new Effect.Failed(request.id()));
            return;
        }
        unanswered.put(request.id(), channel);
        StringBuilder line = new StringBuilder("{\"op\":\"offer\",\"call\":");
        Json.quote(line, request.id());
        line.append(",\"with\":{\"class\":");
        Json.quote(line, request.className());
        line.append(",\"left\":\"").append(Math.max(0, request.deadline() - clock.modelMicros()) / 1_000)
                .append("\",\"key\":\"").append(request.number()).append('"');
        if (request.redial()) {
            line.append(",\"retry\":\"1\"");
        }
        line.append(String.format(Locale.ROOT, ",\"extras\":\"dest:%d;width:%s;via:%d;transit:%d;again:%d\"}",
                request.destination(), request.width(), request.via(), request.transit() ? 1 : 0,
                request.cut() ? 1 : 0)).append(",\"desc\":\"\"}\n");
        write(channel, line.toString());
    }

    /**
     * Abandons an unanswered call or releases an established one. An established call has no connection of its own, so
     * any open one is used.
     *
     * @param cause cause according to Q.850
     */
    void release(String call, int cause) {
        Channel offeredOn = unanswered.remove(call);
        Channel channel = offeredOn == null ? connections.stream().filter(c -> c != null && c.isActive()).findFirst()
                .orElse(null) : offeredOn;
        if (channel != null && channel.isActive()) {
            write(channel, "{\"op\":\"end\",\"call\":\"" + call + "\",\"with\":{},\"why\":" + cause + "}\n");
        }
    }

    // Messages from the softswitch to the callers.

    @Override
    public void received(Channel channel, Map<?, ?> message) throws InvalidInputException {
        String call = String.valueOf(message.get("call"));
        switch (String.valueOf(message.get("op"))) {
            case "accept" -> {
                unanswered.remove(call);
                effects.accept(new Effect.Established(call));
            }
            case "end" -> callEnded(call, message);
            default -> { }
        }
    }

    private void callEnded(String call, Map<?, ?> message) {
        int cause = message.get("why") instanceof Double d ? d.intValue() : Planner.CAUSE_NORMAL_CLEARING;
        if (unanswered.remove(call) == null) {
            effects.accept(new Effect.Ended(call, cause));
        } else if (cause == REFUSED_CAUSE) {
            Object wait = message.get("with") instanceof Map<?, ?> with ? with.get("wait") : null;
            effects.accept(new Effect.Refused(call, wait == null ? 0 : Long.parseLong(wait.toString()) * 1_000));
        } else {
            effects.accept(new Effect.Failed(call));
        }
    }

    @Override
    public void ended(Channel channel, CloseReason reason) {
        int index = connections.indexOf(channel);
        for (Map.Entry<String, Channel> call : List.copyOf(unanswered.entrySet())) {
            if (call.getValue() == channel) {
                unanswered.remove(call.getKey());
                effects.accept(new Effect.Failed(call.getKey()));
            }
        }
        if (index >= 0) {
            connect(index);
        }
    }
}
