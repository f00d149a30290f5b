package wingspread.testbed.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
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
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import wingspread.json.LineDecoder;
import wingspread.net.InvalidInputException;
import wingspread.net.CloseReason;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;

/**
 * The usual callers of one softswitch: they offer calls over some connections, open each anew when it ends, and use an
 * open one for as long as it is open. Some of them give up, write slowly, repeat an id, or leave with their request.
 * Confined to the loop.
 */
final class CallerStandIn implements MessageHandler.Listener<Map<?, ?>> {
    private static final int NORMAL = 16;
    private static final List<Integer> REFUSALS = List.of(34, 42, 102);
    private static final long RECONNECT = 20_000;
    /** 'a set-up that crosses such a close within 50 ms is resent' */
    private static final long CROSSING = 50_000;
    private static final double TRANSIT_SHARE = 0.1;
    private static final double HANG_UP_SHARE = 0.1;
    private static final double SHORT_TIME_SHARE = 0.1;
    private static final double FAULTY_SHARE = 0.25;
    private static final long PIECE_PAUSE = 8_000;
    /** Of a caller that writes very slowly. */
    private static final long LONGEST_PIECE_PAUSE = 1_500_000;
    private static final String TEST = "{\"op\":\"test\",\"call\":\"0000000000000001\",\"with\":{},\"why\":0}\n";

    /** What some of the callers do wrong for a while. */
    enum Habit { GIVE_UP, REPEATED_ID, SLOW_WRITER, SEND_AND_CLOSE }

    /** A set-up that waits for its answer. */
    private record Offer(String id, long writtenAt, boolean again) { }

    private final Loop loop;
    private final int softswitch;
    private final int port;
    private final Schedule.Deployment deployment;
    private final SplittableRandom random;
    private final TrialLog log;
    private final Judge judge;
    private final String party;
    private final List<Channel> slots = new ArrayList<>();
    private final Map<Channel, Map<String, Offer>> open = new LinkedHashMap<>();
    private final Map<Habit, Boolean> habits = new LinkedHashMap<>();
    /** Connections on which a message is written in part: nothing else may come between. */
    private final Set<Channel> partWritten = new HashSet<>();
    private int toSendAgain;
    private boolean offering;
    private boolean closed;
    private boolean ready;
    /** When SIGTERM was sent to the softswitch; {@link Long#MAX_VALUE} where none was. */
    private long terminatedAt = Long.MAX_VALUE;
    private boolean killed;

    CallerStandIn(Loop loop, int softswitch, int port, int connections, Schedule.Deployment deployment,
            SplittableRandom random, TrialLog log, Judge judge) {
        this.loop = loop;
        this.softswitch = softswitch;
        this.port = port;
        this.deployment = deployment;
        this.random = random;
        this.log = log;
        this.judge = judge;
        this.party = "callers of n" + softswitch;
        for (int i = 0; i < connections; i++) {
            slots.add(null);
        }
    }

    /** Connects, and tests whether the softswitch is ready. */
    void connect() {
        for (int i = 0; i < slots.size(); i++) {
            connect(i);
        }
    }

    /** Whether the softswitch has passed a test since its last start. */
    boolean ready() {
        return ready;
    }

    /** Begins to offer calls. */
    void begin() {
        offering = true;
        next();
    }

    /** Offers no further call. */
    void end() {
        offering = false;
    }

    void habit(Habit habit, boolean on) {
        habits.put(habit, on);
    }

    /** SIGTERM is sent to the softswitch now. */
    void terminated() {
        terminatedAt = loop.now();
        ready = false;
    }

    /** SIGKILL is sent to the softswitch now. */
    void killed() {
        killed = true;
        ready = false;
    }

    /** The softswitch is started again. */
    void startedAgain() {
        killed = false;
        terminatedAt = Long.MAX_VALUE;
    }

    void close() {
        closed = true;
        List.copyOf(open.keySet()).forEach(Channel::close);
    }

    // Connections.

