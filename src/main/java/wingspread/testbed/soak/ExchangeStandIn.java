package wingspread.testbed.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import wingspread.net.CloseReason;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;
import wingspread.sip.SipDecoder;
import wingspread.sip.SipMessage;
import wingspread.testbed.Ports;

/**
 * Stand-in for the process of one exchange, which speaks the platform's SIP behind a {@link FaultProxy}. It answers
 * set-ups, releases established calls after their holding time, and reports every event that the rules refer to to the
 * {@link Judge}. Confined to the loop.
 */
final class ExchangeStandIn implements MessageHandler.Listener<SipMessage> {
    private static final int CAUSE_NORMAL_CLEARING = 16;
    private static final int CAUSE_TEMPORARY_FAILURE = 41;
    private static final int CIRCUITS = 400;
    /** Shares of the set-ups that are rejected: processor full, line busy. */
    private static final double PROCESSOR_FULL_SHARE = 0.04;
    private static final double LINE_BUSY_SHARE = 0.02;
    private static final long MIN_ANSWER_DELAY_MICROS = 3_000;
    private static final long ANSWER_DELAY_RANGE_MICROS = 50_000;
    private static final long LATE_ANSWER_DELAY_MICROS = 700_000;
    private static final long REPORT_DELAY_MICROS = 100_000;
    private static final double COLD_CAPACITY_SHARE = 0.3;
    private static final long WARM_UP_MICROS = 14_000_000;

    /** How the process handles incoming messages. */
    private enum State { SERVING, HANGING, STOPPED }

    /** A set-up that has not been answered yet. */
    private record PendingSetUp(Channel channel, SipMessage message) { }

    /** An established call, and the connection on which its set-up arrived. */
    private record EstablishedCall(int softswitch, Channel channel) { }

    /** The release of a call, addressed to its softswitch. */
    private record Release(int softswitch, int cause) { }

    /** A message that arrived while the process was hanging. */
    private record DeferredMessage(Channel channel, SipMessage message) { }

    private final Loop loop;
    private final String uid;
    /** The exchange that used this address before; null if there was none. */
    private final String predecessor;
    private final int place;
    /** The networks to this exchange, one per softswitch. */
    private final List<FaultProxy> proxies;
    private final Schedule.Deployment deployment;
    private final SplittableRandom random;
    private final TrialLog log;
    private final Judge judge;
    /** One listener per softswitch, so that the listener identifies the softswitch that connects. */
    private final List<Channel> listeners = new ArrayList<>();
    private final long startedAt;
    private final boolean cold;
    /** The open connections, each with the softswitch that opened it. */
    private final Map<Channel, Integer> channels = new LinkedHashMap<>();
    private final Map<String, PendingSetUp> pendingSetUps = new HashMap<>();
    private final Map<String, EstablishedCall> establishedCalls = new LinkedHashMap<>();
    /** Releases that are repeated on the next connection of the softswitch, by call. */
    private final Map<String, Release> releasesToRepeat = new LinkedHashMap<>();
    private final List<DeferredMessage> deferredMessages = new ArrayList<>();
    private final Set<String> arrivedWhileHanging = new HashSet<>();
    private final SentReleases sentReleases = new SentReleases();
    /** Softswitches for which a state report is scheduled. */
    private final Set<Integer> pendingReports = new HashSet<>();
    private State state = State.SERVING;
    private boolean faultyAnswers;

    /**
     * Listens on a free port per softswitch, and makes the proxies forward to these ports.
     *
     * @param predecessor the exchange that used this address before, to which softswitches with an outdated list of
     *     exchanges still send; null if there was none
     * @param place number of the exchange in the network
     * @param cold whether the process has just been started, and has a reduced capacity for a while
     */
    ExchangeStandIn(Loop loop, String uid, String predecessor, int place, List<FaultProxy> proxies,
            Schedule.Deployment deployment, SplittableRandom random, TrialLog log, Judge judge, boolean cold)
            throws IOException {
        this.loop = loop;
        this.uid = uid;
        this.predecessor = predecessor;
        this.place = place;
        this.proxies = proxies;
        this.deployment = deployment;
        this.random = random;
        this.log = log;
        this.judge = judge;
        this.cold = cold;
        this.startedAt = loop.now();
        for (int i = 0; i < proxies.size(); i++) {
            int port = Ports.findFreePort();
            listeners.add(listen(i, port));
            proxies.get(i).forwardTo(port);
        }
    }

    private Channel listen(int softswitch, int port) {
        return new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connectionOpened(channel, softswitch);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .addListener(judge.bindCheck(uid, port)).channel();
    }

    String uid() {
        return uid;
    }

    int place() {
        return place;
    }

