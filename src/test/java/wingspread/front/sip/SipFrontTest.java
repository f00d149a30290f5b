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

/** The SIP front end, with a stand-in peer and with the test in the role of the planner. */
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
        public Peer forContact(String contact) {
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

    private void receive(SipMessage message) {
        front.received(message, peer);
    }

    private Event.Offered offered() {
        return assertInstanceOf(Event.Offered.class, events.get(0));
    }

    private String to() {
        return sent.get(sent.size() - 1).header("To");
    }

    private void advance(long micros) {
        long until = now + micros;
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
    void repeatedInviteBecomesOneRequest() {
        receive(invite());
        receive(invite());
        assertEquals(1, events.size());
        assertEquals(List.of(100, 100), statuses());
        assertEquals("7123", offered().request().number());
        assertEquals(1, offered().request().destination());
        assertArrayEquals(SDP, offered().request().description());
        assertEquals(now + 9_000_000, offered().request().deadline());
    }

    @Test
    void expiresLimitsDeadlineAndLongestPrefixSelectsExchange() {
        SipMessage invite = SipMessage.request("INVITE", "sip:7299@net");
        invite().headers().forEach(header -> invite.with(header.name(), header.value()));
        receive(invite.with("Expires", "2").with("X-Tier", "token"));
        assertEquals(now + 2_000_000, offered().request().deadline());
        assertEquals(2, offered().request().destination());
        assertEquals("token", offered().request().className());
    }

    @Test
    void resendsSuccessResponseUntilAck() {
        receive(invite());
        offered().caller().onEstablished(SDP);
        String to = to();
        advance(1_600_000);
        assertEquals(List.of(100, 200, 200, 200), statuses());
        receive(message("ACK", "2", to));
        advance(40_000_000);
        assertEquals(List.of(), statuses());
        receive(message("BYE", "3", to));
        receive(message("BYE", "3", to));
        assertEquals(List.of(200, 200), statuses());
        assertEquals(new Event.CallerReleased(offered().request().id(), 16), events.get(1));
        assertEquals(2, events.size());
        receive(message("BYE", "4", to));
        assertEquals(List.of(481), statuses());
    }

    @Test
    void resendsRefusalWithRetryAfterUntilAck() {
        receive(invite());
        offered().caller().onRefused(1_200_000);
        assertEquals("2", sent.get(1).header("Retry-After"));
        advance(600_000);
        receive(invite());
        assertEquals(List.of(100, 503, 503, 503), statuses());
        receive(message("ACK", "1", "<sip:7123@net>;tag=x"));
        advance(40_000_000);
        assertEquals(List.of(), statuses());
    }

    @Test
    void sendsFinalResponseOnceOverReliableTransport() {
        reliable = true;
        receive(invite());
        offered().caller().onFailed();
        advance(10_000_000);
        assertEquals(List.of(100, 480), statuses());
    }

    @Test
    void cancelEndsPendingSetUpButNotEstablishedCall() {
        receive(invite());
        receive(message("CANCEL", "1", "<sip:7123@net>"));
        assertEquals(List.of(100, 200, 487), statuses());
        assertEquals(new Event.CallerAbandoned(offered().request().id(), offered().caller()), events.get(1));

        SipMessage second = message("INVITE", "5", "<sip:7123@net>");
        second.headers().replaceAll(header ->
                header.name().equals("Call-ID") ? new SipMessage.Header("Call-ID", "c2") : header);
        receive(second);
        assertInstanceOf(Event.Offered.class, events.get(2));
        ((Event.Offered) events.get(2)).caller().onEstablished(SDP);
        receive(message("CANCEL", "5", "<sip:7123@net>"));
        assertEquals(List.of(100, 200, 200), statuses());
        assertEquals(3, events.size());
    }

    @Test
    void sendsByeAfterAckAndResendsItUntilAnswered() {
        receive(invite());
        offered().caller().onEstablished(SDP);
        String to = to();
        offered().caller().onEnded(41);
        assertTrue(sent.stream().noneMatch(SipMessage::isRequest));
        receive(message("ACK", "2", to));
        advance(600_000);
        List<SipMessage> byes = sent.stream().filter(SipMessage::isRequest).toList();
        assertEquals(2, byes.size());
        assertEquals("Q.850;cause=41", byes.get(0).header("Reason"));
        assertEquals(to, byes.get(0).header("From"));
        receive(byes.get(0).reply(200, "OK"));
        sent.clear();
        advance(40_000_000);
        assertEquals(List.of(), statuses());
        assertEquals(0, front.openCalls());
    }

    @Test
    void releasesCallThatIsNeverAcknowledged() {
        receive(invite());
        offered().caller().onEstablished(SDP);
        advance(33_000_000);
        assertTrue(sent.stream().anyMatch(message -> "BYE".equals(message.method())));
        assertEquals(new Event.CallerReleased(offered().request().id(), 102), events.get(1));
        assertEquals(0, front.openCalls());
    }

    @Test
    void answersUnsupportedRequestsWithStatus() {
        SipMessage unknown = SipMessage.request("INVITE", "sip:9@net");
        SipMessage scheme = SipMessage.request("INVITE", "tel:7123");
        SipMessage extension = SipMessage.request("INVITE", "sip:7123@net").with("Require", "100rel");
        int branch = 10;
        for (SipMessage message : List.of(unknown, scheme, extension)) {
            message("INVITE", "b" + branch++, "<sip:7123@net>").headers()
                    .forEach(header -> message.with(header.name(), header.value()));
            receive(message);
        }
        receive(message("REGISTER", "20", "<sip:7123@net>"));
        receive(message("OPTIONS", "21", "<sip:7123@net>"));
        receive(message("BYE", "22", "<sip:7123@net>;tag=none"));
        receive(message("CANCEL", "23", "<sip:7123@net>"));
        receive(SipMessage.request("INVITE", "sip:7123@net").with("Via", "SIP/2.0/UDP h;branch=z9hG4bKq"));
        assertEquals(List.of(404, 416, 420, 405, 200, 481, 481, 400), statuses());
        receive(invite());
        receive(message("INVITE", "other-way", "<sip:7123@net>"));
        assertEquals(List.of(100, 482), statuses());
        assertEquals(1, events.size());
    }

    @Test
    void cancelsPendingSetUpsOfClosedConnection() {
        receive(invite());
        front.peerDisconnected(peer);
        assertEquals(new Event.CallerAbandoned(offered().request().id(), offered().caller()), events.get(1));
    }

    private static SipMessage withCallId(SipMessage message, String callId) {
        message.headers().replaceAll(header ->
                header.name().equals("Call-ID") ? new SipMessage.Header("Call-ID", callId) : header);
        return message;
    }

    /**
     * Guards against memory exhaustion by SIP transactions and dialogs that had ended, and to which timers referred for
     * up to 32 s.
     */
    @Test
    void keepsNoTimersOfEndedTransactionsAndDialogs() {
        for (boolean overTcp : new boolean[] {true, false}) {
            reliable = overTcp;
            rejectInvite("rejected" + overTcp);
            establishAndRelease("established" + overTcp);
            advance(Timers.T4_MICROS);
            // What remains for the timeout of a transaction: the accepted INVITE, the detection of its merged requests
            // and, over UDP alone, the transaction of the BYE (timer J).
            int kept = overTcp ? 2 : 3;
            assertEquals(kept, timers.size(), "timers after T4, reliable transport: " + overTcp);
            advance(Timers.TRANSACTION_TIMEOUT_MICROS);
            assertEquals(0, timers.size(), "timers after the timeout, reliable transport: " + overTcp);
        }
    }

    /** An INVITE to a number without a route, whose 404 response is acknowledged. */
    private void rejectInvite(String id) {
        SipMessage invite = SipMessage.request("INVITE", "sip:9@net");
        withCallId(message("INVITE", id, "<sip:9@net>"), id).headers()
                .forEach(header -> invite.with(header.name(), header.value()));
        receive(invite);
        receive(withCallId(message("ACK", id, to()), id));
    }

    /** A call that the caller establishes, acknowledges and releases. */
    private void establishAndRelease(String id) {
        events.clear();
        receive(withCallId(message("INVITE", id + "i", "<sip:7123@net>"), id));
        offered().caller().onEstablished(SDP);
        String to = to();
        receive(withCallId(message("ACK", id + "a", to), id));
        receive(withCallId(message("BYE", id + "b", to), id));
    }
}
