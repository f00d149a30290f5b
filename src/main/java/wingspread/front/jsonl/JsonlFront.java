package wingspread.front.jsonl;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import wingspread.control.CallControl.CallClass;
import wingspread.core.Caller;
import wingspread.core.Event;
import wingspread.core.Planner;
import wingspread.core.Request;
import wingspread.json.Json;
import wingspread.json.LineDecoder;
import wingspread.metrics.Metrics;
import wingspread.net.AcceptThrottle;
import wingspread.net.Admission;
import wingspread.net.CloseReason;
import wingspread.net.InvalidInputException;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;
import wingspread.storm.ReconnectParameters;

/**
 * The front end for the platform's callers, which use JSON lines over TCP. Converts their messages to events of the
 * planner and the planner's results to messages; all decisions are the planner's.
 */
public final class JsonlFront implements MessageHandler.Listener<Map<?, ?>>, Caller.UnknownCallListener {
    private static final int REFUSED_CAUSE = 42;
    private static final int INVALID_CAUSE = 100;
    /**
     * Time within which a new connection must send its first message. Callers send a call as soon as they connect; an
     * idle connection would occupy a file descriptor for nothing.
     */
    private static final long FIRST_MESSAGE_TIMEOUT_MICROS = 2_500_000;
    /** Unsent bytes of replies above which a connection's further messages wait, and below which they go on. */
    private static final WriteBufferWaterMark UNREAD_REPLIES_MARK = new WriteBufferWaterMark(16 * 1024, 32 * 1024);
    /** As many reads as a connection may buffer. */
    private static final int MAX_READS_PER_ITERATION = MessageHandler.MAX_READ_AHEAD_BYTES / MessageHandler.READ_BYTES;
    /** Few, as hundreds of connections may send at full speed beside those of the usual callers. */
    private static final int MESSAGES_PER_ROUND = 2;
    private static final long MAX_PAUSE_MS = 2_200;
    private static final int MAX_PAUSES = 4;
    /** The loop handles all I/O that is ready before it runs a task that is due after this delay. */
    private static final long ACCEPT_CHECK_DELAY_MICROS = 1_000;

    private final Loop loop;
    private final OfferParser offers;
    private final Admission admission;
    private final Consumer<Event> planner;
    private final BooleanSupplier ready;
    private final Metrics metrics;
    private final ReconnectParameters reconnects;
    /** The open connections, each with its calls that are pending or established. */
    private final Map<Channel, ConnectionCalls> connections = new LinkedHashMap<>();
    private final Map<String, Leg> establishedLegs = new HashMap<>();
    private final ReleaseDelivery releaseDelivery;
    private Channel listener;
    /** Number of connections accepted so far. */
    private long accepted;

    /**
     * Creates a front end that does not listen yet.
     *
     * @param classes the call classes; the position of a class is its index
     * @param maxConnections maximum number of open connections; the value may change over time
     * @param planner receives the events
     * @param ready whether calls are accepted, as reported in responses to {@code test}
     * @param reconnects how new connections are paced
     */
    public JsonlFront(Loop loop, List<CallClass> classes, IntSupplier maxConnections, Consumer<Event> planner,
            BooleanSupplier ready, ReconnectParameters reconnects, Metrics metrics) {
        this.reconnects = reconnects;
        this.loop = loop;
        this.releaseDelivery = new ReleaseDelivery(loop, this::write);
        this.offers = new OfferParser(classes);
        this.admission = new Admission(loop, maxConnections, FIRST_MESSAGE_TIMEOUT_MICROS, this::idle);
        this.planner = planner;
        this.ready = ready;
        this.metrics = metrics;
        metrics.addGauge("kept.caller-connections", connections::size);
        metrics.addGauge("kept.established-legs", establishedLegs::size);
    }

