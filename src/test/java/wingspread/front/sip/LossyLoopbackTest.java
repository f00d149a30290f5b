package wingspread.front.sip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.nio.NioEventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.Layout;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Obligations;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Reports;
import wingspread.control.CallControl.Settings;
import wingspread.control.ControlParameters;
import wingspread.core.Attempt;
import wingspread.core.Event;
import wingspread.core.ExchangeTransport;
import wingspread.core.Planner;
import wingspread.metrics.Metrics;
import wingspread.net.InvalidInputException;
import wingspread.net.Loop;
import wingspread.sip.SipDecoder;
import wingspread.sip.SipMessage;
import wingspread.sip.Timers;
import wingspread.storm.ReconnectParameters;

/**
 * SIP callers over real UDP datagrams on the loopback interface, through front end, planner and control module, to a
 * stand-in exchange. Datagrams are dropped, duplicated and reordered in both directions; the clock is simulated.
 */
class LossyLoopbackTest {
    private static final int CALLS = 40;
    private static final long STEP_MICROS = 50_000;
    private static final double DROP_SHARE = 0.25;
    private static final double DUPLICATE_SHARE = 0.25;
    private static final double DELAY_SHARE = 0.25;
    /** Share of the pending set-ups that the exchange answers in a step. */
    private static final double ANSWER_SHARE = 0.15;

    private final AtomicLong clock = new AtomicLong(1_000_000_000);
    private final Loop loop = new Loop(clock::get);
    private final Metrics metrics = new Metrics();
    private final List<Attempt> pendingAttempts = new ArrayList<>();
    private final Set<String> invitedCalls = new HashSet<>();
    private final Set<String> releasedCalls = new HashSet<>();
    private int duplicateAttempts;

    /** An exchange whose answers are posted by the test. */
    private final class StandInExchange implements ExchangeTransport {
        @Override
        public void invite(Attempt attempt) {
            duplicateAttempts += invitedCalls.add(attempt.request().id()) ? 0 : 1;
            pendingAttempts.add(attempt);
        }

        @Override
        public void cancelAttempt(Attempt attempt) {
            pendingAttempts.remove(attempt);
        }

        @Override
        public void release(long exchange, String call, int cause) {
            releasedCalls.add(call);
        }

        @Override
        public void closeIdle(long exchange) {
            // The stand-in has no connections.
        }

        @Override
        public boolean checkLiveness(long exchange) {
            return false;
        }
    }

    /** A caller (RFC 3261) that repeats its INVITE until a response arrives and acknowledges each final response. */
    private final class Caller {
        final String callId;
        final boolean cancels;
        final SplittableRandom random;
        final Set<Integer> finalStatuses = new HashSet<>();
        final Set<String> tags = new HashSet<>();
        long nextSendAt = clock.get();
        long interval = Timers.T1_MICROS;
        boolean responseReceived;
        boolean cancelled;
        boolean byeDone;
        String toHeader;

        Caller(int number) {
            this.callId = "call-" + number;
            this.random = new SplittableRandom(seed + callId.hashCode());
            this.cancels = random.nextBoolean();
        }

        SipMessage message(String method, String branch, int cseq) {
            return SipMessage.request(method, "sip:7" + callId.hashCode() + "@net")
                    .with("Via", "SIP/2.0/UDP 127.0.0.1:9;rport;branch=z9hG4bK" + callId + branch)
                    .with("Max-Forwards", "70").with("From", "<sip:caller@net>;tag=" + callId)
                    .with("To", toHeader == null ? "<sip:7@net>" : toHeader).with("Call-ID", callId)
                    .with("CSeq", cseq + " " + method);
        }

        /** Sends the request that is due now; unanswered requests are repeated. */
        void sendDue() {
            if (clock.get() < nextSendAt || byeDone) {
                return;
            }
            nextSendAt = clock.get() + interval;
            interval = Math.min(2 * interval, Timers.T2_MICROS);
            if (finalStatuses.isEmpty() && !responseReceived) {
                toFront(message("INVITE", "i", 1));
            } else if (finalStatuses.isEmpty() && cancels) {
                cancelled = true;
                toFront(message("CANCEL", "i", 1));
            } else if (finalStatuses.contains(200)) {
                toFront(message("BYE", "b", 2));
            }
        }

