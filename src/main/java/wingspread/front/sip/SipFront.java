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
 * The front end for SIP callers: a user agent server (RFC 3261) in front of the planner. An INVITE becomes a request to
 * the planner, and the planner's result becomes the one final response; all decisions are the planner's.
 */
public final class SipFront implements TransactionLayer.User {
    private static final Logger LOG = LoggerFactory.getLogger(SipFront.class);
    private static final String ALLOW = "INVITE, ACK, CANCEL, BYE, OPTIONS";
    private static final int MAX_TRANSACTIONS = 4_096;
    private static final long SECOND_MICROS = 1_000_000;
    private static final int NO_ACK_CAUSE = 102;

    private final Timers timers;
    private final SipConfig config;
    private final List<CallClass> classes;
    private final Consumer<Event> planner;
    private final Metrics metrics;
    private final SplittableRandom random;
    private final TransactionLayer transactions;
    private final Map<ServerTransaction, Leg> pending = new HashMap<>();
    private final Map<String, Leg> establishedLegs = new HashMap<>();
    /** Recent INVITEs, keyed by Call-ID, From tag and CSeq, to detect one that arrives over two paths. */
    private final Map<String, ServerTransaction> recentInvites = new HashMap<>();

    /**
     * Creates a front end without calls.
     *
     * @param classes the call classes; the position of a class is its index
     * @param seed seed of the call ids and the tags
     * @param planner receives the events
     */
    public SipFront(Timers timers, SipConfig config, List<CallClass> classes, long seed, Consumer<Event> planner,
            Metrics metrics) {
        this.timers = timers;
        this.config = config;
        this.classes = classes;
        this.planner = planner;
        this.metrics = metrics;
        this.random = new SplittableRandom(seed);
        this.transactions = new TransactionLayer(timers, this, MAX_TRANSACTIONS);
    }

    /** Handles a message received on a transport. */
    public void received(SipMessage message, Peer peer) {
        metrics.count("sip.taken." + (message.isRequest() ? message.method() : message.status() / 100 + "xx"));
        if (!message.isRequest()) {
            transactions.received(message, peer);
            return;
        }
        boolean complete = !message.header("Via").isEmpty() && !message.callId().isEmpty() && message.cseq() >= 0
                && !message.header("From").isEmpty() && !message.header("To").isEmpty()
                && message.cseqMethod().equals(message.method());
        // Without these headers a request cannot be matched to a transaction.
        if (!complete) {
            LOG.info("rejected a {} without its mandatory headers", message.method());
            if (!message.method().equals("ACK") && !message.header("Via").isEmpty()) {
                peer.send(message.reply(400, "Bad Request"));
            }
            return;
        }
        transactions.received(message, peer);
    }

    /** Cancels the pending set-ups of a closed connection, as they can no longer be answered. */
    public void peerDisconnected(Peer peer) {
        for (Leg leg : List.copyOf(pending.values())) {
            if (leg.invite.peer() == peer) {
                pending.remove(leg.invite);
                planner.accept(new Event.CallerAbandoned(leg.id, leg));
            }
        }
    }

    /** Whether a pending set-up or an established call was received from this peer. */
    boolean hasCalls(Peer peer) {
        return Stream.concat(pending.values().stream(), establishedLegs.values().stream())
                .anyMatch(leg -> leg.invite.peer() == peer);
    }

    /** Returns the number of established calls and pending set-ups of this front end. */
    public int openCalls() {
        return pending.size() + establishedLegs.size();
    }

    // Callbacks of the transaction layer.

    @Override
    public void request(ServerTransaction transaction) {
        SipMessage request = transaction.request();
        if (!Dialog.tag(request.header("To")).isEmpty()) {
            handleInDialog(transaction);
            return;
        }
        switch (request.method()) {
            case "INVITE" -> handleInvite(transaction);
            case "OPTIONS" -> transaction.respond(tagged(request.reply(200, "OK")).with("Allow", ALLOW));
            case "BYE" -> transaction.respond(request.reply(481, "Call/Transaction Does Not Exist"));
            default -> transaction.respond(tagged(request.reply(405, "Method Not Allowed")).with("Allow", ALLOW));
        }
    }

