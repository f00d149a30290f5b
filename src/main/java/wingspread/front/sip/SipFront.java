package wingspread.front.sip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.config.SipConfig;
import wingspread.control.CallControl.CallClass;
import wingspread.core.Caller;
import wingspread.core.Event;
import wingspread.core.Planner;
import wingspread.core.Request;
import wingspread.metrics.Metrics;
import wingspread.sip.Dialog;
import wingspread.sip.Peer;
import wingspread.sip.ServerTransaction;
import wingspread.sip.SipMessage;
import wingspread.sip.Timers;
import wingspread.sip.TransactionLayer;

/**
 * The SIP front: a user agent server of RFC 3261 before the planner. It decides nothing: an INVITE becomes a
 * request, and what the planner answers becomes its one final answer.
 */
public final class SipFront implements TransactionLayer.User {
    private static final Logger LOG = LoggerFactory.getLogger(SipFront.class);
    private static final String ALLOW = "INVITE, ACK, CANCEL, BYE, OPTIONS";
    private static final int MOST_TRANSACTIONS = 4_096;
    private static final long SECOND = 1_000_000;
    private static final int NO_ACK = 102;

    private final Timers timers;
    private final SipConfig config;
    private final List<CallClass> classes;
    private final Consumer<Event> planner;
    private final Metrics metrics;
    private final SplittableRandom random;
    private final TransactionLayer transactions;
    private final Map<ServerTransaction, Leg> pending = new HashMap<>();
    private final Map<String, Leg> standing = new HashMap<>();
    /** INVITEs of late by Call-ID, From tag and CSeq, to know one that came by two ways. */
    private final Map<String, ServerTransaction> recent = new HashMap<>();

    public SipFront(Timers timers, SipConfig config, List<CallClass> classes, long seed, Consumer<Event> planner,
            Metrics metrics) {
        this.timers = timers;
        this.config = config;
        this.classes = classes;
        this.planner = planner;
        this.metrics = metrics;
        this.random = new SplittableRandom(seed);
        this.transactions = new TransactionLayer(timers, this, MOST_TRANSACTIONS);
    }

    /** Takes a message from a transport. */
    public void received(SipMessage message, Peer peer) {
        metrics.count("sip.taken." + (message.isRequest() ? message.method() : message.status() / 100 + "xx"));
        if (!message.isRequest()) {
            transactions.received(message, peer);
            return;
        }
        boolean whole = !message.header("Via").isEmpty() && !message.callId().isEmpty() && message.cseq() >= 0
                && !message.header("From").isEmpty() && !message.header("To").isEmpty()
                && message.cseqMethod().equals(message.method());
        // Guards the transactions against a request that lacks what they are told apart by.
        if (!whole) {
            LOG.info("a {} without its mandatory headers was turned away", message.method());
            if (!message.method().equals("ACK") && !message.header("Via").isEmpty()) {
                peer.send(message.reply(400, "Bad Request"));
            }
            return;
        }
        transactions.received(message, peer);
    }

    /** A connection has ended: set-ups that came on it can no longer be answered and count as given up. */
    public void lost(Peer peer) {
        for (Leg leg : List.copyOf(pending.values())) {
            if (leg.invite.peer() == peer) {
                pending.remove(leg.invite);
                planner.accept(new Event.GivenUp(leg.id, leg));
            }
        }
    }

    /** Whether a set-up that is owed an answer, or a call that stands, came from there. */
    boolean carries(Peer peer) {
        return Stream.concat(pending.values().stream(), standing.values().stream())
                .anyMatch(leg -> leg.invite.peer() == peer);
    }

    /** Calls that stand for callers of this front, and set-ups that it owes an answer. */
    public int open() {
        return pending.size() + standing.size();
    }

    // From the transactions.

    @Override
    public void request(ServerTransaction transaction) {
        SipMessage request = transaction.request();
        if (!Dialog.tag(request.header("To")).isEmpty()) {
            inDialog(transaction);
            return;
        }
        switch (request.method()) {
            case "INVITE" -> invite(transaction);
            case "OPTIONS" -> transaction.respond(tagged(request.reply(200, "OK")).with("Allow", ALLOW));
            case "BYE" -> transaction.respond(request.reply(481, "Call/Transaction Does Not Exist"));
            default -> transaction.respond(tagged(request.reply(405, "Method Not Allowed")).with("Allow", ALLOW));
        }
    }