    /** Returns the start time of a cold process in Unix milliseconds; 0 if the process is warm. */
    long startedMs() {
        return cold ? startedAt / 1_000 : 0;
    }

    // Faults.

    /** Ends all calls without a release, as after a loss of the machine. The proxy is blackholed beforehand. */
    void vanish() {
        state = State.STOPPED;
        List.copyOf(establishedCalls.keySet()).forEach(call -> judge.callEnded(call, uid));
        establishedCalls.clear();
        pendingSetUps.clear();
    }

    /** Simulates a crash of the process; the proxy resets its connections. */
    void crash() {
        // The resets end the set-ups for their softswitches too.
        pendingSetUps.keySet().forEach(judge::attemptReset);
        vanish();
        listeners.forEach(Channel::close);
    }

    /** Makes the process hang: it accepts connections, and does nothing else. */
    void hang() {
        state = State.HANGING;
    }

    /** Resumes a hanging process, which first handles the messages that arrived in the meantime. */
    void resume() {
        if (state != State.HANGING) {
            return;
        }
        state = State.SERVING;
        Map.copyOf(channels).forEach(this::sendInitialMessages);
        List<DeferredMessage> messages = List.copyOf(deferredMessages);
        deferredMessages.clear();
        messages.stream().filter(u -> u.channel().isActive()).forEach(u -> received(u.channel(), u.message()));
        List.copyOf(establishedCalls.keySet()).stream().filter(judge::hasEnded)
                .forEach(call -> release(call, CAUSE_NORMAL_CLEARING));
    }

    /** Closes about half of the connections without open set-ups. */
    void closeIdle() {
        someIdleConnections().forEach(Channel::close);
    }

    /**
     * Forgets about half of the connections without open set-ups: nothing is read from them or written to them any
     * longer, and they stay open.
     */
    void forgetIdle() {
        List<Channel> idle = someIdleConnections();
        idle.forEach(channels::remove);
        if (!idle.isEmpty()) {
            log.add(uid, "forgets " + idle.size() + " connections");
        }
    }

    private List<Channel> someIdleConnections() {
        return state != State.SERVING ? List.of() : channels.keySet().stream()
                .filter(channel -> pendingSetUps.values().stream().noneMatch(setUp -> setUp.channel() == channel))
                .filter(channel -> random.nextBoolean()).toList();
    }

    /** Stops the process after a drain; calls that are still established are released. */
    void stop() {
        if (state == State.SERVING) {
            List.copyOf(establishedCalls.keySet()).forEach(call -> release(call, CAUSE_TEMPORARY_FAILURE));
        }
        // Leaves time for the written releases to be sent.
        loop.at(loop.now() + MIN_ANSWER_DELAY_MICROS, () -> {
            close();
        });
    }

    /** Sets whether part of the answers are late, duplicate or malformed. */
    void setFaultyAnswers(boolean on) {
        faultyAnswers = on;
    }

    /** Stops the process and closes all sockets. */
    void close() {
        state = State.STOPPED;
        listeners.forEach(Channel::close);
        List.copyOf(channels.keySet()).forEach(Channel::close);
    }

    // Connections.

    private void connectionOpened(Channel channel, int softswitch) {
        channel.pipeline().addLast(new MessageHandler<>("stand-in exchange " + uid, new SipDecoder(), this));
        channels.put(channel, softswitch);
        loop.execute(() -> sendInitialMessages(channel, softswitch));
    }

    /** Sends the state of the group of circuits, and the releases that may not have been received. */
    private void sendInitialMessages(Channel channel, int softswitch) {
        if (state != State.SERVING) {
            return;
        }
        notifyState(channel, softswitch);
        if (!proxies.get(softswitch).reachable()) {
            return;
        }
        for (Map.Entry<String, Release> entry : List.copyOf(releasesToRepeat.entrySet())) {
            if (entry.getValue().softswitch() == softswitch) {
                if (proxies.get(softswitch).reliable()) {
                    releasesToRepeat.remove(entry.getKey());
                }
                log.add(uid, entry.getKey(), "release repeated");
                reportRelease(softswitch, entry.getKey());
                send(channel, bye(entry.getKey(), entry.getValue().cause()));
            }
        }
    }

    private void notifyState(Channel channel, int softswitch) {
        send(channel, SipMessage.request("NOTIFY", "sip:group@net").with("X-Gauges", gauges(softswitch)));
    }

    /** Schedules a report of the group's state to a softswitch, which combines the changes up to then. */
    private void scheduleStateReport(int softswitch) {
        if (pendingReports.add(softswitch)) {
            loop.at(loop.now() + REPORT_DELAY_MICROS, () -> {
                pendingReports.remove(softswitch);
                if (state == State.SERVING) {
                    channels.forEach((channel, of) -> {
                        if (of == softswitch) {
                            notifyState(channel, of);
                        }
                    });
                }
            });
        }
    }

