package wingspread.front.jsonl;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl.CallClass;
import wingspread.core.Caller;
import wingspread.core.Event;
import wingspread.core.Planner;
import wingspread.core.Request;
import wingspread.json.Json;
import wingspread.json.LineDecoder;
import wingspread.net.Admission;
import wingspread.net.BadInput;
import wingspread.net.CloseReason;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;
import wingspread.net.Newcomers;
import wingspread.storm.ReconnectFigures;
import wingspread.metrics.Metrics;

/** The platform's front: callers' JSON lines over TCP. It decides nothing. */
public final class JsonlFront implements MessageHandler.Owner<Map<?, ?>>, Caller.Strangers {
    private static final Logger CALLS = LoggerFactory.getLogger("call");
    private static final int REFUSED = 42;
    private static final int INVALID = 100;
    /** A caller sends its call with the connection; what says nothing for so long holds a descriptor for nothing. */
    private static final long LONGEST_MUTE = 2_500_000;
    private static final long LONGEST_PAUSE_MS = 2_200;
    private static final int MOST_PAUSES = 4;
    /** The loop reads what is ready before it plays what is due so much later. */
    private static final long LOOK_AGAIN = 1_000;
    /** Milliseconds; guards the deadline against figures that would overflow it. */
    private static final double LONGEST_WAIT = 86_400_000;

    private final Loop loop;
    private final List<CallClass> classes;
    private final Admission admission;
    private final Consumer<Event> planner;
    private final BooleanSupplier ready;
    private final Metrics metrics;
    private final ReconnectFigures reconnects;
    /** The connections, each with the calls that were offered on it and are open or stand. */
    private final Map<Channel, Calls> connections = new LinkedHashMap<>();
    private final Map<String, Leg> standing = new HashMap<>();
    private final OrphanedReleases orphans;
    private Channel listener;
    /** Connections that have come up. */
    private long accepted;

    public JsonlFront(Loop loop, List<CallClass> classes, IntSupplier mostConnections, Consumer<Event> planner,
            BooleanSupplier ready, ReconnectFigures reconnects, Metrics metrics) {
        this.reconnects = reconnects;
        this.loop = loop;
        this.orphans = new OrphanedReleases(loop, this::write);
        this.classes = classes;
        this.admission = new Admission(loop, mostConnections, LONGEST_MUTE, this::idle);
        this.planner = planner;
        this.ready = ready;
        this.metrics = metrics;
    }