    private void inDialog(ServerTransaction transaction) {
        SipMessage request = transaction.request();
        Leg leg = standing.get(Dialog.keyOf(request));
        if (leg == null) {
            transaction.respond(request.reply(481, "Call/Transaction Does Not Exist"));
        } else if (!leg.dialog.inOrder(request)) {
            transaction.respond(request.reply(500, "Server Internal Error"));
        } else {
            switch (request.method()) {
                case "BYE" -> {
                    transaction.respond(request.reply(200, "OK"));
                    leg.forget();
                    planner.accept(new Event.CallerEnded(leg.id, cause(request)));
                }
                case "OPTIONS" -> transaction.respond(request.reply(200, "OK").with("Allow", ALLOW));
                case "INVITE" -> transaction.respond(request.reply(488, "Not Acceptable Here"));
                default -> transaction.respond(request.reply(405, "Method Not Allowed").with("Allow", ALLOW));
            }
        }
    }

    private static int cause(SipMessage request) {
        String cause = SipMessage.parameter(request.header("Reason"), "cause");
        long value = cause == null ? -1 : SipMessage.number(cause);
        return value < 0 || value > 127 ? Planner.NORMAL : (int) value;
    }

    private void invite(ServerTransaction transaction) {
        SipMessage invite = transaction.request();
        String merged = invite.callId() + ' ' + Dialog.tag(invite.header("From")) + ' ' + invite.cseq();
        Integer place = place(user(invite.uri()));
        if (!invite.uri().startsWith("sip:") && !invite.uri().startsWith("sips:")) {
            transaction.respond(tagged(invite.reply(416, "Unsupported URI Scheme")));
        } else if (!invite.header("Require").isEmpty()) {
            transaction.respond(tagged(invite.reply(420, "Bad Extension"))
                    .with("Unsupported", invite.header("Require")));
        } else if (recent.containsKey(merged)) {
            transaction.respond(tagged(invite.reply(482, "Loop Detected")));
        } else if (recent.size() >= MOST_TRANSACTIONS) {
            // Guards against a flood of INVITEs, each of which is remembered for half a minute.
            transaction.respond(tagged(invite.reply(503, "Service Unavailable")).with("Retry-After", "5"));
        } else if (place == null) {
            transaction.respond(tagged(invite.reply(404, "Not Found")));
        } else {
            recent.put(merged, transaction);
            timers.at(timers.now() + Timers.PURSUED, () -> recent.remove(merged));
            transaction.respond(invite.reply(100, "Trying"));
            offer(transaction, place);
        }
    }

    private void offer(ServerTransaction transaction, int place) {
        SipMessage invite = transaction.request();
        int index = classIndex(invite.header("X-Tier"));
        CallClass callClass = classes.get(index);
        long deadline = timers.now() + callClass.deadline();
        long expires = SipMessage.number(invite.header("Expires"));
        if (expires >= 0) {
            deadline = Math.min(deadline, timers.now() + Math.min(expires, 3_600) * SECOND);
        }
        Leg leg = new Leg(String.format("%016x", random.nextLong()), transaction);
        pending.put(transaction, leg);
        planner.accept(new Event.Offered(new Request(leg.id, callClass.name(), index, user(invite.uri()),
                invite.body(), deadline, place, callClass.width(), -1, false, false, false), leg));
    }

