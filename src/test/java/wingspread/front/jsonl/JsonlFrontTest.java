package wingspread.front.jsonl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.ChannelFuture;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wingspread.control.CallControl.CallClass;
import wingspread.control.CallControl.Effect;
import wingspread.control.CallControl.RepeatGroup;
import wingspread.core.Event;
import wingspread.json.LineDecoder;
import wingspread.metrics.Metrics;
import wingspread.net.Loop;
import wingspread.storm.ReconnectParameters;
import wingspread.testing.Wire;

/** The JSON lines front end with a caller on the loopback, and with the test in the role of the planner. */
class JsonlFrontTest {
    private static final List<CallClass> CLASSES = List.of(
            new CallClass("plain", 1_500_000, 9_000_000, 1, 0.1, 1, 0, Effect.SAFE, RepeatGroup.ALL, 0, List.of()));
    private static final String CALL_A = "a".repeat(16);
    private static final String CALL_B = "b".repeat(16);
    private static final String OTHER_CALL = "c".repeat(16);
    private static final byte[] DESCRIPTION = {'v', '=', '0'};

    private final AtomicLong clock = new AtomicLong(1_000_000_000);
    private final Loop loop = new Loop(clock::get);
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final Metrics metrics = new Metrics();
    private final JsonlFront front = new JsonlFront(loop, CLASSES, () -> 100, events::add, () -> true,
            ReconnectParameters.OFF, metrics);
    private int port;
    private Wire<Map<?, ?>> caller;

