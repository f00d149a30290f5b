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
import wingspread.net.CloseReason;
import wingspread.net.InvalidInputException;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;

/**
 * Stand-in for the regular callers of one softswitch. They offer calls over a fixed number of persistent connections,
 * and reconnect when one of them ends. During some faults, part of the callers abandon calls, write slowly, reuse the
 * id of an open call, or close the connection together with their request. Confined to the loop.
 */
final class CallerStandIn implements MessageHandler.Listener<Map<?, ?>> {
    private static final int CAUSE_NORMAL_CLEARING = 16;
    private static final List<Integer> REFUSAL_CAUSES = List.of(34, 42, 102);
    private static final long RETRY_INTERVAL_MICROS = 20_000;
    /** PROTOCOL: 'a set-up that crosses such a close within 50 ms is resent'. */
    private static final long CROSSING_WINDOW_MICROS = 50_000;
    /** The share of calls in transit, unless a fault sets another one. */
    static final double TRANSIT_SHARE = 0.1;
    private static final double HANG_UP_SHARE = 0.1;
    private static final double SHORT_DEADLINE_SHARE = 0.1;
    private static final double MISBEHAVING_SHARE = 0.25;
    private static final long FRAGMENT_PAUSE_MICROS = 8_000;
    /** The longest time for which a caller that leaves keeps its connection. */
    private static final long MAX_STAY_MICROS = 60_000;
    /** Maximum additional pause between the two parts of a request of a very slow writer. */
    private static final long MAX_SLOW_WRITER_PAUSE_MICROS = 1_500_000;
    private static final String TEST_REQUEST =
            "{\"op\":\"test\",\"call\":\"0000000000000001\",\"with\":{},\"why\":0}\n";

    /** Misbehaviour that part of the callers show for the duration of a fault. */
    enum Misbehaviour { GIVE_UP, REPEATED_ID, SLOW_WRITER, SEND_AND_CLOSE, LEAVE_AND_REPEAT }

    /**
     * A set-up that has not been answered yet.
     *
     * @param writtenAt time in microseconds at which the last byte was written
     * @param resent whether it replaces a set-up that crossed the close of its connection
     */
    private record Offer(String id, long writtenAt, boolean resent) { }

