package wingspread.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Status;
import wingspread.core.Attempt;
import wingspread.core.AttemptFixture;
import wingspread.core.Event;
import wingspread.directory.Listing;
import wingspread.net.Loop;
import wingspread.metrics.Metrics;
import wingspread.sip.SipDecoder;
import wingspread.sip.SipMessage;
import wingspread.storm.ReconnectFigures;
import wingspread.testing.Wire;

/** The links toward a stand-in exchange that vanishes, moves or goes. */
class LinksTest {
    private final AtomicLong clock = new AtomicLong(1_000_000_000);
    private final Loop loop = new Loop(clock::get);
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final Metrics metrics = new Metrics();
    private volatile int most = 100;
    private Links links = links(ReconnectFigures.OFF);
    private ServerSocket listener;

    private Links links(ReconnectFigures figures) {
        return new Links(loop, 500_000, 0, () -> most, figures, new SplittableRandom(1), events::add, metrics);
    }

    /** What the loop finds after all that it was handed before. */
    private <T> T inLoop(Callable<T> question) throws Exception {
        return loop.group().submit(question).get(10, TimeUnit.SECONDS);
    }

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(10_000);
        list(Readiness.READY);
    }

    @AfterEach
    void stop() throws IOException {
        loop.execute(links::close);
        loop.stop();
        listener.close();
    }

    private void list(Readiness readiness) {
        InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
        loop.execute(() -> links.update(List.of(new Listing("s-1", at, new Exchange(1, 0, 0, 1, readiness, 1, 0)))));
    }

    private Wire<SipMessage> accept() throws IOException {
        return new Wire<>(listener.accept(), new SipDecoder());
    }

    private Attempt invite(String call) {
        Attempt attempt = AttemptFixture.attempt(call, 1, clock.get(), clock.get() + 1_500_000);
        loop.execute(() -> links.invite(attempt));
        return attempt;
    }

    private Event event() throws InterruptedException {
        return events.poll(10, TimeUnit.SECONDS);
    }

    /** A set-up on a connection that says nothing is given up so long after it was sent. */
    private void giveUpAfter(long time, Wire<SipMessage> silent) throws Exception {
        Attempt attempt = invite("a");
        assertEquals("a", silent.next().callId());
        clock.addAndGet(time);
        loop.execute(() -> links.withdraw(attempt));
        assertEquals("CANCEL", silent.next().method());
    }

    @Test
    void aSilentConnectionIsReplacedAndTheNextSetUpTakesTheNewOne() throws Exception {
        try (Wire<SipMessage> silent = accept()) {
            giveUpAfter(1_500_000, silent);
            try (Wire<SipMessage> fresh = accept()) {
                invite("b");
                assertEquals("b", fresh.next().callId());
                assertTrue(silent.closed());
            }
        }
    }

    @Test
    void aSetUpGivenUpBeforeItsTimeShowsTheSilenceToo() throws Exception {
        try (Wire<SipMessage> silent = accept()) {
            giveUpAfter(300_000, silent);
            try (Wire<SipMessage> fresh = accept()) {
                invite("b");
                assertEquals("b", fresh.next().callId());
            }
        }
    }

    @Test
    void aRefusedConnectionProvesTheProcessDownAndThatNothingRan() throws Exception {
        Wire<SipMessage> connection = accept();
        listener.close();
        connection.reset();
        assertEquals(new Event.Died(1), event());
        Attempt attempt = invite("a");
        Event broken = event();
        while (broken instanceof Event.Died) {
            broken = event();
        }
        assertEquals(new Event.Broken(attempt, Status.CONNECT_FAILED), broken);
    }

    @Test
    void aConnectionThatIsResetGivesUpItsSetUps() throws Exception {
        Wire<SipMessage> connection = accept();
        Attempt attempt = invite("a");
        connection.next();
        connection.reset();
        assertEquals(new Event.Broken(attempt, Status.RESET), event());
        try (Wire<SipMessage> next = accept()) {
            next.send(SipMessage.request("NOTIFY", "sip:g@net").with("X-Gauges", "x0:3;x1:4;queue:-1").encode());
            Event.Reported reported = (Event.Reported) event();
            assertEquals(3, reported.report().free());
            assertTrue(Double.isNaN(reported.report().backlog()));
        }
    }

    @Test
    void anExchangeThatClosesUnheardIsNotConnectedToAgainAtOnce() throws Exception {
        accept().close();
        long hour = 3_600_000_000L;
        links = links(new ReconnectFigures(1, 1, 5, 50, hour, hour, 0));
        list(Readiness.READY);
        Wire<SipMessage> connection = accept();
        Attempt attempt = invite("a");
        assertEquals("a", connection.next().callId());
        long before = inLoop(() -> metrics.value("sent.connects"));
        connection.reset();
        assertEquals(new Event.Broken(attempt, Status.RESET), event());
        assertEquals(before, inLoop(() -> metrics.value("sent.connects")));
    }

    @Test
    void theStartDoesNotWaitForAnExchangeThatTakesAConnectionAndTellsNothing() throws Exception {
        try (Wire<SipMessage> connection = accept()) {
            invite("a");
            assertEquals("a", connection.next().callId());
            assertFalse(inLoop(links::settled));
            clock.addAndGet(60_000);
            assertTrue(inLoop(links::settled));
        }
    }

    @Test
    void withoutRoomTheIdleLinkThatWasUsedLongestAgoLeavesItsPlaceAndComesBackWhenWanted() throws Exception {
        Wire<SipMessage> first = accept();
        invite("a");
        first.send(response(first.next()));
        assertTrue(event() instanceof Event.Rejected);
        assertEquals("ACK", first.next().method());
        most = 1;
        try (ServerSocket other = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            other.setSoTimeout(10_000);
            InetSocketAddress at = (InetSocketAddress) other.getLocalSocketAddress();
            Exchange exchange = new Exchange(2, 0, 0, 2, Readiness.READY, 1, 0);
            loop.execute(() -> links.update(List.of(new Listing("s-2", at, exchange))));
            // Of itself it does not come up; it counts as settled, and a set-up makes the other one leave.
            assertEquals(1, inLoop(links::open));
            Attempt attempt = AttemptFixture.attempt("b", 2, clock.get(), clock.get() + 1_500_000);
            loop.execute(() -> links.invite(attempt));
            try (Wire<SipMessage> second = new Wire<>(other.accept(), new SipDecoder())) {
                assertEquals("b", second.next().callId());
                assertTrue(first.closed());
                assertEquals(1, inLoop(links::open));
                // While a set-up is out there, nobody leaves: the next one is told so at once.
                Attempt without = invite("c");
                assertEquals(new Event.Broken(without, Status.CONNECT_FAILED), event());
                second.send(response(SipMessage.request("INVITE", "sip:x@net").with("Call-ID", "b")));
                assertTrue(event() instanceof Event.Rejected);
                assertEquals("ACK", second.next().method());
                invite("d");
                try (Wire<SipMessage> back = accept()) {
                    assertEquals("d", back.next().callId());
                }
            }
        }
    }

    @Test
    void twoThatWantRoomInOneTurnTakeThePlacesOfTwoIdleLinks() throws Exception {
        accept();
        try (ServerSocket other = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            other.setSoTimeout(10_000);
            InetSocketAddress at = (InetSocketAddress) other.getLocalSocketAddress();
            List<Listing> listings = LongStream.rangeClosed(2, 4).mapToObj(i -> new Listing("s-" + i, at,
                    new Exchange(i, 0, 0, (int) i, Readiness.READY, 1, 0))).toList();
            loop.execute(() -> links.update(listings.subList(0, 1)));
            other.accept();
            assertEquals(2, inLoop(links::open));
            most = 2;
            loop.execute(() -> {
                links.update(listings.subList(1, 3));
                links.invite(AttemptFixture.attempt("c", 3, clock.get(), clock.get() + 1_500_000));
                links.invite(AttemptFixture.attempt("d", 4, clock.get(), clock.get() + 1_500_000));
            });
            other.accept();
            other.accept();
            assertEquals(2, inLoop(links::open));
        }
    }

    private static SipMessage state() {
        return SipMessage.request("NOTIFY", "sip:g@net").with("X-Gauges", "x0:3;x1:4");
    }

    @Test
    void aCheckOpensAFreshConnectionWhoseFirstWordsAreKnownAsSuchAndTakesThePlaceOfTheOldestIdleOne() throws Exception {
        Wire<SipMessage> first = accept();
        first.send(state().encode());
        assertTrue(((Event.Reported) event()).openedAt() != Event.Reported.UNSOLICITED);
        first.send(state().encode());
        assertEquals(Event.Reported.UNSOLICITED, ((Event.Reported) event()).openedAt());
        clock.addAndGet(1_500_000);
        assertTrue(inLoop(() -> links.check(1)));
        Wire<SipMessage> second = accept();
        second.send(state().encode());
        assertEquals(clock.get(), ((Event.Reported) event()).openedAt());
        // What needs no event of its own shows that the exchange lives, too.
        first.send(SipMessage.response(200, "OK").with("Call-ID", "a").with("CSeq", "1 BYE").encode());
        assertEquals(new Event.Heard(1), event());
        assertTrue(inLoop(() -> links.check(1)));
        assertTrue(first.closed());
        accept().close();
        assertFalse(inLoop(() -> links.check(2)));
        second.close();
    }

    @Test
    void aReleaseWaitsForAConnectionThatIsNotSilent() throws Exception {
        try (Wire<SipMessage> silent = accept()) {
            giveUpAfter(1_500_000, silent);
            try (Wire<SipMessage> fresh = accept()) {
                invite("b");
                assertEquals("b", fresh.next().callId());
                listener.close();
                fresh.reset();
                assertTrue(event() instanceof Event.Broken);
            }
        }
        assertEquals(new Event.Died(1), event());
        loop.execute(() -> links.release(1, "c", 41));
        try (ServerSocket again = new ServerSocket(listener.getLocalPort(), 8, InetAddress.getLoopbackAddress())) {
            again.setSoTimeout(10_000);
            try (Wire<SipMessage> back = new Wire<>(again.accept(), new SipDecoder())) {
                assertEquals("BYE", back.next().method());
            }
        }
    }

    private static ByteBuf response(SipMessage invite) {
        return SipMessage.response(503, "x").with("Call-ID", invite.callId()).with("CSeq", "1 INVITE").encode();
    }

    @Test
    void anExchangeThatHasGoneIsLeft() throws Exception {
        try (Wire<SipMessage> connection = accept()) {
            list(Readiness.GONE);
            assertTrue(connection.closed());
            Attempt attempt = invite("a");
            assertEquals(new Event.Broken(attempt, Status.CONNECT_FAILED), event());
        }
    }
}
