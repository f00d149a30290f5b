package wingspread.sip;

import java.util.List;
import wingspread.turn.Deadlines;

/** A dialog (RFC 3261, section 12) on the side of the callee, identified by its Call-ID and both tags. */
public final class Dialog {
    private final String callId;
    private final String localTag;
    private final String remoteTag;
    private final String localAddress;
    private final String remoteAddress;
    private final String remoteTarget;
    private final List<String> routeSet;
    private final long inviteCseq;
    private final Peer peer;
    private final Timers timers;
    private long remoteCseq;
    private long localCseq;
    private boolean confirmed;
    /** The retransmission of the 2xx response; null before it is sent. */
    private Timers.Retransmission retransmission;
    /** Expires if no ACK is received; null before the 2xx response is sent. */
    private Deadlines.Timer ackTimeout;

    /**
     * Creates the dialog that a 2xx response establishes.
     *
     * @param invite the INVITE that the response answers
     * @param localTag the tag that the response adds to the To header
     * @param peer the peer from which the INVITE was received
     */
    public Dialog(SipMessage invite, String localTag, Peer peer, Timers timers) {
        this.callId = invite.callId();
        this.localTag = localTag;
        this.remoteTag = tag(invite.header("From"));
        this.localAddress = invite.header("To") + ";tag=" + localTag;
        this.remoteAddress = invite.header("From");
        String contact = uri(invite.header("Contact"));
        this.remoteTarget = contact.isEmpty() ? uri(remoteAddress) : contact;
        this.inviteCseq = invite.cseq();
        this.remoteCseq = invite.cseq();
        this.peer = peer.forContact(remoteTarget);
        this.timers = timers;
        this.routeSet = invite.values("Record-Route");
    }

    /** Returns the tag of a From or To header, or the empty string if there is none. */
    public static String tag(String address) {
        String tag = SipMessage.parameter(address, "tag");
        return tag == null ? "" : tag;
    }

    private static String uri(String address) {
        int open = address.indexOf('<');
        int close = address.indexOf('>', open + 1);
        if (open >= 0 && close > open) {
            return address.substring(open + 1, close);
        }
        int end = address.indexOf(';');
        return (end < 0 ? address : address.substring(0, end)).strip();
    }

    /** Returns the key of this dialog in a table of dialogs. */
    public String key() {
        return key(callId, localTag, remoteTag);
    }

    /** Returns the key of the dialog to which a request from the remote side belongs. */
    public static String keyOf(SipMessage request) {
        return key(request.callId(), tag(request.header("To")), tag(request.header("From")));
    }

    private static String key(String callId, String localTag, String remoteTag) {
        return callId + ' ' + localTag + ' ' + remoteTag;
    }

    /**
     * Retransmits the 2xx response until its ACK is received, over reliable transports too (RFC 3261, section
     * 13.3.1.4). The server transaction sends it first.
     *
     * @param invitePeer the peer from which the INVITE was received
     * @param onAckTimeout run if no ACK is received within 64 * T1
     */
    public void accept(SipMessage ok, Peer invitePeer, Runnable onAckTimeout) {
        long until = timers.now() + Timers.TRANSACTION_TIMEOUT_MICROS;
        retransmission = timers.retransmit(until, () -> invitePeer.send(ok));
        ackTimeout = timers.at(until, onAckTimeout);
    }

    private void stopAwaitingAck() {
        retransmission.stop();
        ackTimeout.cancel();
    }

    /** Handles an ACK that belongs to this dialog; only one with the CSeq number of the INVITE confirms it. */
    public void acknowledged(SipMessage ack) {
        if (ack.cseq() == inviteCseq) {
            confirmed = true;
            stopAwaitingAck();
        }
    }

    /**
     * Whether a request from the remote side is in order, and if so, records its CSeq number. A request with a lower
     * number than the one before is out of order.
     */
    public boolean acceptCseq(SipMessage request) {
        if (request.cseq() < remoteCseq) {
            return false;
        }
        remoteCseq = request.cseq();
        return true;
    }

    /** Whether the 2xx response is acknowledged. No BYE may be sent before that (RFC 3261, section 15). */
    public boolean confirmed() {
        return confirmed;
    }

    /** Marks the dialog as ended, which stops the retransmissions of the 2xx response. */
    public void end() {
        stopAwaitingAck();
    }

    /** Returns the peer to which requests of this dialog are sent. */
    public Peer peer() {
        return peer;
    }

    /**
     * Creates a BYE from the local side, with the next CSeq number.
     *
     * @param cause the Q.850 cause of the Reason header
     * @param branch the branch parameter of the Via header
     */
    public SipMessage bye(int cause, String branch) {
        SipMessage bye = SipMessage.request("BYE", remoteTarget)
                .with("Via", "SIP/2.0/" + peer.sentBy() + ";branch=" + branch)
                .with("Max-Forwards", "70")
                .with("From", localAddress)
                .with("To", remoteAddress)
                .with("Call-ID", callId)
                .with("CSeq", ++localCseq + " BYE");
        routeSet.forEach(route -> bye.with("Route", route));
        return bye.with("Reason", "Q.850;cause=" + cause);
    }
}