    /**
     * Binds the listening socket and starts accepting connections.
     *
     * @param shared whether another process that allows it too may listen on the same address at the same time
     */
    public ChannelFuture listen(InetSocketAddress address, boolean shared) {
        ServerBootstrap server = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 512)
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), shared)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, readsUntilEnd())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNREAD_REPLIES_MARK)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                });
        if (reconnects.paced()) {
            server.handler(new AcceptThrottle(loop, "caller", reconnects, metrics));
        }
        ChannelFuture bound = server.bind(address);
        listener = bound.channel();
        return bound;
    }

    /**
     * Reads also after less than a full buffer, so that a client's close is known before its messages are processed.
     */
    private static RecvByteBufAllocator readsUntilEnd() {
        return new FixedRecvByteBufAllocator(MessageHandler.READ_BYTES).respectMaybeMoreData(false)
                .maxMessagesPerRead(MAX_READS_PER_ITERATION);
    }

    /**
     * Stops listening; open connections are kept. Closing the listener would reset connections that are established but
     * not yet accepted, so it is closed only after a check of its queue that found none.
     */
    public void stopListening() {
        long before = accepted;
        loop.at(loop.now() + ACCEPT_CHECK_DELAY_MICROS, () -> {
            if (accepted == before) {
                listener.close();
            } else {
                stopListening();
            }
        });
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.size();
    }

    /** Closes the connections that have no pending call, no unsent data and no partly received message. */
    public void closeIdle() {
        closeWhere(calls -> calls.pending.isEmpty());
    }

    /** Like {@link #closeIdle}, but keeps the connections on which established calls were set up. */
    public void closeUnused() {
        closeWhere(calls -> calls.pending.isEmpty() && calls.establishedCount == 0);
    }

    private void closeWhere(Predicate<ConnectionCalls> unused) {
        connections.entrySet().stream()
                .filter(e -> unused.test(e.getValue()) && !MessageHandler.hasPendingData(e.getKey()))
                .map(Map.Entry::getKey).toList()
                .forEach(c -> MessageHandler.close(c, CloseReason.SHUTDOWN));
    }

    /** Sends the releases that wait for a connection, if any caller is connected. */
    public void sendQueuedReleases() {
        releaseDelivery.sendQueuedOnAnyConnection();
    }

    /** Closes all connections. */
    public void close() {
        List.copyOf(connections.keySet()).forEach(c -> MessageHandler.close(c, CloseReason.SHUTDOWN));
    }

    private void accept(SocketChannel channel) {
        channel.pipeline().addLast(new MessageHandler<>("caller", new LineDecoder(), this, loop.input()));
        connections.put(channel, new ConnectionCalls());
        admission.opened(channel);
        accepted++;
    }

    private boolean idle(Channel channel) {
        ConnectionCalls calls = connections.get(channel);
        return calls != null && calls.pending.isEmpty() && calls.establishedCount == 0
                && !MessageHandler.hasPendingData(channel);
    }

    /** Callers may write slowly, but an incomplete message must lead to a close within 3 s of connecting. */
    @Override
    public long maxPauseMillis() {
        return MAX_PAUSE_MS;
    }

    @Override
    public int maxPauses() {
        return MAX_PAUSES;
    }

    @Override
    public int messagesPerRound() {
        return MESSAGES_PER_ROUND;
    }

    @Override
    public boolean isPeerClient() {
        return true;
    }

    /** Calls of a caller that has left are not started any more; the ends of its calls still count. */
    @Override
    public boolean isObsoleteAfterEnd(Map<?, ?> message) {
        return !OfferParser.text(message, "op").equals("end");
    }

    @Override
    public boolean hasPendingReply(Channel channel) {
        ConnectionCalls calls = connections.get(channel);
        return calls != null && !calls.pending.isEmpty();
    }

    @Override
    public void ended(Channel channel, CloseReason reason) {
        admission.ended(channel);
        ConnectionCalls calls = connections.remove(channel);
        for (Leg leg : calls == null ? List.<Leg>of() : calls.pending.values()) {
            post(new Event.CallerAbandoned(leg.id, leg));
        }
        releaseDelivery.removeConnection(channel, reason);
    }

    /** Removes an established call, which may be null, and decrements the count of its connection. */
    private void removeEstablished(Leg leg) {
        if (leg != null) {
            establishedLegs.remove(leg.id);
            ConnectionCalls calls = connections.get(leg.channel);
            if (calls != null) {
                calls.establishedCount--;
            }
        }
    }

    private void post(Event event) {
        planner.accept(event);
        loop.requestTurn();
    }

    // Messages from callers.

    @Override
    public void received(Channel channel, Map<?, ?> message) throws InvalidInputException {
        String call = OfferParser.text(message, "call");
        ConnectionCalls calls = connections.get(channel);
        if (calls == null) {
            // The connection has ended, and only the ends of calls are delivered.
            release(call, releaseCause(message));
            return;
        }
        admission.messageReceived(channel);
        releaseDelivery.markActive(channel);
        switch (OfferParser.text(message, "op")) {
            case "offer" -> offer(channel, call, message);
            case "end" -> {
                int cause = releaseCause(message);
                Leg leg = calls.pending.remove(call);
                if (leg == null) {
                    release(call, cause);
                } else {
                    post(new Event.CallerAbandoned(call, leg));
                }
                if (cause != Planner.CAUSE_NORMAL_CLEARING) {
                    write(channel, line("ended", call, "", -1, null));
                }
            }
            case "test" -> write(channel, line("tested", call, "", ready.getAsBoolean() ? 1 : 0, null));
            case "ringing", "accept", "ended", "tested", "group" -> metrics.count("taken.free");
            default -> throw new InvalidInputException("JSON lines: unknown op");
        }
    }

    private static int releaseCause(Map<?, ?> message) {
        return message.get("why") instanceof Double cause ? cause.intValue() : Planner.CAUSE_NORMAL_CLEARING;
    }

    private void release(String call, int cause) {
        removeEstablished(establishedLegs.get(call));
        post(new Event.CallerReleased(call, cause));
    }

    private void offer(Channel channel, String call, Map<?, ?> message) throws InvalidInputException {
        Request request;
        try {
            request = offers.parse(message, loop.now());
        } catch (OfferParser.InvalidOfferException e) {
            metrics.count("answered.invalid");
            releaseDelivery.distrust(channel);
            write(channel, line("end", call, "", INVALID_CAUSE, null));
            return;
        }
        // Answers to two set-ups with the same id on one connection could not be distinguished.
        Leg leg = new Leg(call, channel);
        if (connections.get(channel).pending.putIfAbsent(call, leg) != null) {
            throw new InvalidInputException("JSON lines: duplicate id of a pending call");
        }
        releaseDelivery.callOffered(channel);
        post(new Event.Offered(request, leg));
    }

    // Messages to callers.

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

    /** Notifies a caller of the release of a call that this process has not set up. */
    @Override
    public void onEnded(String call, int cause) {
        releaseDelivery.send(call, releaseLine(call, cause));
    }

    private static String releaseLine(String call, int cause) {
        return line("end", call, "", cause, null);
    }

    private boolean isConnected(Channel channel) {
        return connections.containsKey(channel) && channel.isActive();
    }

    private void write(Channel channel, String line) {
        MessageHandler.write(channel, Unpooled.wrappedBuffer(line.getBytes(StandardCharsets.ISO_8859_1)));
        loop.flushAfterTurn(channel);
    }

    /** The calls of a connection: those that await a final answer, and the number of established ones. */
    private static final class ConnectionCalls {
        final Map<String, Leg> pending = new LinkedHashMap<>();
        int establishedCount;
    }

    /** The reply channel of a call to its caller. */
    private final class Leg implements Caller {
        private final String id;
        private final Channel channel;

        Leg(String id, Channel channel) {
            this.id = id;
            this.channel = channel;
        }

        private void answer(String line) {
            ConnectionCalls calls = connections.get(channel);
            if (calls != null) {
                calls.pending.remove(id);
                write(channel, line);
            }
        }

        @Override
        public void onEstablished(byte[] description) {
            ConnectionCalls calls = connections.get(channel);
            // A call that its caller gave up in this turn is released at once, and nothing else ends it here.
            if (calls != null && calls.pending.get(id) == this) {
                calls.establishedCount++;
                releaseDelivery.callEstablished(channel);
                establishedLegs.put(id, this);
            }
            answer(line("accept", id, "", -1, new String(description, StandardCharsets.ISO_8859_1)));
        }

        @Override
        public void onRefused(long wait) {
            answer(line("end", id, wait > 0 ? "\"wait\":\"" + (wait + 999) / 1_000 + "\"" : "", REFUSED_CAUSE, null));
        }

        @Override
        public void onFailed() {
            answer(line("end", id, "", Planner.CAUSE_TEMPORARY_FAILURE, null));
        }

        @Override
        public void onAbandoned() {
            answer(line("end", id, "", Planner.CAUSE_NORMAL_CLEARING, null));
        }

        @Override
        public void onEnded(int cause) {
            JsonlFront.this.removeEstablished(establishedLegs.get(id));
            if (isConnected(channel)) {
                releaseDelivery.sendOn(channel, id, releaseLine(id, cause));
            } else {
                releaseDelivery.send(id, releaseLine(id, cause));
            }
        }

        @Override
        public boolean isReachable() {
            return isConnected(channel) || releaseDelivery.hasConnection();
        }

        /** A call of this protocol is bound neither to a connection nor to the process that set it up. */
        @Override
        public boolean survivesRestart() {
            return true;
        }
    }
}