    private void handleInDialog(ServerTransaction transaction) {
        SipMessage request = transaction.request();
        Leg leg = establishedLegs.get(Dialog.keyOf(request));
        if (leg == null) {
            transaction.respond(request.reply(481, "Call/Transaction Does Not Exist"));
        } else if (!leg.dialog.acceptCseq(request)) {
            transaction.respond(request.reply(500, "Server Internal Error"));
        } else {
            switch (request.method()) {
                case "BYE" -> {
                    transaction.respond(request.reply(200, "OK"));
                    leg.endDialog();
                    planner.accept(new Event.CallerReleased(leg.id, cause(request)));
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
        return value < 0 || value > 127 ? Planner.CAUSE_NORMAL_CLEARING : (int) value;
    }

    private void handleInvite(ServerTransaction transaction) {
        SipMessage invite = transaction.request();
        String mergeKey = invite.callId() + ' ' + Dialog.tag(invite.header("From")) + ' ' + invite.cseq();
        Integer destination = routeFor(userPart(invite.uri()));
        if (!invite.uri().startsWith("sip:") && !invite.uri().startsWith("sips:")) {
            transaction.respond(tagged(invite.reply(416, "Unsupported URI Scheme")));
        } else if (!invite.header("Require").isEmpty()) {
            transaction.respond(tagged(invite.reply(420, "Bad Extension"))
                    .with("Unsupported", invite.header("Require")));
        } else if (recentInvites.containsKey(mergeKey)) {
            transaction.respond(tagged(invite.reply(482, "Loop Detected")));
        } else if (recentInvites.size() >= MAX_TRANSACTIONS) {
            // Bounds the memory used in a flood of INVITEs, as each of them is kept for half a minute.
            transaction.respond(tagged(invite.reply(503, "Service Unavailable")).with("Retry-After", "5"));
        } else if (destination == null) {
            transaction.respond(tagged(invite.reply(404, "Not Found")));
        } else {
            recentInvites.put(mergeKey, transaction);
            timers.at(timers.now() + Timers.TRANSACTION_TIMEOUT_MICROS, () -> recentInvites.remove(mergeKey));
            transaction.respond(invite.reply(100, "Trying"));
            offer(transaction, destination);
        }
    }

    private void offer(ServerTransaction transaction, int destination) {
        SipMessage invite = transaction.request();
        int index = classIndex(invite.header("X-Tier"));
        CallClass callClass = classes.get(index);
        long deadline = timers.now() + callClass.deadline();
        long expires = SipMessage.number(invite.header("Expires"));
        if (expires >= 0) {
            deadline = Math.min(deadline, timers.now() + Math.min(expires, 3_600) * SECOND_MICROS);
        }
        Leg leg = new Leg(String.format("%016x", random.nextLong()), transaction);
        pending.put(transaction, leg);
        planner.accept(new Event.Offered(new Request(leg.id, callClass.name(), index, userPart(invite.uri()),
                invite.body(), deadline, destination, callClass.width(), -1, false, false, false), leg));
    }

    private int classIndex(String className) {
        int fallback = 0;
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(className)) {
                return i;
            }
            if (classes.get(i).name().equals(config.callClass())) {
                fallback = i;
            }
        }
        return fallback;
    }

    /** Returns the called number, which is the user part of the URI without its parameters. */
    private static String userPart(String uri) {
        int start = uri.indexOf(':') + 1;
        int atSign = uri.indexOf('@');
        String user = atSign < start ? "" : uri.substring(start, atSign);
        int parametersAt = user.indexOf(';');
        return parametersAt < 0 ? user : user.substring(0, parametersAt);
    }

    private Integer routeFor(String number) {
        if (number.isEmpty()) {
            return null;
        }
        for (int length = number.length(); length >= 0; length--) {
            Integer destination = config.routes().get(number.substring(0, length));
            if (destination != null) {
                return destination;
            }
        }
        return null;
    }

    @Override
    public void cancelled(ServerTransaction invite) {
        Leg leg = pending.remove(invite);
        if (leg != null) {
            invite.respond(leg.tagged(invite.request().reply(487, "Request Terminated")));
            planner.accept(new Event.CallerAbandoned(leg.id, leg));
        }
    }

    @Override
    public void acknowledged(SipMessage ack) {
        Leg leg = establishedLegs.get(Dialog.keyOf(ack));
        if (leg != null) {
            leg.dialog.acknowledged(ack);
            leg.sendByeIfReleased();
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

    /** The reply channel of one call to its caller. */
    private final class Leg implements Caller {
        private final String id;
        private final ServerTransaction invite;
        private final String tag = String.format("%08x", random.nextInt());
        private Dialog dialog;
        private int releaseCause = -1;

        Leg(String id, ServerTransaction invite) {
            this.id = id;
            this.invite = invite;
        }

        private SipMessage tagged(SipMessage response) {
            return withTag(response, tag);
        }

        @Override
        public void onEstablished(byte[] description) {
            pending.remove(invite);
            SipMessage request = invite.request();
            SipMessage ok = tagged(request.reply(200, "OK")).with("Contact", contact()).with("Allow", ALLOW);
            request.values("Record-Route").forEach(route -> ok.with("Record-Route", route));
            if (description.length > 0) {
                ok.with("Content-Type", "application/sdp");
            }
            SipMessage response = ok.withBody(description);
            dialog = new Dialog(request, tag, invite.peer(), timers);
            establishedLegs.put(dialog.key(), this);
            invite.respond(response);
            dialog.accept(response, invite.peer(), this::ackTimedOut);
        }

        private String contact() {
            String sentBy = invite.peer().sentBy();
            return "<sip:" + sentBy.substring(sentBy.indexOf(' ') + 1) + ">";
        }

        @Override
        public void onRefused(long wait) {
            pending.remove(invite);
            invite.respond(tagged(invite.request().reply(503, "Service Unavailable"))
                    .with("Retry-After", Long.toString(Math.max(1, (wait + SECOND_MICROS - 1) / SECOND_MICROS))));
        }

        @Override
        public void onFailed() {
            pending.remove(invite);
            invite.respond(tagged(invite.request().reply(480, "Temporarily Unavailable")));
        }

        @Override
        public void onEnded(int cause) {
            releaseCause = cause;
            sendByeIfReleased();
        }

        /** A dialog ends with the process that holds its tags and sequence numbers. */
        @Override
        public boolean survivesRestart() {
            return false;
        }

        /** Sends the BYE of a released call once the ACK has arrived, so that it cannot overtake the 200 response. */
        private void sendByeIfReleased() {
            if (releaseCause >= 0 && dialog.confirmed()) {
                sendBye();
            }
        }

        private void sendBye() {
            endDialog();
            transactions.send(dialog.bye(Math.max(releaseCause, 0), "z9hG4bK" + id + tag), dialog.peer(),
                    answer -> metrics.count("sip.released"));
        }

        /** Ends a call for which no ACK arrived, as RFC 3261, section 13.3.1.4, requires of the callee. */
        private void ackTimedOut() {
            boolean wasEstablished = releaseCause < 0;
            releaseCause = wasEstablished ? NO_ACK_CAUSE : releaseCause;
            sendBye();
            if (wasEstablished) {
                planner.accept(new Event.CallerReleased(id, NO_ACK_CAUSE));
            }
        }

        private void endDialog() {
            dialog.end();
            establishedLegs.remove(dialog.key());
        }
    }
}
