package wingspread.front.sip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.nio.NioEventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
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
import wingspread.control.Figures;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.Layout;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Obligations;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Reports;
import wingspread.control.CallControl.Settings;
import wingspread.core.Attempt;
import wingspread.core.Event;
import wingspread.core.Exchanges;
import wingspread.core.Planner;
import wingspread.net.BadInput;
import wingspread.net.Loop;
import wingspread.metrics.Metrics;
import wingspread.sip.SipDecoder;
import wingspread.sip.SipMessage;
import wingspread.sip.Timers;
import wingspread.storm.ReconnectFigures;

/**
 * SIP callers over real datagrams on the loopback, through front, planner and module, to a stand-in exchange.
 * Datagrams are dropped, doubled and put out of order in both directions; time is the test's.
 */
class LossyLoopbackTest {
    private static final int CALLS = 40;
    private static final long STEP = 50_000;
    private static final double DROPPED = 0.25;
    private static final double DOUBLED = 0.25;
    private static final double DELAYED = 0.25;

    private final AtomicLong clock = new AtomicLong(1_000_000_000);
    private final Loop loop = new Loop(clock::get);
    private final Metrics metrics = new Metrics();
    private final List<Attempt> out = new ArrayList<>();
    private final Set<String> invited = new HashSet<>();
    private final Set<String> releasedAtExchange = new HashSet<>();
    private int doubleAttempts;

    /** An exchange that answers when the test says so. */
    private final class StandInExchange implements Exchanges {
        @Override
        public void invite(Attempt attempt) {
            doubleAttempts += invited.add(attempt.request().id()) ? 0 : 1;
            out.add(attempt);
        }

        @Override
        public void withdraw(Attempt attempt) {
            out.remove(attempt);
        }

        @Override
        public void release(long exchange, String call, int cause) {
            releasedAtExchange.add(call);
        }

        @Override
        public void closeIdle(long exchange) {
            // Nothing is idle here.
        }

        @Override
        public boolean check(long exchange) {
            return false;
        }
    }

    /** A caller of RFC 3261: its INVITE is repeated until answered, each final answer acknowledged. */
    private final class Caller {
        final String callId;
        final boolean cancels;
        final Set<Integer> finals = new HashSet<>();
        final Set<String> tags = new HashSet<>();
        long next = clock.get();
        long gap = Timers.T1;
        boolean heard;
        boolean cancelled;
        boolean byeDone;
        String to;

        Caller(int number, boolean cancels) {
            this.callId = "call-" + number;
            this.cancels = cancels;
        }

        SipMessage message(String method, String branch, int cseq) {
            return SipMessage.request(method, "sip:7" + callId.hashCode() + "@net")
                    .with("Via", "SIP/2.0/UDP 127.0.0.1:9;rport;branch=z9hG4bK" + callId + branch)
                    .with("Max-Forwards", "70").with("From", "<sip:caller@net>;tag=" + callId)
                    .with("To", to == null ? "<sip:7@net>" : to).with("Call-ID", callId)
                    .with("CSeq", cseq + " " + method);
        }

        /** What it sends at this time: repeats of what is unanswered. */
        void act() {
            if (clock.get() < next || byeDone) {
                return;
            }
            next = clock.get() + gap;
            gap = Math.min(2 * gap, Timers.T2);
            if (finals.isEmpty() && !heard) {
                toFront(message("INVITE", "i", 1));
            } else if (finals.isEmpty() && cancels) {
                cancelled = true;
                toFront(message("CANCEL", "i", 1));
            } else if (finals.contains(200)) {
                toFront(message("BYE", "b", 2));
            }
        }

        void take(SipMessage response) {
            if (response.cseqMethod().equals("BYE")) {
                byeDone |= response.status() >= 200;
            } else if (response.cseqMethod().equals("INVITE")) {
                if (!heard) {
                    heard = true;
                    next = clock.get() + (cancels ? random.nextLong(900_000) : 0);
                    gap = Timers.T1;
                }
                if (response.status() >= 200) {
                    to = response.header("To");
                    finals.add(response.status());
                    tags.add(to);
                    toFront(message("ACK", response.status() < 300 ? "a" : "i", 1));
                }
            }
        }
    }

    private record Delayed(long at, byte[] bytes, boolean towardFront) { }

    private final List<Delayed> delayed = new ArrayList<>();
    private SplittableRandom random;
    private DatagramChannel socket;
    private InetSocketAddress frontAddress;
    private Planner planner;
    private final Map<String, Caller> callers = new HashMap<>();

    private void toFront(SipMessage message) {
        ByteBuf encoded = message.encode();
        byte[] bytes = new byte[encoded.readableBytes()];
        encoded.readBytes(bytes);
        disturb(bytes, true);
    }