    private final Loop loop;
    private final int softswitch;
    private final int port;
    private final Schedule.Deployment deployment;
    private final SplittableRandom random;
    private final TrialLog log;
    private final Judge judge;
    private final String party;
    private final List<Channel> connectionSlots = new ArrayList<>();
    private final Map<Channel, Map<String, Offer>> unansweredOffers = new LinkedHashMap<>();
    private final Map<Misbehaviour, Boolean> misbehaviours = new LinkedHashMap<>();
    /** Connections with a partially written message: no other message may be written before the rest. */
    private final Set<Channel> partiallyWritten = new HashSet<>();
    private double transitShare = TRANSIT_SHARE;
    private int pendingResends;
    private boolean offering;
    /** Until when the callers offer nothing and keep no connection, in microseconds. */
    private long absentUntil;
    private boolean closed;
    private boolean ready;
    /** Time in microseconds at which SIGTERM was sent to the softswitch; {@link Long#MAX_VALUE} if none was sent. */
    private long sigtermAt = Long.MAX_VALUE;
    private boolean sigkillSent;

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
            connectionSlots.add(null);
        }
    }

    /** Opens all connections, and tests on each whether the softswitch is ready. */
    void connect() {
        for (int i = 0; i < connectionSlots.size(); i++) {
            connect(i);
        }
    }

    /** Whether the softswitch has passed a test since its last start. */
    boolean ready() {
        return ready;
    }

    /** Starts to offer calls. */
    void startOffering() {
        offering = true;
        offerNext();
    }

    /** Stops offering calls. */
    void stopOffering() {
        offering = false;
    }

    /** Offers nothing for a while, and keeps no connection once its set-ups are answered. */
    void leave(long micros) {
        log.add(party, TrialLog.NO_CALL, "leave for " + micros / 1_000 + " ms");
        absentUntil = loop.now() + micros;
        judge.callersAway(softswitch, true);
        closeAnswered();
    }

    private boolean isAbsent() {
        return loop.now() < absentUntil;
    }

    private void closeAnswered() {
        if (isAbsent()) {
            unansweredOffers.entrySet().stream().filter(connection -> connection.getValue().isEmpty())
                    .map(Map.Entry::getKey).toList().forEach(Channel::close);
            loop.at(loop.now() + RETRY_INTERVAL_MICROS, this::closeAnswered);
        } else if (ready) {
            judge.callersAway(softswitch, false);
        } else {
            // Connections are open again once the softswitch is ready.
            loop.at(loop.now() + RETRY_INTERVAL_MICROS, this::closeAnswered);
        }
    }

    /** Switches a misbehaviour on or off. */
    void setMisbehaviour(Misbehaviour misbehaviour, boolean on) {
        misbehaviours.put(misbehaviour, on);
    }

    /** Sets the share of calls that are offered in transit. */
    void setTransitShare(double share) {
        transitShare = share;
    }

    /** Records that SIGTERM has just been sent to the softswitch. */
    void sigtermSent() {
        sigtermAt = loop.now();
        ready = false;
    }

    /** Records that SIGKILL has just been sent to the softswitch. */
    void sigkillSent() {
        sigkillSent = true;
        ready = false;
    }

    /** Records that the softswitch is started again. */
    void restarted() {
        sigkillSent = false;
        sigtermAt = Long.MAX_VALUE;
    }

    void close() {
        closed = true;
        List.copyOf(unansweredOffers.keySet()).forEach(Channel::close);
    }

    // Connections.

    private void connect(int slot) {
        if (closed) {
            return;
        }
        if (isAbsent()) {
            loop.at(absentUntil, () -> connect(slot));
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
                        connectionSlots.set(slot, f.channel());
                        unansweredOffers.put(f.channel(), new LinkedHashMap<>());
                        write(f.channel(), TEST_REQUEST);
                        resendPending(f.channel());
                    } else {
                        loop.at(loop.now() + RETRY_INTERVAL_MICROS, () -> connect(slot));
                    }
                });
    }

    private void write(Channel channel, String line) {
        MessageHandler.write(channel, Unpooled.wrappedBuffer(line.getBytes(StandardCharsets.ISO_8859_1)));
        loop.flushAfterTurn(channel);
    }

    private void resendPending(Channel channel) {
        if (offering && pendingResends > 0) {
            pendingResends--;
            offer(channel, true);
        }
    }

    private Channel randomWritableConnection() {
        List<Channel> writable = unansweredOffers.keySet().stream()
                .filter(c -> c.isActive() && !partiallyWritten.contains(c)).toList();
        return writable.isEmpty() ? null : writable.get(random.nextInt(writable.size()));
    }

    @Override
    public void ended(Channel channel, CloseReason reason) {
        Map<String, Offer> unanswered = unansweredOffers.remove(channel);
        int slot = connectionSlots.indexOf(channel);
        if (slot >= 0) {
            connectionSlots.set(slot, null);
            loop.at(loop.now() + 1, () -> connect(slot));
        }
        if (unanswered != null) {
            unanswered.values().forEach(this::onUnanswered);
        }
    }

    private void onUnanswered(Offer offer) {
        long now = loop.now();
        if (sigkillSent && sigtermAt == Long.MAX_VALUE) {
            judge.excused(offer.id(), Excuse.KILLED_OUTRIGHT);
        } else if (sigkillSent && offer.writtenAt() <= sigtermAt + 700_000) {
            judge.excused(offer.id(), Excuse.KILLED_AT_PLANNED_END);
        } else if (!offer.resent() && now - offer.writtenAt() <= CROSSING_WINDOW_MICROS
                && !judge.wasAttempted(offer.id())) {
            // A caller resends such a set-up once on a new connection. The stand-in instead offers a call with a new id
            // as soon as a connection is established.
            judge.excused(offer.id(), Excuse.CROSSED_A_CLOSE);
            pendingResends++;
        } else {
            judge.answerMissing(offer.id(), "its connection was closed without an answer, "
                    + (now - offer.writtenAt()) / 1_000
                    + " ms after it was written" + (sigtermAt < now ? ", "
                    + (now - sigtermAt) / 1_000 + " ms after SIGTERM" : ""));
        }
    }

    // Calls.

    private void offerNext() {
        if (!offering) {
            return;
        }
        Channel channel = isAbsent() ? null : randomWritableConnection();
        if (channel != null) {
            offer(channel, false);
        }
        if (misbehaves(Misbehaviour.SEND_AND_CLOSE)) {
            sendAndClose();
        }
        if (misbehaves(Misbehaviour.LEAVE_AND_REPEAT)) {
            leaveAndRepeat();
        }
        double gap = -Math.log(1 - random.nextDouble()) / deployment.callsPerSecond();
        loop.at(loop.now() + (long) (gap * 1_000_000), this::offerNext);
    }

    /**
     * Sends a request on a separate connection and closes it, so that no answer is required. No other call may use that
     * connection: a release that crosses the close would be lost by the caller's fault.
     */
    private void sendAndClose() {
        String id = newId();
        log.add(party, id, "offers on a connection that it closes immediately");
        judge.offered(id, softswitch, loop.now() + deployment.maxDeadlineMicros(), -1);
        judge.excused(id, Excuse.CALLER_GAVE_UP);
        BadCallers.sendAndClose(loop, port,
                offerRequest(id, 0, deployment.deadlinesMs().get(0), otherDestination(), false));
    }

    /**
     * Sends a request on a connection that it closes soon, and then the same request on another one if it has reached
     * an exchange. One that has reached none may still be sent on.
     */
    private void leaveAndRepeat() {
        String id = newId();
        log.add(party, id, "offers, leaves and offers again under the same id");
        judge.offered(id, softswitch, loop.now() + deployment.maxDeadlineMicros(), -1);
        String request = offerRequest(id, 0, deployment.deadlinesMs().get(0), otherDestination(), false);
        BadCallers.sendAndClose(loop, port, request, random.nextLong(MAX_STAY_MICROS), () -> {
            judge.excused(id, Excuse.CALLER_GAVE_UP);
            if (judge.wasAttempted(id)) {
                BadCallers.sendAndHold(loop, port, request, log, party, judge::callerNotifiedOfEnd);
            }
        });
    }

    /** Records that the softswitch accepted a call that is invalid, which counts as an answer without a call. */
    void recordAcceptedForgery(String text) {
        judge.processRuleBroken(softswitch, "an invalid call of a bad caller is accepted: " + text);
    }

    private boolean misbehaves(Misbehaviour misbehaviour) {
        return misbehaviours.getOrDefault(misbehaviour, false) && random.nextDouble() < MISBEHAVING_SHARE;
    }

    private void offer(Channel channel, boolean resent) {
        String id = newId();
        int callClass = random.nextInt(deployment.deadlinesMs().size());
        long remainingMs = (long) (deployment.deadlinesMs().get(callClass)
                * (random.nextDouble() < SHORT_DEADLINE_SHARE ? 0.05 + 0.25 * random.nextDouble() : 1));
        int destination = otherDestination();
        boolean transit = deployment.exchanges() > 2 && random.nextDouble() < transitShare;
        String line = offerRequest(id, callClass, remainingMs, destination, transit);
        if (misbehaves(Misbehaviour.SLOW_WRITER)) {
            int splitAt = 1 + random.nextInt(line.length() - 2);
            partiallyWritten.add(channel);
            channel.writeAndFlush(bytes(line.substring(0, splitAt)));
            long pauseMicros = FRAGMENT_PAUSE_MICROS
                    + (random.nextInt(4) == 0 ? random.nextLong(MAX_SLOW_WRITER_PAUSE_MICROS) : 0);
            loop.at(loop.now() + pauseMicros, () -> {
                partiallyWritten.remove(channel);
                if (channel.isActive() && unansweredOffers.containsKey(channel)) {
                    finishOffer(channel, id, remainingMs, transit ? softswitch : -1, destination,
                            line.substring(splitAt), resent);
                }
            });
        } else {
            finishOffer(channel, id, remainingMs, transit ? softswitch : -1, destination, line, resent);
        }
    }

    private String newId() {
        return String.format(Locale.ROOT, "%016x", random.nextLong());
    }

    /** Returns the number of a random exchange other than the softswitch's own. */
    private int otherDestination() {
        int other = random.nextInt(deployment.exchanges() - 1);
        return other < softswitch ? other : other + 1;
    }

    private String offerRequest(String id, int callClass, long remainingMs, int destination, boolean transit) {
        return String.format(Locale.ROOT, "{\"op\":\"offer\",\"call\":\"%s\",\"with\":{\"class\":\"c%d\","
                + "\"left\":\"%d\",\"key\":\"%016x\",\"extras\":\"dest:%d;width:1;via:%d%s\"},\"desc\":\"offer %s\"}\n",
                id, callClass, remainingMs, random.nextLong(), destination, transit ? softswitch : -1,
                transit ? ";transit:1" : "", id);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Writes the last bytes of a set-up and reports it to the judge.
     *
     * @param transitFrom number of the exchange from which the call is in transit; -1 if it is not a transit call
     * @param rest the bytes of the request that have not been written yet
     */
    private void finishOffer(Channel channel, String id, long remainingMs, int transitFrom, int destination,
            String rest, boolean resent) {
        long now = loop.now();
        log.add(party, id, "offers left-ms=" + remainingMs + " destination=" + destination
                + (transitFrom >= 0 ? " transit" : "") + " on " + channel.localAddress());
        judge.offered(id, softswitch, now + remainingMs * 1_000, transitFrom >= 0 ? destination : -1);
        unansweredOffers.get(channel).put(id, new Offer(id, now, resent));
        channel.writeAndFlush(bytes(rest));
        if (misbehaves(Misbehaviour.GIVE_UP)) {
            loop.at(now + (long) (remainingMs * 1_000 * random.nextDouble() * 0.5), () -> abandon(channel, id));
        } else if (misbehaves(Misbehaviour.REPEATED_ID)) {
            repeatId(id, rest);
        }
    }

    private void abandon(Channel channel, String id) {
        Map<String, Offer> offers = unansweredOffers.get(channel);
        if (offers != null && offers.remove(id) != null) {
            log.add(party, id, "abandons the call");
            judge.excused(id, Excuse.CALLER_GAVE_UP);
            release(channel, id);
        }
    }

    /** Offers an id that is already in use again, on a separate connection that is closed after a while. */
    private void repeatId(String id, String line) {
        if (line.startsWith("{")) {
            BadCallers.sendAndHold(loop, port, line, log, party, call -> {
                if (judge.isEstablished(call) && !call.equals(id)) {
                    log.add(party, call, "notified of the end on another caller's connection");
                    judge.callerNotifiedOfEnd(call);
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
                ready |= passed && sigtermAt == Long.MAX_VALUE && !sigkillSent;
                if (!passed && sigtermAt == Long.MAX_VALUE) {
                    loop.at(loop.now() + RETRY_INTERVAL_MICROS, () -> write(channel, TEST_REQUEST));
                }
            }
            case "accept" -> onAccepted(channel, id, String.valueOf(message.get("desc")));
            case "end" -> onEnded(channel, id, message);
            default -> { }
        }
    }

    /** Ends a call; waits until a partially written message is complete. */
    private void release(Channel channel, String id) {
        if (partiallyWritten.contains(channel)) {
            loop.at(loop.now() + FRAGMENT_PAUSE_MICROS, () -> release(channel, id));
        } else if (channel.isActive()) {
            channel.writeAndFlush(bytes("{\"op\":\"end\",\"call\":\"" + id + "\",\"with\":{},\"why\":16}\n"));
        }
    }

    /** Removes and returns an unanswered offer; null if there is none with this id. */
    private Offer takeOffer(Channel channel, String id) {
        Map<String, Offer> offers = unansweredOffers.get(channel);
        return offers == null ? null : offers.remove(id);
    }

    private void onAccepted(Channel channel, String id, String description) {
        if (takeOffer(channel, id) == null) {
            // The caller has abandoned the call or disconnected, so the call is released at once.
            log.add(party, id, "accept for a call that no caller waits for");
            release(channel, id);
            return;
        }
        log.add(party, id, "established");
        judge.established(id, description);
        if (random.nextDouble() < HANG_UP_SHARE) {
            loop.at(loop.now() + (long) (random.nextDouble() * deployment.holdingMs() * 1_000), () -> hangUp(id));
        }
    }

    private void hangUp(String id) {
        Channel channel = randomWritableConnection();
        if (channel != null && judge.isEstablished(id)) {
            log.add(party, id, "hangs up");
            judge.callerNotifiedOfEnd(id);
            release(channel, id);
        }
    }

    private void onEnded(Channel channel, String id, Map<?, ?> message) {
        int why = message.get("why") instanceof Double d ? d.intValue() : CAUSE_NORMAL_CLEARING;
        Offer offer = takeOffer(channel, id);
        if (offer == null) {
            log.add(party, id, "notified of the end cause=" + why);
            if (judge.isEstablished(id)) {
                judge.callerNotifiedOfEnd(id);
            } else if (!judge.isKnown(id)) {
                judge.unknownCallAnswered(id, softswitch);
            }
            return;
        }
        boolean refused = REFUSAL_CAUSES.contains(why);
        log.add(party, id, (refused ? "refused" : "failed") + " cause=" + why + " after "
                + (loop.now() - offer.writtenAt()) / 1_000 + " ms");
        if (refused) {
            judge.refused(id);
        } else {
            judge.failed(id);
        }
    }
}