        void receive(SipMessage response) {
            if (response.cseqMethod().equals("BYE")) {
                byeDone |= response.status() >= 200;
            } else if (response.cseqMethod().equals("INVITE")) {
                if (!responseReceived) {
                    responseReceived = true;
                    nextSendAt = clock.get() + (cancels ? random.nextLong(900_000) : 0);
                    interval = Timers.T1_MICROS;
                }
                if (response.status() >= 200) {
                    toHeader = response.header("To");
                    finalStatuses.add(response.status());
                    tags.add(toHeader);
                    toFront(message("ACK", response.status() < 300 ? "a" : "i", 1));
                }
            }
        }
    }

    private record DelayedDatagram(long deliverAt, byte[] bytes, boolean towardFront) { }

    private final List<DelayedDatagram> delayed = new ArrayList<>();
    private long seed;
    /** How often each datagram was sent so far. */
    private final Map<ByteBuffer, Integer> sendCounts = new HashMap<>();
    private final DatagramCounter frontDatagrams = new DatagramCounter();
    private long sentToFront;
    private long receivedFromFront;
    private DatagramChannel socket;
    private InetSocketAddress frontAddress;
    private int callerPort;
    private Planner planner;
    private final Map<String, Caller> callers = new HashMap<>();

    private void toFront(SipMessage message) {
        ByteBuf encoded = message.encode();
        byte[] bytes = new byte[encoded.readableBytes()];
        encoded.readBytes(bytes);
        sendWithFaults(bytes, true);
    }

