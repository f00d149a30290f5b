package wingspread.testbed.soak;

import io.netty.bootstrap.ServerBootstrap;
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
import java.util.ArrayDeque;
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
 * One exchange's process, which speaks the platform's SIP behind a {@link FaultProxy}: it takes set-ups, lets calls
 * stand for a while and releases them, and tells the {@link Judge} of all that the rules are about. Confined to the
 * loop.
 */
final class ExchangeStandIn implements MessageHandler.Listener<SipMessage> {
    private static final int NORMAL = 16;
    private static final int CUT = 41;
    private static final int CIRCUITS = 400;
    /** Shares of set-ups that are turned away: processor full, line busy. */
    private static final double FULL_SHARE = 0.04;
    private static final double BUSY_SHARE = 0.02;
    private static final long LEAST_ANSWER_DELAY = 3_000;
    private static final long ANSWER_DELAY = 50_000;
    private static final long LATE_ANSWER = 700_000;
    private static final long REPORT_DELAY = 100_000;
    /** A release that was written so shortly before its connection ended may not have been heard. */
    private static final long CROSSING = 50_000;
    private static final int MOST_SENT = 1_024;
    private static final double COLD_SHARE = 0.3;
    private static final long COLD = 14_000_000;

    /** What its process does with what comes in. */
    private enum State { SERVING, HANGING, DEAD }

    /** A set-up that waits for its answer. */
    private record SetUp(Channel channel, SipMessage message) { }

    /** A call that stands, and the connection of its set-up. */
    private record Standing(int softswitch, Channel channel) { }

    /** The release of a call, for its softswitch. */
    private record Release(int softswitch, int cause) { }

    /** A release that was written. */
    private record Sent(String call, Channel channel, long at) { }

    /** A message that came in while the process hung. */
    private record Unread(Channel channel, SipMessage message) { }

    private final Loop loop;
    private final String uid;
    /** Who had this address before; null for nobody. */
    private final String predecessor;
    private final int place;
    /** The networks to this exchange, one for each softswitch. */
    private final List<FaultProxy> proxies;
    private final Schedule.Deployment deployment;
    private final SplittableRandom random;
    private final TrialLog log;
    private final Judge judge;
    /** One for each softswitch, by which it is known who connects. */
    private final List<Channel> listeners = new ArrayList<>();
    private final long startedAt;
    private final boolean cold;
    /** Its connections, each with the softswitch that opened it. */
    private final Map<Channel, Integer> channels = new LinkedHashMap<>();
    private final Map<String, SetUp> setUps = new HashMap<>();
    private final Map<String, Standing> standing = new LinkedHashMap<>();
    /** Releases that are said again on the next connection of the softswitch, by call. */
    private final Map<String, Release> toSayAgain = new LinkedHashMap<>();
    private final List<Unread> unread = new ArrayList<>();
    private final Set<String> arrivedWhileHanging = new HashSet<>();
    /** The last releases, in the order of their times. */
    private final ArrayDeque<Sent> sentReleases = new ArrayDeque<>();
    private final Set<Integer> changed = new HashSet<>();
    private State state = State.SERVING;
    private boolean spoils;

    /**
     * Listens at a free port for each softswitch, and lets the proxies pass on to them.
     *
     * @param predecessor who had this address before, to whom softswitches that know no better send; null for
     *     nobody
     * @param cold whether it has just been started, and bears less for a while
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
            int port = Ports.free();
            listeners.add(listen(i, port));
            proxies.get(i).serve(port);
        }
    }

    private Channel listen(int softswitch, int port) {
        return new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        opened(channel, softswitch);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).addListener(judge::bound)
                .channel();
    }

    String uid() {
        return uid;
    }

    int place() {
        return place;
    }

    /** When it was started in Unix milliseconds; 0 for long ago. */
    long startedMs() {
        return cold ? startedAt / 1_000 : 0;
    }

    // Faults.

    /** Its machine has vanished: its calls are over, and it can tell nobody. The proxy is blackholed before. */
    void vanish() {
        state = State.DEAD;
        List.copyOf(standing.keySet()).forEach(call -> judge.over(call, uid));
        standing.clear();
        setUps.clear();
    }

    /** Its process has died; the proxy resets its connections. */
    void crash() {
        vanish();
        listeners.forEach(Channel::close);
    }

    /** Its process takes connections and does nothing more. */
    void hang() {
        state = State.HANGING;
    }