    private String gauges(int softswitch) {
        long busy = establishedCalls.values().stream().filter(call -> call.softswitch() == softswitch).count();
        return "idle:" + (CIRCUITS - busy) + ";circuits:" + CIRCUITS + ";backlog:" + pendingSetUps.size()
                + ";max_rate:" + (long) capacity();
    }

    /** Returns the current capacity in set-ups per second. */
    private double capacity() {
        if (!cold) {
            return deployment.capacity();
        }
        double warmedUpShare = Math.min(1, (loop.now() - startedAt) / (double) WARM_UP_MICROS);
        return deployment.capacity() * (COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * warmedUpShare);
    }

    private void send(Channel channel, SipMessage message) {
        send(channel, message.encode());
    }

    private void send(Channel channel, ByteBuf bytes) {
        if (channel.isActive()) {
            sentReleases.bytesWritten(channel, bytes.readableBytes());
            MessageHandler.write(channel, bytes);
            loop.flushAfterTurn(channel);
        }
    }

    @Override
    public void ended(Channel channel, CloseReason reason) {
        channels.remove(channel);
        sentReleases.connectionEnded(channel, loop.now()).forEach(judge::releaseLost);
        deferredMessages.stream().filter(u -> u.channel() == channel && "INVITE".equals(u.message().method()))
                .forEach(u -> judge.attemptReset(u.message().callId()));
        for (Map.Entry<String, PendingSetUp> open : List.copyOf(pendingSetUps.entrySet())) {
            if (open.getValue().channel() == channel) {
                pendingSetUps.remove(open.getKey());
                log.add(uid, open.getKey(), "set-up lost with its connection");
                judge.attemptReset(open.getKey());
            }
        }
    }

    // Calls.

    @Override
    public void received(Channel channel, SipMessage message) {
        if (state == State.STOPPED || !channels.containsKey(channel)) {
            return;
        }
        if (state == State.HANGING) {
            deferredMessages.add(new DeferredMessage(channel, message));
            if (message.isRequest() && message.method().equals("INVITE")) {
                arrivedWhileHanging.add(message.callId());
                arrived(message);
            } else if (message.isRequest() && message.method().equals("CANCEL")) {
                judge.attemptCancelled(message.callId());
            }
            return;
        }
        switch (message.isRequest() ? message.method() : "") {
            case "INVITE" -> invite(channel, message);
            case "CANCEL" -> {
                pendingSetUps.remove(message.callId());
                log.add(uid, message.callId(), "CANCEL");
                judge.attemptCancelled(message.callId());
            }
            case "BYE" -> {
                boolean wasEstablished = establishedCalls.remove(message.callId()) != null;
                if (wasEstablished) {
                    scheduleStateReport(channels.getOrDefault(channel, 0));
                }
                log.add(uid, message.callId(),
                        "BYE from the softswitch" + (wasEstablished ? "" : ", the call is not established"));
                judge.releasedBySoftswitch(message.callId());
                send(channel, message.reply(200, "OK"));
            }
            default -> { }
        }
    }

    private void arrived(SipMessage message) {
        log.add(uid, message.callId(), "INVITE cseq=" + message.cseq() + " deadline-ms="
                + message.header("X-Deadline"));
        judge.attemptArrived(message.callId(), uid, predecessor, place,
                SipMessage.number(message.header("X-Deadline")) * 1_000,
                cold && loop.now() < startedAt + WARM_UP_MICROS ? capacity() : 0);
    }

    private void invite(Channel channel, SipMessage message) {
        if (!arrivedWhileHanging.remove(message.callId())) {
            arrived(message);
        }
        String call = message.callId();
        pendingSetUps.put(call, new PendingSetUp(channel, message));
        long delay = MIN_ANSWER_DELAY_MICROS + (long) (random.nextDouble() * ANSWER_DELAY_RANGE_MICROS)
                + (faultyAnswers && random.nextInt(3) == 0 ? LATE_ANSWER_DELAY_MICROS : 0);
        double draw = random.nextDouble();
        loop.at(loop.now() + delay, () -> {
            if (draw < PROCESSOR_FULL_SHARE) {
                reject(call, 503, "swamped");
            } else if (draw < PROCESSOR_FULL_SHARE + LINE_BUSY_SHARE) {
                reject(call, 486, "occupied");
            } else {
                answer(call);
            }
        });
    }