    /** Counts the datagrams that the front has read and written, so that the test waits for each of them. */
    private static final class DatagramCounter extends ChannelDuplexHandler {
        final AtomicLong read = new AtomicLong();
        final AtomicLong written = new AtomicLong();

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object datagram) {
            ctx.fireChannelRead(datagram);
            read.incrementAndGet();
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object datagram, ChannelPromise promise) {
            written.incrementAndGet();
            ctx.write(datagram, promise);
        }
    }

    /**
     * The faults of a datagram depend on its content alone, since the order of datagrams varies with the machine; and
     * not on the ports in it, which vary with each run.
     */
    private void sendWithFaults(byte[] bytes, boolean towardFront) {
        byte[] content = withoutPorts(bytes);
        int earlierCopies = sendCounts.merge(ByteBuffer.wrap(content), 1, Integer::sum) - 1;
        SplittableRandom random = new SplittableRandom(seed + 31L * Arrays.hashCode(content) + earlierCopies);
        if (random.nextDouble() < DROP_SHARE) {
            return;
        }
        int copies = random.nextDouble() < DUPLICATE_SHARE ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = random.nextDouble() < DELAY_SHARE ? random.nextLong(700_000) : 0;
            delayed.add(new DelayedDatagram(clock.get() + delay, bytes, towardFront));
        }
    }

    private byte[] withoutPorts(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1)
                .replace(Integer.toString(frontAddress.getPort()), "front")
                .replace(Integer.toString(callerPort), "caller").getBytes(StandardCharsets.ISO_8859_1);
    }

    private void deliverDue() throws IOException, InvalidInputException {
        for (DelayedDatagram datagram : List.copyOf(delayed)) {
            if (datagram.deliverAt() <= clock.get()) {
                delayed.remove(datagram);
                if (datagram.towardFront()) {
                    sentToFront++;
                    socket.send(ByteBuffer.wrap(datagram.bytes()), frontAddress);
                } else {
                    SipMessage message = SipDecoder.decodeDatagram(datagram.bytes());
                    if (!message.isRequest()) {
                        callers.get(message.callId()).receive(message);
                    }
                }
            }
        }
    }

    private void receiveFromFront() throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(16_384);
        long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (receivedFromFront < frontDatagrams.written.get()) {
            if (socket.receive(buffer) == null) {
                assertTrue(System.nanoTime() < giveUpAt, "a datagram of the front did not arrive");
                Thread.onSpinWait();
                continue;
            }
            receivedFromFront++;
            buffer.flip();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            buffer.clear();
            sendWithFaults(bytes, false);
        }
    }

    private void awaitFrontHasReadAll() {
        long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (frontDatagrams.read.get() < sentToFront) {
            assertTrue(System.nanoTime() < giveUpAt, "a datagram did not arrive at the front");
            Thread.onSpinWait();
        }
    }

    /** Waits until the loop has read all that has arrived and run its turn, which takes two whole iterations. */
    private void awaitTurn() throws Exception {
        NioEventLoop eventLoop = (NioEventLoop) loop.group().next();
        CompletableFuture<Void> done = new CompletableFuture<>();
        eventLoop.execute(() -> eventLoop.executeAfterEventLoopIteration(() -> eventLoop.execute(() -> {
            loop.requestTurn();
            eventLoop.executeAfterEventLoopIteration(() -> done.complete(null));
        })));
        done.get(10, TimeUnit.SECONDS);
    }

    private void answerSome(int step) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            for (Attempt attempt : List.copyOf(pendingAttempts)) {
                long answerSeed = seed + 31L * attempt.request().id().hashCode() + step;
                if (new SplittableRandom(answerSeed).nextDouble() < ANSWER_SHARE) {
                    pendingAttempts.remove(attempt);
                    planner.post(new Event.Answered(attempt.exchange(), attempt.request().id(), new byte[] {'v'}));
                    loop.requestTurn();
                }
            }
            done.complete(null);
        });
        done.get(10, TimeUnit.SECONDS);
        awaitTurn();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void eachCallGetsExactlyOneFinalResponse(long drawnSeed) throws Exception {
        seed = drawnSeed;
        planner = planner();
        Timers timers = new Timers(clock::get);
        SipFront front = new SipFront(timers, SipFrontTest.CONFIG, SipFrontTest.CLASSES, seed, planner::post, metrics);
        SipListener listener = new SipListener(loop, front, ReconnectParameters.OFF, new Metrics());
        loop.addWorker(timers);
        loop.addWorker(planner);
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Channel frontChannel = listener.listenUdp(anyPort).sync().channel();
        frontChannel.eventLoop().submit(() -> frontChannel.pipeline().addFirst(frontDatagrams)).sync();
        frontAddress = (InetSocketAddress) frontChannel.localAddress();
        try (DatagramChannel opened = DatagramChannel.open()) {
            socket = opened;
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            socket.configureBlocking(false);
            callerPort = ((InetSocketAddress) socket.getLocalAddress()).getPort();
            List<Caller> all = new ArrayList<>();
            for (int step = 0; step < 1_600; step++) {
                if (step % 4 == 0 && all.size() < CALLS) {
                    Caller caller = new Caller(all.size());
                    all.add(caller);
                    callers.put(caller.callId, caller);
                }
                all.forEach(Caller::sendDue);
                deliverDue();
                awaitFrontHasReadAll();
                awaitTurn();
                answerSome(step);
                receiveFromFront();
                clock.addAndGet(STEP_MICROS);
            }
            for (Caller caller : all) {
                assertEquals(1, caller.finalStatuses.size(), caller.callId + " received " + caller.finalStatuses);
                assertEquals(1, caller.tags.size(), caller.callId);
            }
            assertEquals(CALLS, metrics.value("taken.calls"));
            assertEquals(0, duplicateAttempts);
            assertEquals(0, front.openCalls());
            assertTrue(all.stream().anyMatch(caller -> caller.cancelled && caller.finalStatuses.contains(200)),
                    "no CANCEL crossed a 200 response");
            assertTrue(all.stream().anyMatch(caller -> caller.finalStatuses.contains(487)), "no CANCEL was in time");
        } finally {
            loop.execute(listener::close);
            loop.stop();
        }
    }

    private Planner planner() {
        Settings settings = new Settings(Layout.NETWORK, 0, 0, 0, 3, SipFrontTest.CLASSES, false, Reports.PIGGYBACK,
                false, false, true, false, false, true, 2_000_000, 6, 200_000, 0,
                new Obligations(20_000, 500_000, 0, 0.3, 14_000_000, 2, 1_000_000));
        Planner created = new Planner(clock::get, settings, ControlParameters.DEFAULTS, 7, 100, new StandInExchange(),
                (call, cause) -> { }, metrics);
        created.post(new Event.Listed(ListKind.CACHED,
                List.of(new Exchange(1, 0, 0, 1, Readiness.READY, 1, 0))));
        created.post(new Event.Reported(1,
                new Report(200, 200, Double.NaN, 0, Double.NaN, Double.NaN,
                900, Double.NaN)));
        return created;
    }
}