    /** Its process goes on where it hung. */
    void wake() {
        if (state != State.HANGING) {
            return;
        }
        state = State.SERVING;
        Map.copyOf(channels).forEach(this::greet);
        List<Unread> came = List.copyOf(unread);
        unread.clear();
        came.stream().filter(u -> u.channel().isActive()).forEach(u -> received(u.channel(), u.message()));
        List.copyOf(standing.keySet()).stream().filter(judge::isOver).forEach(call -> release(call, NORMAL));
    }

    /** It is stopped in good order, after a drain: calls that still stand are cut. */
    void stop() {
        if (state == State.SERVING) {
            List.copyOf(standing.keySet()).forEach(call -> release(call, CUT));
        }
        // What is written goes out first.
        loop.at(loop.now() + LEAST_ANSWER_DELAY, () -> {
            close();
        });
    }

    void spoilsAnswers(boolean on) {
        spoils = on;
    }

    /** Ends all sockets. */
    void close() {
        state = State.DEAD;
        listeners.forEach(Channel::close);
        List.copyOf(channels.keySet()).forEach(Channel::close);
    }

    // Connections.

    private void opened(Channel channel, int softswitch) {
        channel.pipeline().addLast(new MessageHandler<>("stand-in exchange " + uid, new SipDecoder(), this));
        channels.put(channel, softswitch);
        loop.execute(() -> greet(channel, softswitch));
    }

    /** What comes first on each connection: the group's state, and the releases that may not have been heard. */
    private void greet(Channel channel, int softswitch) {
        if (state != State.SERVING) {
            return;
        }
        notifyState(channel, softswitch);
        if (!proxies.get(softswitch).reachable()) {
            return;
        }
        for (Map.Entry<String, Release> again : List.copyOf(toSayAgain.entrySet())) {
            if (again.getValue().softswitch() == softswitch) {
                if (proxies.get(softswitch).reliable()) {
                    toSayAgain.remove(again.getKey());
                }
                log.add(uid, again.getKey(), "release said again");
                sayReleased(softswitch, again.getKey());
                send(channel, bye(again.getKey(), again.getValue().cause()));
            }
        }
    }

    private void notifyState(Channel channel, int softswitch) {
        send(channel, SipMessage.request("NOTIFY", "sip:group@net").with("X-Gauges", gauges(softswitch)));
    }