    private void reject(String call, int status, String outcome) {
        PendingSetUp setUp = state == State.SERVING ? pendingSetUps.remove(call) : null;
        if (setUp != null) {
            log.add(uid, call, "answers " + status);
            judge.attemptRejected(call);
            send(setUp.channel(), setUp.message().reply(status, outcome).with("X-Outcome", outcome)
                    .with("X-Gauges", gauges(channels.getOrDefault(setUp.channel(), 0))));
        }
    }

    private void answer(String call) {
        PendingSetUp setUp = state == State.SERVING ? pendingSetUps.remove(call) : null;
        if (setUp == null) {
            return;
        }
        String description = uid + " answers " + call;
        int softswitch = channels.getOrDefault(setUp.channel(), 0);
        SipMessage answer = setUp.message().reply(200, "OK").with("X-Gauges", gauges(softswitch))
                .withBody(description.getBytes(StandardCharsets.ISO_8859_1));
        int answerFault = faultyAnswers ? random.nextInt(4) : -1;
        log.add(uid, call, "answers 200" + (answerFault >= 0 ? " spoilt=" + answerFault : ""));
        judge.attemptAnswered(call, uid, description);
        establishedCalls.put(call, new EstablishedCall(softswitch, setUp.channel()));
        scheduleStateReport(softswitch);
        switch (answerFault) {
            case 0 -> send(setUp.channel(), Unpooled.wrappedBuffer(
                    "SIP/2.0 2x0 ??\r\n\u0001\r\n".getBytes(StandardCharsets.ISO_8859_1)));
            case 1 -> {
                send(setUp.channel(), answer);
                send(setUp.channel(), answer);
            }
            default -> send(setUp.channel(), answer);
        }
        long holding = (long) (-Math.log(1 - random.nextDouble()) * deployment.holdingMs() * 1_000);
        loop.at(loop.now() + holding, () -> end(call));
    }

    /** Ends a call after its holding time; a process that hangs or is cut off cannot send the release. */
    private void end(String call) {
        if (!establishedCalls.containsKey(call)) {
            return;
        }
        if (state == State.SERVING) {
            release(call, CAUSE_NORMAL_CLEARING);
        } else {
            log.add(uid, call, "is over while its exchange hangs");
            judge.callEnded(call, uid);
        }
    }

    private void release(String id, int cause) {
        EstablishedCall call = establishedCalls.remove(id);
        scheduleStateReport(call.softswitch());
        releasesToRepeat.put(id, new Release(call.softswitch(), cause));
        boolean ownIsOpen = channels.containsKey(call.channel()) && call.channel().isActive();
        Channel target = ownIsOpen ? call.channel() : channels.entrySet().stream()
                .filter(c -> c.getValue() == call.softswitch() && c.getKey().isActive()).map(Map.Entry::getKey)
                .findFirst().orElse(null);
        if (target == null || !proxies.get(call.softswitch()).reachable() || isLost(target, call.softswitch())) {
            log.add(uid, id, "is over, its release cannot be sent");
            judge.callEnded(id, uid);
        } else {
            log.add(uid, id, "release cause=" + cause);
            reportRelease(call.softswitch(), id);
            send(target, bye(id, cause));
            sentReleases.releaseWritten(id, target, loop.now());
        }
    }

    /** Whether the network has lost a connection, which the process does not know. */
    private boolean isLost(Channel channel, int softswitch) {
        return channel.remoteAddress() instanceof InetSocketAddress address
                && proxies.get(softswitch).isLost(address.getPort());
    }

    /** Reports to the judge the releases in transit on connections that the network has just lost. */
    void connectionsLost() {
        for (String call : sentReleases.undelivered(this::deliveredBytes)) {
            log.add(uid, call, "release lost in transit");
            judge.releaseLost(call);
        }
    }

    /** Returns how many bytes written to a connection are delivered; unlimited if the network has not lost it. */
    private long deliveredBytes(Channel channel) {
        Integer softswitch = channels.get(channel);
        return softswitch != null && isLost(channel, softswitch)
                ? proxies.get(softswitch).deliveredBytes(((InetSocketAddress) channel.remoteAddress()).getPort())
                : Long.MAX_VALUE;
    }

    /**
     * Reports a release to the judge. If the network resets connections in the middle of messages, the release may have
     * been sent only in part, so only the end of the call is reported.
     */
    private void reportRelease(int softswitch, String id) {
        if (proxies.get(softswitch).reliable()) {
            judge.released(id, uid);
        } else {
            judge.callEnded(id, uid);
        }
    }

    private static SipMessage bye(String call, int cause) {
        return SipMessage.request("BYE", "sip:call@net").with("Call-ID", call).with("CSeq", "1 BYE")
                .with("Reason", "Q.850;cause=" + cause);
    }
}