    private int classIndex(String named) {
        int fallback = 0;
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(named)) {
                return i;
            }
            if (classes.get(i).name().equals(config.callClass())) {
                fallback = i;
            }
        }
        return fallback;
    }

    /** The number called: the user of the address. */
    private static String user(String uri) {
        int start = uri.indexOf(':') + 1;
        int at = uri.indexOf('@');
        String user = at < start ? "" : uri.substring(start, at);
        int parameters = user.indexOf(';');
        return parameters < 0 ? user : user.substring(0, parameters);
    }

    private Integer place(String number) {
        if (number.isEmpty()) {
            return null;
        }
        for (int length = number.length(); length >= 0; length--) {
            Integer place = config.routes().get(number.substring(0, length));
            if (place != null) {
                return place;
            }
        }
        return null;
    }

    @Override
    public void cancelled(ServerTransaction invite) {
        Leg leg = pending.remove(invite);
        if (leg != null) {
            invite.respond(leg.tagged(invite.request().reply(487, "Request Terminated")));
            planner.accept(new Event.GivenUp(leg.id, leg));
        }
    }

    @Override
    public void acknowledged(SipMessage ack) {
        Leg leg = standing.get(Dialog.keyOf(ack));
        if (leg != null) {
            leg.dialog.acknowledged(ack);
            leg.releaseIfOver();
        }
    }

    private SipMessage tagged(SipMessage response) {
        return withTag(response, String.format("%08x", random.nextInt()));
    }

    private static SipMessage withTag(SipMessage response, String tag) {
        response.headers().replaceAll(header -> header.name().equalsIgnoreCase("To")
                || header.name().equalsIgnoreCase("t")
                ? new SipMessage.Header(header.name(), header.value() + ";tag=" + tag) : header);
        return response;
    }

    /** One call's way back to its caller. */
    private final class Leg implements Caller {
        private final String id;
        private final ServerTransaction invite;
        private final String tag = String.format("%08x", random.nextInt());
        private Dialog dialog;
        private int overCause = -1;

        Leg(String id, ServerTransaction invite) {
            this.id = id;
            this.invite = invite;
        }

        private SipMessage tagged(SipMessage response) {
            return withTag(response, tag);
        }

        @Override
        public void stands(byte[] description) {
            pending.remove(invite);
            SipMessage request = invite.request();
            SipMessage ok = tagged(request.reply(200, "OK")).with("Contact", contact()).with("Allow", ALLOW);
            request.values("Record-Route").forEach(route -> ok.with("Record-Route", route));
            if (description.length > 0) {
                ok.with("Content-Type", "application/sdp");
            }
            SipMessage whole = ok.withBody(description);
            dialog = new Dialog(request, tag, invite.peer(), timers);
            standing.put(dialog.key(), this);
            invite.respond(whole);
            dialog.accept(whole, invite.peer(), this::unheard);
        }

        private String contact() {
            String sentBy = invite.peer().sentBy();
            return "<sip:" + sentBy.substring(sentBy.indexOf(' ') + 1) + ">";
        }

        @Override
        public void refused(long wait) {
            pending.remove(invite);
            invite.respond(tagged(invite.request().reply(503, "Service Unavailable"))
                    .with("Retry-After", Long.toString(Math.max(1, (wait + SECOND - 1) / SECOND))));
        }

        @Override
        public void failed() {
            pending.remove(invite);
            invite.respond(tagged(invite.request().reply(480, "Temporarily Unavailable")));
        }

        @Override
        public void over(int cause) {
            overCause = cause;
            releaseIfOver();
        }

        /** A dialog ends with the program that holds its tags and sequence numbers. */
        @Override
        public boolean outlivesRestart() {
            return false;
        }

        /** A BYE waits for the ACK; guards against one that overtakes the answer at the caller. */
        private void releaseIfOver() {
            if (overCause >= 0 && dialog.confirmed()) {
                bye();
            }
        }

        private void bye() {
            forget();
            transactions.send(dialog.bye(Math.max(overCause, 0), "z9hG4bK" + id + tag), dialog.peer(),
                    answer -> metrics.count("sip.released"));
        }

        /** No ACK came: RFC 3261, 13.3.1.4 has the callee end the call. */
        private void unheard() {
            boolean stood = overCause < 0;
            overCause = stood ? NO_ACK : overCause;
            bye();
            if (stood) {
                planner.accept(new Event.CallerEnded(id, NO_ACK));
            }
        }

        private void forget() {
            dialog.end();
            standing.remove(dialog.key());
        }
    }
}
