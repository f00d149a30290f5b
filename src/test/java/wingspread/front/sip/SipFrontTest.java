package wingspread.front.sip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import wingspread.config.SipConfig;
import wingspread.control.CallControl.CallClass;
import wingspread.control.CallControl.Effect;
import wingspread.control.CallControl.RepeatGroup;
import wingspread.core.Event;
import wingspread.metrics.Metrics;
import wingspread.sip.Peer;
import wingspread.sip.SipMessage;
import wingspread.sip.Timers;

/** The SIP front between a stand-in peer and a planner that the test plays. */
class SipFrontTest {
    static final List<CallClass> CLASSES = List.of(
            new CallClass("plain", 1_500_000, 9_000_000, 1, 0.1, 1, 0, Effect.SAFE, RepeatGroup.ALL, 0, List.of()),
            new CallClass("token", 1_500_000, 9_000_000, 3, 0.1, 1, 0, Effect.SAFE, RepeatGroup.ALL, 0, List.of()));
    static final SipConfig CONFIG = new SipConfig(null, null, null, "", Map.of("7", 1, "72", 2), null);
    private static final byte[] SDP = "v=0\r\nc=IN IP4 127.0.0.1\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final List<SipMessage> sent = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private long now = 1_000_000_000;
    private final Timers timers = new Timers(() -> now);
    private final SipFront front = new SipFront(timers, CONFIG, CLASSES, 7, events::add, new Metrics());
    private boolean reliable;
    private final Peer peer = new Peer() {
        @Override
        public void send(SipMessage message) {
            sent.add(message);
        }

        @Override
        public boolean reliable() {
            return reliable;
        }

        @Override
        public String sentBy() {
            return "UDP 127.0.0.1:5060";
        }

        @Override
        public Peer toward(String contact) {
            return this;
        }
    };

    private static SipMessage message(String method, String branch, String to) {
        return SipMessage.request(method, "sip:7123@net").with("Via", "SIP/2.0/UDP 127.0.0.1:9;branch=z9hG4bK" + branch)
                .with("Max-Forwards", "70").with("From", "<sip:a@net>;tag=f").with("To", to)
                .with("Call-ID", "c1").with("CSeq", (method.equals("BYE") ? 2 : 1) + " " + method)
                .with("Contact", "<sip:a@127.0.0.1:9>");
    }

    private static SipMessage invite() {
        return message("INVITE", "1", "<sip:7123@net>").withBody(SDP);
    }

    private void take(SipMessage message) {
        front.received(message, peer);
    }

    private Event.Offered offered() {
        return assertInstanceOf(Event.Offered.class, events.get(0));
    }

    private String to() {
        return sent.get(sent.size() - 1).header("To");
    }

    private void pass(long time) {
        long until = now + time;
        while (timers.nextDue() <= until) {
            now = Math.max(now, timers.nextDue());
            timers.turn();
        }
        now = until;
    }

    private List<Integer> statuses() {
        List<Integer> out = sent.stream().map(SipMessage::status).toList();
        sent.clear();
        return out;
    }

    @Test
    void anInviteBecomesOneRequestHoweverOftenItComes() {
        take(invite());
        take(invite());
        assertEquals(1, events.size());
        assertEquals(List.of(100, 100), statuses());
        assertEquals("7123", offered().request().number());
        assertEquals(1, offered().request().destination());
        assertArrayEquals(SDP, offered().request().description());
        assertEquals(now + 9_000_000, offered().request().deadline());
    }

    @Test
    void expiresBoundsTheDeadlineAndTheLongestPrefixNamesTheExchange() {
        SipMessage invite = SipMessage.request("INVITE", "sip:7299@net");
        invite().headers().forEach(h -> invite.with(h.name(), h.value()));
        take(invite.with("Expires", "2").with("X-Tier", "token"));
        assertEquals(now + 2_000_000, offered().request().deadline());
        assertEquals(2, offered().request().destination());
        assertEquals("token", offered().request().className());
    }

    @Test
    void aSuccessIsSaidAgainUntilItsAck() {
        take(invite());
        offered().caller().stands(SDP);
        String to = to();
        pass(1_600_000);
        assertEquals(List.of(100, 200, 200, 200), statuses());
        take(message("ACK", "2", to));
        pass(40_000_000);
        assertEquals(List.of(), statuses());
        take(message("BYE", "3", to));
        take(message("BYE", "3", to));
        assertEquals(List.of(200, 200), statuses());
        assertEquals(new Event.CallerEnded(offered().request().id(), 16), events.get(1));
        assertEquals(2, events.size());
        take(message("BYE", "4", to));
        assertEquals(List.of(481), statuses());
    }