    @BeforeEach
    void listen() throws Exception {
        ChannelFuture bound = front.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), false).sync();
        port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
        caller = connect();
    }

    private Wire<Map<?, ?>> connect() throws Exception {
        return new Wire<>(new Socket(InetAddress.getLoopbackAddress(), port), new LineDecoder());
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        loop.stop();
    }

    private <T> T runInLoop(Callable<T> task) throws Exception {
        return loop.group().submit(task).get(10, TimeUnit.SECONDS);
    }

    private <E extends Event> E nextEvent(Class<E> type) throws InterruptedException {
        return assertInstanceOf(type, events.poll(10, TimeUnit.SECONDS));
    }

    private Event.Offered offer(String id) throws Exception {
        caller.send("{\"op\":\"offer\",\"call\":\"" + id + "\",\"with\":{\"class\":\"plain\",\"left\":\"1500\","
                + "\"extras\":\"dest:1\"},\"desc\":\"\"}\n");
        return nextEvent(Event.Offered.class);
    }

    private void end(String id) throws Exception {
        caller.send("{\"op\":\"end\",\"call\":\"" + id + "\",\"with\":{},\"why\":16}\n");
    }

    private long establishedLegs() throws Exception {
        return runInLoop(() -> metrics.value("kept.established-legs"));
    }

    private void establish(Event.Offered offered) throws Exception {
        runInLoop(() -> {
            offered.caller().onEstablished(DESCRIPTION);
            return null;
        });
    }

    @Test
    void keepsEstablishedCallUntilItsCallerReleasesIt() throws Exception {
        establish(offer(CALL_A));
        assertEquals(1, establishedLegs());
        end(CALL_A);
        nextEvent(Event.CallerReleased.class);
        assertEquals(0, establishedLegs());
    }

    /**
     * Guards against a leak of calls and of their closed connections: a call whose answer crosses the caller's 'end'
     * was kept as established for good, because nothing ends it in the front end any more.
     */
    @Test
    void keepsNothingOfCallWhoseAnswerCrossesItsEnd() throws Exception {
        Event.Offered offered = offer(CALL_A);
        end(CALL_A);
        nextEvent(Event.CallerAbandoned.class);
        // The planner handles the exchange's answer first if both were read in one turn.
        establish(offered);
        assertEquals(0, establishedLegs());
    }

    /** Establishes a call on {@code caller}, and leaves another connection on which a call was established as well. */
    private Wire<Map<?, ?>> establishOnOneOfTwoConnections(String id) throws Exception {
        Wire<Map<?, ?>> other = caller;
        establish(offer(OTHER_CALL));
        assertEquals("accept", other.next().get("op"));
        caller = connect();
        Event.Offered offered = offer(id);
        establish(offered);
        assertEquals("accept", caller.next().get("op"));
        runInLoop(() -> {
            // The loop cannot read the close before it has written the release.
            caller.close();
            offered.caller().onEnded(16);
            return null;
        });
        return other;
    }

    @Test
    void releaseThatCrossesCloseOfItsConnectionReachesAnotherConnection() throws Exception {
        try (Wire<Map<?, ?>> other = establishOnOneOfTwoConnections(CALL_A)) {
            Map<?, ?> release = other.next();
            assertEquals("end", release.get("op"));
            assertEquals(CALL_A, release.get("call"));
        }
    }

    @Test
    void releaseIsNotRepeatedWhenItsConnectionClosesLater() throws Exception {
        Event.Offered offered = offer(CALL_A);
        establish(offered);
        assertEquals("accept", caller.next().get("op"));
        runInLoop(() -> {
            offered.caller().onEnded(16);
            return null;
        });
        assertEquals("end", caller.next().get("op"));
        clock.addAndGet(150_000);
        caller.close();
        caller = connect();
        establish(offer(CALL_B));
        assertEquals("accept", caller.next().get("op"));
        caller.send("{\"op\":\"test\",\"call\":\"0000000000000001\",\"with\":{},\"why\":0}\n");
        assertEquals("tested", caller.next().get("op"));
    }

    private void assertInvalid(String fields) throws Exception {
        caller.send("{\"op\":\"offer\"," + fields + ",\"desc\":\"\"}\n");
        Map<?, ?> answer = caller.next();
        assertEquals("end", answer.get("op"), fields);
        assertEquals(100.0, answer.get("why"), fields);
        assertEquals(0, events.size(), fields);
    }

    private static String fields(String call, String key, String callClass, String left, String extras) {
        return "\"call\":\"" + call + "\",\"with\":{\"class\":\"" + callClass + "\",\"left\":\"" + left
                + "\",\"key\":\"" + key + "\",\"extras\":\"" + extras + "\"}";
    }

    /** Guards against forged messages: line breaks in an id or a number reached exchanges as messages of their own. */
    @ParameterizedTest
    @ValueSource(strings = {"a\\r\\nBYE sip:x@net SIP/2.0", "aaaaaaaaaaaaaaa\\n", "aaaaaaaaaaaaaaaa ",
        "aaaaaaaaaaaaaaag", "aaaaaaaaaaaaaaaaa", "\\u0000aaaaaaaaaaaaaaa", "x@net"})
    void failsOfferWithIdOrNumberThatIsNotHexadecimal(String text) throws Exception {
        assertInvalid(fields(text, "00ff", "plain", "1500", "dest:1"));
        assertInvalid(fields(CALL_A, text, "plain", "1500", "dest:1"));
    }

    /** Guards against a client whose figures change what happens to the calls of others, or are answered as served. */
    @ParameterizedTest
    @ValueSource(strings = {"dest:1;width:57", "dest:1;width:0", "dest:1;width:NaN", "dest:1;width:x", "dest:1.5",
        "dest:-1", "dest:70000", "dest:1e300", "width:1", "dest:1;via:-2", "dest:1;via:Infinity", "dest:1;dest:2",
        "dest:1;again:?"})
    void failsOfferWithFigureOutOfRange(String extras) throws Exception {
        assertInvalid(fields(CALL_A, "00ff", "plain", "1500", extras));
    }

    @Test
    void failsOfferWithUnknownClassOrInvalidTime() throws Exception {
        assertInvalid(fields(CALL_A, "00ff", "plain\\r\\n", "1500", "dest:1"));
        assertInvalid(fields(CALL_A, "00ff", "plain", "-1", "dest:1"));
        assertInvalid(fields(CALL_A, "00ff", "plain", "NaN", "dest:1"));
        assertInvalid("\"call\":1234567890123456,\"with\":{\"class\":\"plain\",\"left\":1500,\"extras\":\"dest:1\"}");
    }

    @Test
    void acceptsOfferWithWholeNumbersInAnyNotation() throws Exception {
        caller.send("{\"op\":\"offer\"," + fields(CALL_A, "00FF", "plain", "1500.5",
                "dest:1.0;width:1;via:-1;transit:1") + ",\"desc\":\"\"}\n");
        Event.Offered offered = nextEvent(Event.Offered.class);
        assertEquals(1, offered.request().destination());
        assertEquals(-1, offered.request().via());
        assertEquals("00FF", offered.request().number());
        // Fields may be strings or numbers.
        caller.send("{\"op\":\"offer\"," + fields(CALL_B, "7", "plain", "1500", "dest:1").replace("\"7\"", "7")
                + ",\"desc\":\"\"}\n");
        assertEquals("7", nextEvent(Event.Offered.class).request().number());
    }

    /**
     * Guards against work for a client that has left: its requests were unread as it closed, and were sent on. Releases
     * among them still count.
     */
    @Test
    void startsNoCallOfClientThatClosedBeforeItsOffersWereRead() throws Exception {
        offer(CALL_A);
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            awaitUninterruptibly(closed);
        });
        blocked.await();
        for (int i = 0; i < 1_000; i++) {
            caller.send("{\"op\":\"offer\"," + fields(String.format("%016x", i), "00ff", "plain", "1500", "dest:1")
                    + ",\"desc\":\"\"}\n");
        }
        end(CALL_B);
        caller.close();
        closed.countDown();
        assertEquals(CALL_A, nextEvent(Event.CallerAbandoned.class).call());
        assertEquals(CALL_B, nextEvent(Event.CallerReleased.class).call());
        runInLoop(() -> null);
        assertEquals(0, events.size());
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against a release that is told to a client which sends invalid requests, while a usual caller waits. */
    @Test
    void releaseOfUnknownCallIsNotSentToClientWithInvalidOffers() throws Exception {
        caller.send("{\"op\":\"test\",\"call\":\"0000000000000001\",\"with\":{},\"why\":0}\n");
        assertEquals("tested", caller.next().get("op"));
        try (Wire<Map<?, ?>> badClient = connect()) {
            badClient.send("{\"op\":\"offer\"," + fields(CALL_B, "x", "plain", "1500", "dest:1")
                    + ",\"desc\":\"\"}\n");
            assertEquals(100.0, badClient.next().get("why"));
            runInLoop(() -> {
                front.onEnded(CALL_A, 16);
                front.sendQueuedReleases();
                return null;
            });
            Map<?, ?> release = caller.next();
            assertEquals("end", release.get("op"));
            assertEquals(CALL_A, release.get("call"));
        }
    }

    /**
     * Guards against a release that is told late: the caller came after the one look for a connection, and only tests.
     */
    @Test
    void queuedReleaseReachesCallerThatConnectsLaterAndOnlyTests() throws Exception {
        runInLoop(() -> {
            front.onEnded(CALL_A, 16);
            front.sendQueuedReleases();
            return null;
        });
        // Longer than the time after which the front looks for a connection.
        runInLoop(() -> loop.group().next().schedule(() -> { }, 600, TimeUnit.MILLISECONDS)).get();
        caller.send("{\"op\":\"test\",\"call\":\"0000000000000001\",\"with\":{},\"why\":0}\n");
        assertEquals("tested", caller.next().get("op"));
        assertEquals(CALL_A, caller.next().get("call"));
    }
}
