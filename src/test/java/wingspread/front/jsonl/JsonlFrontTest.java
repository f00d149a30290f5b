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
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
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
    private static final byte[] DESCRIPTION = {'v', '=', '0'};

    private final Loop loop = new Loop(() -> 1_000_000_000);
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final Metrics metrics = new Metrics();
    private final JsonlFront front = new JsonlFront(loop, CLASSES, () -> 100, events::add, () -> true,
            ReconnectParameters.OFF, metrics);
    private Wire<Map<?, ?>> caller;

    @BeforeEach
    void connect() throws Exception {
        ChannelFuture bound = front.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync();
        int port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
        caller = new Wire<>(new Socket(InetAddress.getLoopbackAddress(), port), new LineDecoder());
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
        establish(offer("a"));
        assertEquals(1, establishedLegs());
        end("a");
        nextEvent(Event.CallerReleased.class);
        assertEquals(0, establishedLegs());
    }

    /**
     * Guards against a leak of calls and of their closed connections: a call whose answer crosses the caller's 'end'
     * was kept as established for good, because nothing ends it in the front end any more.
     */
    @Test
    void keepsNothingOfCallWhoseAnswerCrossesItsEnd() throws Exception {
        Event.Offered offered = offer("a");
        end("a");
        nextEvent(Event.CallerAbandoned.class);
        // The planner handles the exchange's answer first if both were read in one turn.
        establish(offered);
        assertEquals(0, establishedLegs());
    }
}