    @Test
    void aRefusalIsSaidAgainUntilItsAckAndNamesTheWait() {
        take(invite());
        offered().caller().refused(1_200_000);
        assertEquals("2", sent.get(1).header("Retry-After"));
        pass(600_000);
        take(invite());
        assertEquals(List.of(100, 503, 503, 503), statuses());
        take(message("ACK", "1", "<sip:7123@net>;tag=x"));
        pass(40_000_000);
        assertEquals(List.of(), statuses());
    }

    @Test
    void aReliableTransportIsToldOnce() {
        reliable = true;
        take(invite());
        offered().caller().failed();
        pass(10_000_000);
        assertEquals(List.of(100, 480), statuses());
    }

    @Test
    void aCancelEndsTheSetUpAndOneThatCrossesSuccessDoesNot() {
        take(invite());
        take(message("CANCEL", "1", "<sip:7123@net>"));
        assertEquals(List.of(100, 200, 487), statuses());
        assertEquals(new Event.GivenUp(offered().request().id(), offered().caller()), events.get(1));

        SipMessage second = message("INVITE", "5", "<sip:7123@net>");
        second.headers().replaceAll(h -> h.name().equals("Call-ID") ? new SipMessage.Header("Call-ID", "c2") : h);
        take(second);
        assertInstanceOf(Event.Offered.class, events.get(2));
        ((Event.Offered) events.get(2)).caller().stands(SDP);
        take(message("CANCEL", "5", "<sip:7123@net>"));
        assertEquals(List.of(100, 200, 200), statuses());
        assertEquals(3, events.size());
    }

    @Test
    void aReleaseWaitsForTheAckAndIsSentAgainUntilAnswered() {
        take(invite());
        offered().caller().stands(SDP);
        String to = to();
        offered().caller().over(41);
        assertTrue(sent.stream().noneMatch(SipMessage::isRequest));
        take(message("ACK", "2", to));
        pass(600_000);
        List<SipMessage> byes = sent.stream().filter(SipMessage::isRequest).toList();
        assertEquals(2, byes.size());
        assertEquals("Q.850;cause=41", byes.get(0).header("Reason"));
        assertEquals(to, byes.get(0).header("From"));
        take(byes.get(0).reply(200, "OK"));
        sent.clear();
        pass(40_000_000);
        assertEquals(List.of(), statuses());
        assertEquals(0, front.open());
    }

    @Test
    void aSuccessThatIsNeverAcknowledgedIsReleased() {
        take(invite());
        offered().caller().stands(SDP);
        pass(33_000_000);
        assertTrue(sent.stream().anyMatch(m -> "BYE".equals(m.method())));
        assertEquals(new Event.CallerEnded(offered().request().id(), 102), events.get(1));
        assertEquals(0, front.open());
    }

    @Test
    void whatCannotBeServedIsToldWhy() {
        SipMessage unknown = SipMessage.request("INVITE", "sip:9@net");
        SipMessage scheme = SipMessage.request("INVITE", "tel:7123");
        SipMessage extension = SipMessage.request("INVITE", "sip:7123@net").with("Require", "100rel");
        int branch = 10;
        for (SipMessage message : List.of(unknown, scheme, extension)) {
            message("INVITE", "b" + branch++, "<sip:7123@net>").headers()
                    .forEach(h -> message.with(h.name(), h.value()));
            take(message);
        }
        take(message("REGISTER", "20", "<sip:7123@net>"));
        take(message("OPTIONS", "21", "<sip:7123@net>"));
        take(message("BYE", "22", "<sip:7123@net>;tag=none"));
        take(message("CANCEL", "23", "<sip:7123@net>"));
        take(SipMessage.request("INVITE", "sip:7123@net").with("Via", "SIP/2.0/UDP h;branch=z9hG4bKq"));
        assertEquals(List.of(404, 416, 420, 405, 200, 481, 481, 400), statuses());
        take(invite());
        take(message("INVITE", "other-way", "<sip:7123@net>"));
        assertEquals(List.of(100, 482), statuses());
        assertEquals(1, events.size());
    }

    @Test
    void aConnectionThatEndsGivesItsSetUpsUp() {
        take(invite());
        front.lost(peer);
        assertEquals(new Event.GivenUp(offered().request().id(), offered().caller()), events.get(1));
    }
}
