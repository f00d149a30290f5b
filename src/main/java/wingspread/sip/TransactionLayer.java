package wingspread.sip;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The transactions of RFC 3261, 17: those that others start here, and non-INVITE ones that start here. */
public final class TransactionLayer {
    /** What RFC 3261 calls the transaction user. */
    public interface User {
        /** A new request, other than an ACK or a CANCEL that meets its INVITE. */
        void request(ServerTransaction transaction);

        /** The INVITE of a transaction without a final answer is cancelled. */
        void cancelled(ServerTransaction invite);

        /** An ACK that is no transaction's: it acknowledges a 2xx. */
        void acknowledged(SipMessage ack);
    }

    private static final String MAGIC = "z9hG4bK";

    private final Timers timers;
    private final User user;
    private final int most;
    private final Map<String, ServerTransaction> servers = new HashMap<>();
    /** Who hears the final answers of requests of ours. */
    private final Map<String, Consumer<SipMessage>> clients = new HashMap<>();

    /**
     * A layer.
     *
     * @param most transactions at a time; what is beyond is told to come back later
     */
    public TransactionLayer(Timers timers, User user, int most) {
        this.timers = timers;
        this.user = user;
        this.most = most;
    }

    /** Takes a message. */
    public void received(SipMessage message, Peer peer) {
        if (!message.isRequest()) {
            response(message);
            return;
        }
        ServerTransaction known = servers.get(key(message, message.method().equals("ACK") ? "INVITE"
                : message.method()));
        if (!message.method().equals("ACK")) {
            if (known != null) {
                known.repeated();
            } else {
                start(message, peer);
            }
        } else if (known != null && known.answered() && !known.accepted()) {
            known.acknowledged();
        } else {
            user.acknowledged(message);
        }
    }

    private void start(SipMessage message, Peer peer) {
        // Guards against a flood: without a bound, half a minute's transactions would fill the memory.
        if (servers.size() >= most) {
            peer.send(message.reply(503, "Service Unavailable").with("Retry-After", "5"));
            return;
        }
        String key = key(message, message.method());
        ServerTransaction transaction = new ServerTransaction(message, peer, timers, () -> servers.remove(key));
        servers.put(key, transaction);
        if (!message.method().equals("CANCEL")) {
            user.request(transaction);
            return;
        }
        ServerTransaction invite = servers.get(key(message, "INVITE"));
        if (invite == null) {
            transaction.respond(message.reply(481, "Call/Transaction Does Not Exist"));
            return;
        }
        transaction.respond(message.reply(200, "OK"));
        // A CANCEL that crosses the final answer changes nothing: that answer is the one.
        if (!invite.answered()) {
            user.cancelled(invite);
        }
    }

    /** RFC 3261, 17.2.3: branch, sent-by and method; without the magic cookie what RFC 2543 compared. */
    private static String key(SipMessage message, String method) {
        String via = message.header("Via");
        String branch = SipMessage.parameter(via, "branch");
        if (branch != null && branch.startsWith(MAGIC)) {
            return method + ' ' + branch + ' ' + sentBy(via);
        }
        return method + ' ' + message.uri() + ' ' + message.callId() + ' ' + message.cseq() + ' '
                + SipMessage.parameter(message.header("From"), "tag") + ' ' + sentBy(via);
    }

    private static String sentBy(String via) {
        int end = via.indexOf(';');
        String head = (end < 0 ? via : via.substring(0, end)).strip();
        return head.substring(head.lastIndexOf(' ') + 1);
    }

    // Requests of ours.

    /** Sends a request other than INVITE, again until it is answered or its time is over. */
    public void send(SipMessage request, Peer peer, Consumer<SipMessage> heard) {
        String key = clientKey(request);
        clients.put(key, heard);
        peer.send(request);
        long until = timers.now() + Timers.PURSUED;
        if (!peer.reliable()) {
            timers.resend(Timers.T2, until, () -> {
                boolean open = clients.get(key) == heard;
                if (open) {
                    peer.send(request);
                }
                return open;
            });
        }
        timers.at(until, () -> clients.remove(key, heard));
    }

    private static String clientKey(SipMessage message) {
        return message.cseqMethod() + ' ' + SipMessage.parameter(message.header("Via"), "branch");
    }

    private void response(SipMessage message) {
        Consumer<SipMessage> heard = message.status() < 200 ? null : clients.remove(clientKey(message));
        if (heard != null) {
            heard.accept(message);
        }
    }
}