    private void disturb(byte[] bytes, boolean towardFront) {
        if (random.nextDouble() < DROPPED) {
            return;
        }
        int copies = random.nextDouble() < DOUBLED ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long late = random.nextDouble() < DELAYED ? random.nextLong(700_000) : 0;
            delayed.add(new Delayed(clock.get() + late, bytes, towardFront));
        }
    }

    private void deliver() throws IOException, BadInput {
        for (Delayed d : List.copyOf(delayed)) {
            if (d.at() <= clock.get()) {
                delayed.remove(d);
                if (d.towardFront()) {
                    socket.send(ByteBuffer.wrap(d.bytes()), frontAddress);
                } else {
                    SipMessage message = SipDecoder.datagram(d.bytes());
                    if (!message.isRequest()) {
                        callers.get(message.callId()).take(message);
                    }
                }
            }
        }
    }

    private void collect() throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(16_384);
        while (socket.receive(buffer) != null) {
            buffer.flip();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            buffer.clear();
            disturb(bytes, false);
        }
    }

    /** Lets the loop read all that has arrived and play its turn: two whole iterations from now. */
    private void settle() throws Exception {
        NioEventLoop eventLoop = (NioEventLoop) loop.group().next();
        CompletableFuture<Void> done = new CompletableFuture<>();
        eventLoop.execute(() -> eventLoop.executeAfterEventLoopIteration(() -> eventLoop.execute(() -> {
            loop.wantTurn();
            eventLoop.executeAfterEventLoopIteration(() -> done.complete(null));
        })));
        done.get(10, TimeUnit.SECONDS);
    }

    private void answerSome() throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            for (Attempt attempt : List.copyOf(out)) {
                if (random.nextDouble() < 0.15) {
                    out.remove(attempt);
                    planner.post(new Event.Answered(attempt.exchange(), attempt.request().id(), new byte[] {'v'}));
                    loop.wantTurn();
                }
            }
            done.complete(null);
        });
        done.get(10, TimeUnit.SECONDS);
        settle();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void eachCallGetsExactlyOneFinalAnswer(long seed) throws Exception {
        random = new SplittableRandom(seed);
        planner = planner();
        Timers timers = new Timers(clock::get);
        SipFront front = new SipFront(timers, SipFrontTest.CONFIG, SipFrontTest.CLASSES, seed, planner::post, metrics);
        SipListener listener = new SipListener(loop, front, ReconnectFigures.OFF, new Metrics());
        loop.serve(timers);
        loop.serve(planner);
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        frontAddress = (InetSocketAddress) listener.listenUdp(any).sync().channel().localAddress();
        try (DatagramChannel opened = DatagramChannel.open()) {
            socket = opened;
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            socket.configureBlocking(false);
            List<Caller> all = new ArrayList<>();
            for (int step = 0; step < 1_600; step++) {
                if (step % 4 == 0 && all.size() < CALLS) {
                    Caller caller = new Caller(all.size(), random.nextBoolean());
                    all.add(caller);
                    callers.put(caller.callId, caller);
                }
                all.forEach(Caller::act);
                deliver();
                settle();
                answerSome();
                collect();
                clock.addAndGet(STEP);
            }
            for (Caller caller : all) {
                assertEquals(1, caller.finals.size(), caller.callId + " heard " + caller.finals);
                assertEquals(1, caller.tags.size(), caller.callId);
            }
            assertEquals(CALLS, metrics.value("taken.calls"));
            assertEquals(0, doubleAttempts);
            assertEquals(0, front.open());
            assertTrue(all.stream().anyMatch(c -> c.cancelled && c.finals.contains(200)), "no CANCEL crossed a 200");
            assertTrue(all.stream().anyMatch(c -> c.finals.contains(487)), "no CANCEL was in time");
        } finally {
            loop.execute(listener::close);
            loop.stop();
        }
    }

    private Planner planner() {
        Settings settings = new Settings(Layout.NETWORK, 0, 0, 0, 3, SipFrontTest.CLASSES, false, Reports.PIGGYBACK,
                false, false, true, false, false, true, 2_000_000, 6, 200_000, 0,
                new Obligations(20_000, 500_000, 0, 0.3, 14_000_000, 2, 1_000_000));
        Planner made = new Planner(clock::get, settings, Figures.USUAL, 7, 100, new StandInExchange(),
                (call, cause) -> { }, metrics);
        made.post(new Event.Listed(ListKind.CACHED,
                List.of(new Exchange(1, 0, 0, 1, Readiness.READY, 1, 0))));
        made.post(new Event.Reported(1,
                new Report(200, 200, Double.NaN, 0, Double.NaN, Double.NaN,
                900, Double.NaN)));
        return made;
    }
}