    private void connect(int slot) {
        if (closed) {
            return;
        }
        new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<NioSocketChannel>() {
                    @Override
                    protected void initChannel(NioSocketChannel channel) {
                        channel.pipeline().addLast(new MessageHandler<>("stand-in caller", new LineDecoder(),
                                CallerStandIn.this));
                    }
                })
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        slots.set(slot, f.channel());
                        open.put(f.channel(), new LinkedHashMap<>());
                        write(f.channel(), TEST);
                        sendAgain(f.channel());
                    } else {
                        loop.at(loop.now() + RECONNECT, () -> connect(slot));
                    }
                });
    }

    private void write(Channel channel, String line) {
        MessageHandler.write(channel, Unpooled.wrappedBuffer(line.getBytes(StandardCharsets.ISO_8859_1)));
        loop.flushAfterTurn(channel);
    }

    private void sendAgain(Channel channel) {
        if (offering && toSendAgain > 0) {
            toSendAgain--;
            offer(channel, true);
        }
    }

    private Channel anyOpen() {
        List<Channel> up = open.keySet().stream().filter(c -> c.isActive() && !partWritten.contains(c)).toList();
        return up.isEmpty() ? null : up.get(random.nextInt(up.size()));
    }

    @Override
    public void ended(Channel channel, CloseReason reason) {
        Map<String, Offer> unanswered = open.remove(channel);
        int slot = slots.indexOf(channel);
        if (slot >= 0) {
            slots.set(slot, null);
            loop.at(loop.now() + 1, () -> connect(slot));
        }
        if (unanswered != null) {
            unanswered.values().forEach(this::unanswered);
        }
    }

    private void unanswered(Offer offer) {
        long now = loop.now();
        if (killed && terminatedAt == Long.MAX_VALUE) {
            judge.excused(offer.id(), Excuse.KILLED_OUTRIGHT);
        } else if (killed && offer.writtenAt() <= terminatedAt + 700_000) {
            judge.excused(offer.id(), Excuse.KILLED_AT_PLANNED_END);
        } else if (!offer.again() && now - offer.writtenAt() <= CROSSING && !judge.wasAttempted(offer.id())) {
            // Its caller sends it again, once, on a new connection; here that is another call, with an id of its own,
            // once a connection has come up.
            judge.excused(offer.id(), Excuse.CROSSED_A_CLOSE);
            toSendAgain++;
        } else {
            judge.lost(offer.id(), "its connection was closed without an answer, " + (now - offer.writtenAt()) / 1_000
                    + " ms after it was written" + (terminatedAt < now ? ", "
                    + (now - terminatedAt) / 1_000 + " ms after SIGTERM" : ""));
        }
    }

    // Calls.

    private void next() {
        if (!offering) {
            return;
        }
        Channel channel = anyOpen();
        if (channel != null) {
            offer(channel, false);
        }
        if (faulty(Habit.SEND_AND_CLOSE)) {
            sendAndClose();
        }
        double gap = -Math.log(1 - random.nextDouble()) / deployment.callsPerSecond();
        loop.at(loop.now() + (long) (gap * 1_000_000), this::next);
    }

    /**
     * A caller with a connection of its own sends its request and closes, so that no answer is owed; calls of others
     * may not stand on that connection, since a release that crosses the close would be lost by the caller's own doing.
     */
    private void sendAndClose() {
        String id = newId();
        log.add(party, id, "offers on a connection that it closes at once");
        judge.offered(id, softswitch, loop.now() + deployment.longestDeadline(), -1);
        judge.excused(id, Excuse.CALLER_GAVE_UP);
        BadCallers.sayAndClose(loop, port, line(id, 0, deployment.deadlinesMs().get(0), otherPlace(), false));
    }

    private boolean faulty(Habit habit) {
        return habits.getOrDefault(habit, false) && random.nextDouble() < FAULTY_SHARE;
    }

    private void offer(Channel channel, boolean again) {
        String id = newId();
        int callClass = random.nextInt(deployment.deadlinesMs().size());
        long left = (long) (deployment.deadlinesMs().get(callClass)
                * (random.nextDouble() < SHORT_TIME_SHARE ? 0.05 + 0.25 * random.nextDouble() : 1));
        int destination = otherPlace();
        boolean transit = deployment.exchanges() > 2 && random.nextDouble() < TRANSIT_SHARE;
        String line = line(id, callClass, left, destination, transit);
        if (faulty(Habit.SLOW_WRITER)) {
            int cut = 1 + random.nextInt(line.length() - 2);
            partWritten.add(channel);
            channel.writeAndFlush(bytes(line.substring(0, cut)));
            long pause = PIECE_PAUSE + (random.nextInt(4) == 0 ? random.nextLong(LONGEST_PIECE_PAUSE) : 0);
            loop.at(loop.now() + pause, () -> {
                partWritten.remove(channel);
                if (channel.isActive() && open.containsKey(channel)) {
                    written(channel, id, left, transit ? softswitch : -1, destination, line.substring(cut), again);
                }
            });
        } else {
            written(channel, id, left, transit ? softswitch : -1, destination, line, again);
        }
    }

    private String newId() {
        return String.format(Locale.ROOT, "%016x", random.nextLong());
    }

    /** The place of an exchange other than the softswitch's own. */
    private int otherPlace() {
        int other = random.nextInt(deployment.exchanges() - 1);
        return other < softswitch ? other : other + 1;
    }

    private String line(String id, int callClass, long leftMs, int destination, boolean transit) {
        return String.format(Locale.ROOT, "{\"op\":\"offer\",\"call\":\"%s\",\"with\":{\"class\":\"c%d\","
                + "\"left\":\"%d\",\"key\":\"%016x\",\"extras\":\"dest:%d;width:1;via:%d%s\"},\"desc\":\"offer %s\"}\n",
                id, callClass, leftMs, random.nextLong(), destination, transit ? softswitch : -1,
                transit ? ";transit:1" : "", id);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes the last bytes of a set-up. */
    private void written(Channel channel, String id, long leftMs, int transitFrom, int destination, String rest,
            boolean again) {
        long now = loop.now();
        log.add(party, id, "offers left-ms=" + leftMs + " destination=" + destination
                + (transitFrom >= 0 ? " transit" : "") + " on " + channel.localAddress());
        judge.offered(id, softswitch, now + leftMs * 1_000, transitFrom >= 0 ? destination : -1);
        open.get(channel).put(id, new Offer(id, now, again));
        channel.writeAndFlush(bytes(rest));
        if (faulty(Habit.GIVE_UP)) {
            loop.at(now + (long) (leftMs * 1_000 * random.nextDouble() * 0.5), () -> giveUp(channel, id));
        } else if (faulty(Habit.REPEATED_ID)) {
            repeat(id, rest);
        }
    }

    private void giveUp(Channel channel, String id) {
        Map<String, Offer> on = open.get(channel);
        if (on != null && on.remove(id) != null) {
            log.add(party, id, "gives up");
            judge.excused(id, Excuse.CALLER_GAVE_UP);
            release(channel, id);
        }
    }

    /** A caller that may not offer this id does so, on a connection of its own, and goes. */
    private void repeat(String id, String line) {
        if (line.startsWith("{")) {
            BadCallers.sayOnce(loop, port, line, log, party, call -> {
                if (judge.stands(call) && !call.equals(id)) {
                    log.add(party, call, "told over on another caller's connection");
                    judge.toldOver(call);
                }
            });
        }
    }

    @Override
    public void received(Channel channel, Map<?, ?> message) throws InvalidInputException {
        String id = String.valueOf(message.get("call"));
        switch (String.valueOf(message.get("op"))) {
            case "tested" -> {
                boolean passed = message.get("why") instanceof Double d && d.intValue() == 1;
                ready |= passed && terminatedAt == Long.MAX_VALUE && !killed;
                if (!passed && terminatedAt == Long.MAX_VALUE) {
                    loop.at(loop.now() + RECONNECT, () -> write(channel, TEST));
                }
            }
            case "accept" -> accepted(channel, id, String.valueOf(message.get("desc")));
            case "end" -> ended(channel, id, message);
            default -> { }
        }
    }

    /** Ends a call; waits while another message is written in part. */
    private void release(Channel channel, String id) {
        if (partWritten.contains(channel)) {
            loop.at(loop.now() + PIECE_PAUSE, () -> release(channel, id));
        } else if (channel.isActive()) {
            channel.writeAndFlush(bytes("{\"op\":\"end\",\"call\":\"" + id + "\",\"with\":{},\"why\":16}\n"));
        }
    }

    private Offer answered(Channel channel, String id) {
        Map<String, Offer> on = open.get(channel);
        return on == null ? null : on.remove(id);
    }

    private void accepted(Channel channel, String id, String description) {
        if (answered(channel, id) == null) {
            // Its caller has given up or gone: the call is released again.
            log.add(party, id, "is told that a call stands which nobody waits for");
            release(channel, id);
            return;
        }
        log.add(party, id, "stands");
        judge.stood(id, description);
        if (random.nextDouble() < HANG_UP_SHARE) {
            loop.at(loop.now() + (long) (random.nextDouble() * deployment.holdingMs() * 1_000), () -> hangUp(id));
        }
    }

    private void hangUp(String id) {
        Channel channel = anyOpen();
        if (channel != null && judge.stands(id)) {
            log.add(party, id, "hangs up");
            judge.toldOver(id);
            release(channel, id);
        }
    }

    private void ended(Channel channel, String id, Map<?, ?> message) {
        int why = message.get("why") instanceof Double d ? d.intValue() : NORMAL;
        Offer offer = answered(channel, id);
        if (offer == null) {
            log.add(party, id, "told over cause=" + why);
            if (judge.stands(id)) {
                judge.toldOver(id);
            } else if (!judge.isAnswered(id)) {
                judge.answeredAstray(id, softswitch);
            }
            return;
        }
        boolean refused = REFUSALS.contains(why);
        log.add(party, id, (refused ? "refused" : "failed") + " cause=" + why + " after "
                + (loop.now() - offer.writtenAt()) / 1_000 + " ms");
        if (refused) {
            judge.refused(id);
        } else {
            judge.failed(id);
        }
    }
}