    /** Starts to listen. */
    public ChannelFuture listen(InetSocketAddress address) {
        ServerBootstrap server = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                });
        if (reconnects.paced()) {
            server.handler(new Newcomers(loop, "caller", reconnects, metrics));
        }
        ChannelFuture bound = server.bind(address);
        listener = bound.channel();
        return bound;
    }

    /**
     * Stops to listen; connections stay. Guards against a reset of those that have come up and wait to be accepted:
     * the listener is closed after a look at its queue that found none.
     */
    public void stopListening() {
        long before = accepted;
        loop.at(loop.now() + LOOK_AGAIN, () -> {
            if (accepted == before) {
                listener.close();
            } else {
                stopListening();
            }
        });
    }

    /** How many connections are open. */
    public int connections() {
        return connections.size();
    }

    /** Closes the connections that owe no answer, have sent it whole and hold no part of a message. */
    public void closeIdle() {
        closeWhere(calls -> calls.open.isEmpty());
    }

    /** The same, but those stay on which calls were set up that stand. */
    public void closeUnused() {
        closeWhere(calls -> calls.open.isEmpty() && calls.standing == 0);
    }

    private void closeWhere(Predicate<Calls> unused) {
        connections.entrySet().stream()
                .filter(e -> unused.test(e.getValue()) && !MessageHandler.busy(e.getKey()))
                .map(Map.Entry::getKey).toList()
                .forEach(c -> MessageHandler.close(c, CloseReason.SHUTDOWN));
    }

    /** Closes all connections. */
    public void close() {
        List.copyOf(connections.keySet()).forEach(c -> MessageHandler.close(c, CloseReason.SHUTDOWN));
    }

    private void accept(SocketChannel channel) {
        channel.pipeline().addLast(new MessageHandler<>("caller", new LineDecoder(), this));
        connections.put(channel, new Calls());
        admission.opened(channel);
        accepted++;
    }

    private boolean idle(Channel channel) {
        Calls calls = connections.get(channel);
        return calls != null && calls.open.isEmpty() && calls.standing == 0 && !MessageHandler.busy(channel);
    }

    /** Callers may write slowly; one that stops short is owed a close within 3 s of connecting. */
    @Override
    public long longestPause() {
        return LONGEST_PAUSE_MS;
    }

    @Override
    public int mostPauses() {
        return MOST_PAUSES;
    }

    @Override
    public boolean owes(Channel channel) {
        Calls calls = connections.get(channel);
        return calls != null && !calls.open.isEmpty();
    }

    @Override
    public void ended(Channel channel, CloseReason reason) {
        admission.ended(channel);
        Calls calls = connections.remove(channel);
        for (Leg leg : calls == null ? List.<Leg>of() : calls.open.values()) {
            post(new Event.GivenUp(leg.id, leg));
        }
        orphans.ended(channel, reason);
    }

    /** A call that stood is over: its connection carries one less. */
    private void ended(Leg leg) {
        if (leg != null) {
            standing.remove(leg.id);
            Calls calls = connections.get(leg.channel);
            if (calls != null) {
                calls.standing--;
            }
        }
    }

    private void post(Event event) {
        planner.accept(event);
        loop.wantTurn();
    }

    // From callers.

    @Override
    public void received(Channel channel, Map<?, ?> message) throws BadInput {
        admission.heard(channel);
        orphans.heard(channel);
        String call = text(message, "call");
        switch (text(message, "op")) {
            case "offer" -> offer(channel, call, message);
            case "end" -> {
                int cause = message.get("why") instanceof Double d ? d.intValue() : Planner.NORMAL;
                Leg leg = connections.get(channel).open.remove(call);
                ended(standing.get(call));
                post(leg == null ? new Event.CallerEnded(call, cause) : new Event.GivenUp(call, leg));
                if (cause != Planner.NORMAL) {
                    write(channel, line("ended", call, "", -1, null));
                }
            }
            case "test" -> write(channel, line("tested", call, "", ready.getAsBoolean() ? 1 : 0, null));
            case "ringing", "accept", "ended", "tested", "group" -> metrics.count("taken.free");
            default -> throw new BadInput("JSON lines: an unknown op");
        }
    }

    private void offer(Channel channel, String call, Map<?, ?> message) throws BadInput {
        Map<?, ?> with = message.get("with") instanceof Map<?, ?> map ? map : Map.of();
        Leg leg = new Leg(call, channel);
        int callClass = classOf(text(with, "class"));
        Map<String, Double> extras = extras(text(with, "extras"));
        Double left = number(with.get("left"));
        double width = extras.getOrDefault("width", 1.0);
        if (callClass < 0 || left == null || left < 0 || width < 0 || !extras.containsKey("dest")
                || call.isEmpty()) {
            metrics.count("answered.invalid");
            write(channel, line("end", call, "", INVALID, null));
            return;
        }
        // Guards against two set-ups under one id on a connection, whose answers could not be told apart.
        if (connections.get(channel).open.putIfAbsent(call, leg) != null) {
            throw new BadInput("JSON lines: the id of an open call comes again");
        }
        orphans.offeredOn(channel);
        post(new Event.Offered(new Request(call, text(with, "class"), callClass, text(with, "key"),
                text(message, "desc").getBytes(StandardCharsets.ISO_8859_1),
                loop.now() + (long) (Math.min(left, LONGEST_WAIT) * 1_000), extras.get("dest").intValue(),
                width, extras.getOrDefault("via", -1.0).intValue(),
                !text(with, "retry").isEmpty(), extras.getOrDefault("transit", 0.0) > 0,
                extras.getOrDefault("again", 0.0) > 0), leg));
    }

    private int classOf(String name) {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    private static Map<String, Double> extras(String text) {
        Map<String, Double> out = new HashMap<>();
        for (String part : text.split(";")) {
            int colon = part.indexOf(':');
            Double value = colon < 0 ? null : number(part.substring(colon + 1));
            if (value != null) {
                out.put(part.substring(0, colon), value);
            }
        }
        return out;
    }

    /** Guards the module's arithmetic: a figure that is not finite would never leave it again. */
    private static Double number(Object value) {
        try {
            Double figure = value instanceof String s ? Double.valueOf(s) : value instanceof Double d ? d : null;
            return figure == null || !Double.isFinite(figure) ? null : figure;
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** A field that may be a string or a number, as text. */
    private static String text(Map<?, ?> map, String name) {
        Object value = map.get(name);
        if (value instanceof Double d) {
            return d == Math.rint(d) ? Long.toString(d.longValue()) : d.toString();
        }
        return value instanceof String s ? s : "";
    }

    // To callers.

    private static String line(String op, String call, String with, int why, String description) {
        StringBuilder out = new StringBuilder(128).append("{\"op\":\"").append(op).append("\",\"call\":");
        Json.quote(out, call);
        out.append(",\"with\":{").append(with).append('}');
        if (why >= 0) {
            out.append(",\"why\":").append(why);
        }
        if (description != null) {
            out.append(",\"desc\":");
            Json.quote(out, description);
        }
        return out.append("}\n").toString();
    }

    /** Tells that a call is over which this program has not set up. */
    @Override
    public void over(String call, int cause) {
        orphans.tell(call, releaseLine(call, cause));
    }

    private static String releaseLine(String call, int cause) {
        return line("end", call, "", cause, null);
    }

    private boolean up(Channel channel) {
        return connections.containsKey(channel) && channel.isActive();
    }

    private void write(Channel channel, String line) {
        MessageHandler.write(channel, Unpooled.wrappedBuffer(line.getBytes(StandardCharsets.ISO_8859_1)));
        loop.touch(channel);
    }

    /** What a connection carries: its calls that are owed an answer, and how many stand. */
    private static final class Calls {
        final Map<String, Leg> open = new LinkedHashMap<>();
        int standing;
    }

    /** A call's way back to its caller. */
    private final class Leg implements Caller {
        private final String id;
        private final Channel channel;

        Leg(String id, Channel channel) {
            this.id = id;
            this.channel = channel;
        }

        private void answer(String line) {
            Calls calls = connections.get(channel);
            if (calls != null) {
                calls.open.remove(id);
                write(channel, line);
            }
        }

        @Override
        public void stands(byte[] description) {
            Calls calls = connections.get(channel);
            if (calls != null) {
                calls.standing++;
                orphans.stoodOn(channel);
                standing.put(id, this);
            }
            answer(line("accept", id, "", -1, new String(description, StandardCharsets.ISO_8859_1)));
        }

        @Override
        public void refused(long wait) {
            answer(line("end", id, wait > 0 ? "\"wait\":\"" + (wait + 999) / 1_000 + "\"" : "", REFUSED, null));
        }

        @Override
        public void failed() {
            answer(line("end", id, "", Planner.CUT, null));
        }

        @Override
        public void givenUp() {
            answer(line("end", id, "", Planner.NORMAL, null));
        }

        @Override
        public void over(int cause) {
            JsonlFront.this.ended(standing.get(id));
            if (up(channel)) {
                CALLS.debug("{} release told to its caller {}", id, channel.remoteAddress());
                write(channel, releaseLine(id, cause));
            } else {
                orphans.tell(id, releaseLine(id, cause));
            }
        }

        /** A call of this wire belongs to no connection, nor to the program that set it up. */
        @Override
        public boolean outlivesRestart() {
            return true;
        }
    }
}
