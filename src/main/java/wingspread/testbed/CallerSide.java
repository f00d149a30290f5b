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
import wingspread.json.LineDecoder;
import wingspread.json.Json;
import wingspread.lab.host.Effect;
import wingspread.net.InvalidInputException;
import wingspread.net.CloseReason;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;

/**
 * The callers of one softswitch, who share some connections of JSON lines and open each anew when it ends. Confined to
 * the loop.
 */
final class CallerSide implements MessageHandler.Listener<Map<?, ?>> {
    private static final long RECONNECT = 50_000;
    private static final long STALL = 2_000_000;
    private static final int REFUSED = 42;

    private final Loop loop;
    private final int port;
    private final Clock clock;
    private final Consumer<Effect> effects;
    private final List<Channel> connections = new ArrayList<>();
    /** Where each call that is owed an answer was offered; those that stand have no entry. */
    private final Map<String, Channel> open = new HashMap<>();
    private long reconnects;
    private boolean closed;

    /** Connects so many times. */
    CallerSide(Loop loop, int port, int howMany, Clock clock, Consumer<Effect> effects) {
        this.loop = loop;
        this.port = port;
        this.clock = clock;
        this.effects = effects;
        for (int i = 0; i < howMany; i++) {
            connections.add(null);
            connect(i);
        }
    }

    /** Connections that were opened anew. */
    long reconnects() {
        return reconnects;
    }

    private void connect(int which) {
        if (closed) {
            return;
        }
        new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<NioSocketChannel>() {
                    @Override
                    protected void initChannel(NioSocketChannel channel) {
                        channel.pipeline().addLast(new MessageHandler<>("stand-in caller", new LineDecoder(),
                                CallerSide.this));
                    }
                })
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .addListener((ChannelFuture f) -> connected(which, f));
    }

    private void connected(int which, ChannelFuture f) {
        if (!f.isSuccess()) {
            loop.at(loop.now() + RECONNECT, () -> connect(which));
            return;
        }
        reconnects += connections.get(which) == null ? 0 : 1;
        connections.set(which, f.channel());
        // A test holds the connection open, as a caller's first message does.
        write(f.channel(), "{\"op\":\"test\",\"call\":\"0000000000000001\",\"with\":{},\"why\":0}\n");
    }

    private void write(Channel channel, String line) {
        MessageHandler.write(channel, Unpooled.wrappedBuffer(line.getBytes(StandardCharsets.ISO_8859_1)));
        loop.flushAfterTurn(channel);
    }

    void close() {
        closed = true;
        connections.stream().filter(c -> c != null).forEach(Channel::close);
    }

    /** The callers read nothing for a while, and then all that has come. */
    void stall() {
        List<Channel> stalled = connections.stream().filter(c -> c != null && c.isActive()).toList();
        stalled.forEach(channel -> channel.config().setAutoRead(false));
        loop.at(loop.now() + STALL, () -> stalled.forEach(channel -> channel.config().setAutoRead(true)));
    }

    // What callers do.

    void offer(Request request) {
        Channel channel = connections.get(Math.floorMod(request.id().hashCode(), connections.size()));
        if (channel == null || !channel.isActive()) {
            // Whoever finds no softswitch knows at once that the try has failed.
            effects.accept(new Effect.Failed(request.id()));
            return;
        }
        open.put(request.id(), channel);
        StringBuilder line = new StringBuilder("{\"op\":\"offer\",\"call\":");
        Json.quote(line, request.id());
        line.append(",\"with\":{\"class\":");
        Json.quote(line, request.className());
        line.append(",\"left\":\"").append(Math.max(0, request.deadline() - clock.model()) / 1_000)
                .append("\",\"key\":\"").append(request.number()).append('"');
        if (request.redial()) {
            line.append(",\"retry\":\"1\"");
        }
        line.append(String.format(Locale.ROOT, ",\"extras\":\"dest:%d;width:%s;via:%d;transit:%d;again:%d\"}",
                request.destination(), request.width(), request.via(), request.transit() ? 1 : 0,
                request.cut() ? 1 : 0)).append(",\"desc\":\"\"}\n");
        write(channel, line.toString());
    }

    /** A caller waits no longer, or hangs up. */
    void end(String call, int cause) {
        Channel channel = open.remove(call);
        Channel by = channel == null ? connections.stream().filter(c -> c != null && c.isActive()).findFirst()
                .orElse(null) : channel;
        if (by != null && by.isActive()) {
            write(by, "{\"op\":\"end\",\"call\":\"" + call + "\",\"with\":{},\"why\":" + cause + "}\n");
        }
    }

    // What they hear.

    @Override
    public void received(Channel channel, Map<?, ?> message) throws InvalidInputException {
        String call = String.valueOf(message.get("call"));
        switch (String.valueOf(message.get("op"))) {
            case "accept" -> {
                open.remove(call);
                effects.accept(new Effect.Stands(call));
            }
            case "end" -> ended(call, message);
            default -> { }
        }
    }

    private void ended(String call, Map<?, ?> message) {
        int why = message.get("why") instanceof Double d ? d.intValue() : Planner.CAUSE_NORMAL_CLEARING;
        if (open.remove(call) == null) {
            effects.accept(new Effect.Over(call, why));
        } else if (why == REFUSED) {
            Object wait = message.get("with") instanceof Map<?, ?> with ? with.get("wait") : null;
            effects.accept(new Effect.Refused(call, wait == null ? 0 : Long.parseLong(wait.toString()) * 1_000));
        } else {
            effects.accept(new Effect.Failed(call));
        }
    }

    @Override
    public void ended(Channel channel, CloseReason reason) {
        int which = connections.indexOf(channel);
        for (Map.Entry<String, Channel> call : List.copyOf(open.entrySet())) {
            if (call.getValue() == channel) {
                open.remove(call.getKey());
                effects.accept(new Effect.Failed(call.getKey()));
            }
        }
        if (which >= 0) {
            connect(which);
        }
    }
}