    /** The group toward a softswitch has changed: it is told soon, several changes in one. */
    private void groupChanged(int softswitch) {
        if (changed.add(softswitch)) {
            loop.at(loop.now() + REPORT_DELAY, () -> {
                changed.remove(softswitch);
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
        long busy = standing.values().stream().filter(call -> call.softswitch() == softswitch).count();
        return "idle:" + (CIRCUITS - busy) + ";circuits:" + CIRCUITS + ";backlog:" + setUps.size()
                + ";max_rate:" + (long) capacity();
    }

    /** Set-ups a second that it can take now. */
    private double capacity() {
        if (!cold) {
            return deployment.capacity();
        }
        double warmth = Math.min(1, (loop.now() - startedAt) / (double) COLD);
        return deployment.capacity() * (COLD_SHARE + (1 - COLD_SHARE) * warmth);
    }

    private void send(Channel channel, SipMessage message) {
        if (channel.isActive()) {
            MessageHandler.write(channel, message.encode());
            loop.flushAfterTurn(channel);
        }
    }

    @Override
    public void ended(Channel channel, CloseReason reason) {
        channels.remove(channel);
        List<Sent> crossed = sentReleases.stream()
                .filter(s -> s.channel() == channel && s.at() + CROSSING >= loop.now()).toList();
        crossed.forEach(s -> judge.unsent(s.call()));
        unread.stream().filter(u -> u.channel() == channel && "INVITE".equals(u.message().method()))
                .forEach(u -> judge.attemptReset(u.message().callId()));
        for (Map.Entry<String, SetUp> open : List.copyOf(setUps.entrySet())) {
            if (open.getValue().channel() == channel) {
                setUps.remove(open.getKey());
                log.add(uid, open.getKey(), "set-up lost with its connection");
                judge.attemptReset(open.getKey());
            }
        }
    }

    // Calls.

    @Override
    public void received(Channel channel, SipMessage message) {
        if (state == State.DEAD) {
            return;
        }
        if (state == State.HANGING) {
            unread.add(new Unread(channel, message));
            if (message.isRequest() && message.method().equals("INVITE")) {
                arrivedWhileHanging.add(message.callId());
                arrived(message);
            } else if (message.isRequest() && message.method().equals("CANCEL")) {
                judge.attemptGivenUp(message.callId());
            }
            return;
        }
        switch (message.isRequest() ? message.method() : "") {
            case "INVITE" -> invite(channel, message);
            case "CANCEL" -> {
                setUps.remove(message.callId());
                log.add(uid, message.callId(), "CANCEL");
                judge.attemptGivenUp(message.callId());
            }
            case "BYE" -> {
                boolean stood = standing.remove(message.callId()) != null;
                if (stood) {
                    groupChanged(channels.getOrDefault(channel, 0));
                }
                log.add(uid, message.callId(), "BYE from the softswitch" + (stood ? "" : ", the call does not stand"));
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
                cold && loop.now() < startedAt + COLD ? capacity() : 0);
    }

    private void invite(Channel channel, SipMessage message) {
        if (!arrivedWhileHanging.remove(message.callId())) {
            arrived(message);
        }
        String call = message.callId();
        setUps.put(call, new SetUp(channel, message));
        long delay = LEAST_ANSWER_DELAY + (long) (random.nextDouble() * ANSWER_DELAY)
                + (spoils && random.nextInt(3) == 0 ? LATE_ANSWER : 0);
        double draw = random.nextDouble();
        loop.at(loop.now() + delay, () -> {
            if (draw < FULL_SHARE) {
                reject(call, 503, "swamped");
            } else if (draw < FULL_SHARE + BUSY_SHARE) {
                reject(call, 486, "occupied");
            } else {
                answer(call);
            }
        });
    }

    private void reject(String call, int status, String outcome) {
        SetUp setUp = state == State.SERVING ? setUps.remove(call) : null;
        if (setUp != null) {
            log.add(uid, call, "answers " + status);
            judge.attemptRejected(call);
            send(setUp.channel(), setUp.message().reply(status, outcome).with("X-Outcome", outcome)
                    .with("X-Gauges", gauges(channels.getOrDefault(setUp.channel(), 0))));
        }
    }

    private void answer(String call) {
        SetUp setUp = state == State.SERVING ? setUps.remove(call) : null;
        if (setUp == null) {
            return;
        }
        String description = uid + " answers " + call;
        int softswitch = channels.getOrDefault(setUp.channel(), 0);
        SipMessage answer = setUp.message().reply(200, "OK").with("X-Gauges", gauges(softswitch))
                .withBody(description.getBytes(StandardCharsets.ISO_8859_1));
        int spoilt = spoils ? random.nextInt(4) : -1;
        log.add(uid, call, "answers 200" + (spoilt >= 0 ? " spoilt=" + spoilt : ""));
        judge.attemptAnswered(call, uid, description);
        standing.put(call, new Standing(softswitch, setUp.channel()));
        groupChanged(softswitch);
        switch (spoilt) {
            case 0 -> setUp.channel().writeAndFlush(Unpooled.wrappedBuffer(
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

    /** The call has come to its end; a process that hangs or is cut off cannot say so. */
    private void end(String call) {
        if (!standing.containsKey(call)) {
            return;
        }
        if (state == State.SERVING) {
            release(call, NORMAL);
        } else {
            log.add(uid, call, "is over while its exchange hangs");
            judge.over(call, uid);
        }
    }

    private void release(String id, int cause) {
        Standing call = standing.remove(id);
        groupChanged(call.softswitch());
        toSayAgain.put(id, new Release(call.softswitch(), cause));
        Channel by = call.channel().isActive() ? call.channel() : channels.entrySet().stream()
                .filter(c -> c.getValue() == call.softswitch() && c.getKey().isActive()).map(Map.Entry::getKey)
                .findFirst().orElse(null);
        if (by == null || !proxies.get(call.softswitch()).reachable()) {
            log.add(uid, id, "is over, its release cannot be sent");
            judge.over(id, uid);
        } else {
            log.add(uid, id, "release cause=" + cause);
            sayReleased(call.softswitch(), id);
            sentReleases.add(new Sent(id, by, loop.now()));
            if (sentReleases.size() > MOST_SENT) {
                sentReleases.remove();
            }
            send(by, bye(id, cause));
        }
    }

    /** A release goes out; one on a connection that is reset in the middle of messages may not have been sent whole. */
    private void sayReleased(int softswitch, String id) {
        if (proxies.get(softswitch).reliable()) {
            judge.released(id, uid);
        } else {
            judge.over(id, uid);
        }
    }

    private static SipMessage bye(String call, int cause) {
        return SipMessage.request("BYE", "sip:call@net").with("Call-ID", call).with("CSeq", "1 BYE")
                .with("Reason", "Q.850;cause=" + cause);
    }
}
