package wingspread.sip;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import wingspread.turn.Deadlines;

/** The transaction layer (RFC 3261, section 17): server transactions, and client transactions other than INVITE. */
public final class TransactionLayer {
    /** The transaction user of RFC 3261. */
    public interface User {
        /** Called for a new request, other than an ACK or a CANCEL. */
        void request(ServerTransaction transaction);

        /** Called if an INVITE without a final response has been cancelled. */
        void cancelled(ServerTransaction invite);

        /** Called for an ACK that no INVITE transaction consumes: it acknowledges a 2xx response. */
        void acknowledged(SipMessage ack);
    }

    private static final String MAGIC_COOKIE = "z9hG4bK";

    private final Timers timers;
    private final User user;
    private final int maxServerTransactions;
    private final Map<String, ServerTransaction> serverTransactions = new HashMap<>();
    /** The requests of this side that await their final response. */
    private final Map<String, ClientTransaction> clientTransactions = new HashMap<>();

    /**
     * A request of this side that awaits its final response.
     *
     * @param retransmission the retransmission of the request; null over a reliable transport
     */
    private record ClientTransaction(
            Consumer<SipMessage> responseHandler, Deadlines.Timer timeout, Timers.Retransmission retransmission) {
        void stopTimers() {
            timeout.cancel();
            if (retransmission != null) {
                retransmission.stop();
            }
        }
    }

    /**
     * Creates a layer without transactions.
     *
     * @param user handles the requests
     * @param maxServerTransactions the maximum number of server transactions; further requests are rejected with a 503
     *     response
     */
    public TransactionLayer(Timers timers, User user, int maxServerTransactions) {
        this.timers = timers;
        this.user = user;
        this.maxServerTransactions = maxServerTransactions;
    }

    /** Handles a message received from a peer. */
    public void received(SipMessage message, Peer peer) {
        if (!message.isRequest()) {
            handleResponse(message);
            return;
        }
        ServerTransaction matching = serverTransactions.get(key(message,
                message.method().equals("ACK") ? "INVITE" : message.method()));
        if (!message.method().equals("ACK")) {
            if (matching != null) {
                matching.requestRetransmitted();
            } else {
                start(message, peer);
            }
        } else if (matching != null && matching.hasFinalResponse() && !matching.isAccepted()) {
            matching.acknowledged();
        } else {
            user.acknowledged(message);
        }
    }

    private void start(SipMessage message, Peer peer) {
        // Bounds the memory used in a flood of requests, as each transaction is kept for half a minute.
        if (serverTransactions.size() >= maxServerTransactions) {
            peer.send(message.reply(503, "Service Unavailable").with("Retry-After", "5"));
            return;
        }
        String key = key(message, message.method());
        ServerTransaction transaction = new ServerTransaction(message, peer, timers,
                () -> serverTransactions.remove(key));
        serverTransactions.put(key, transaction);
        if (!message.method().equals("CANCEL")) {
            user.request(transaction);
            return;
        }
        ServerTransaction invite = serverTransactions.get(key(message, "INVITE"));
        if (invite == null) {
            transaction.respond(message.reply(481, "Call/Transaction Does Not Exist"));
            return;
        }
        transaction.respond(message.reply(200, "OK"));
        // A CANCEL that crosses the final response has no effect on the INVITE.
        if (!invite.hasFinalResponse()) {
            user.cancelled(invite);
        }
    }

    /**
     * Returns the key of a server transaction: branch, sent-by and method (RFC 3261, section 17.2.3) or, without the
     * magic cookie in the branch, the fields that RFC 2543 compares.
     */
    private static String key(SipMessage message, String method) {
        String via = message.header("Via");
        String branch = SipMessage.parameter(via, "branch");
        if (branch != null && branch.startsWith(MAGIC_COOKIE)) {
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

    // Client transactions.

    /**
     * Sends a request other than INVITE and, over an unreliable transport, retransmits it until a final response is
     * received or the transaction times out.
     *
     * @param responseHandler receives the final response; not called after a timeout
     */
    public void send(SipMessage request, Peer peer, Consumer<SipMessage> responseHandler) {
        String key = clientKey(request);
        long until = timers.now() + Timers.TRANSACTION_TIMEOUT_MICROS;
        peer.send(request);
        ClientTransaction replaced = clientTransactions.put(key, new ClientTransaction(responseHandler,
                timers.at(until, () -> clientTransactions.remove(key)),
                peer.reliable() ? null : timers.retransmit(until, () -> peer.send(request))));
        if (replaced != null) {
            replaced.stopTimers();
        }
    }

    private static String clientKey(SipMessage message) {
        return message.cseqMethod() + ' ' + SipMessage.parameter(message.header("Via"), "branch");
    }

    private void handleResponse(SipMessage message) {
        ClientTransaction transaction = message.status() < 200 ? null
                : clientTransactions.remove(clientKey(message));
        if (transaction != null) {
            transaction.stopTimers();
            transaction.responseHandler().accept(message);
        }
    }
}
