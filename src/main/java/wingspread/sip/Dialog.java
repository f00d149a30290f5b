package wingspread.sip;

import java.util.List;

/** A dialog of RFC 3261, 12, on the side that was called: known by Call-ID and both tags. */
public final class Dialog {
    private final String callId;
    private final String localTag;
    private final String remoteTag;
    private final String local;
    private final String remote;
    private final String target;
    private final List<String> routes;
    private final long inviteCseq;
    private final Peer peer;
    private final Timers timers;
    private long remoteCseq;
    private long localCseq;
    private boolean confirmed;
    private boolean over;

    /** The dialog that a 2xx with this tag to this INVITE makes. */
    public Dialog(SipMessage invite, String localTag, Peer peer, Timers timers) {
        this.callId = invite.callId();
        this.localTag = localTag;
        this.remoteTag = tag(invite.header("From"));
        this.local = invite.header("To") + ";tag=" + localTag;
        this.remote = invite.header("From");
        String contact = uri(invite.header("Contact"));
        this.target = contact.isEmpty() ? uri(remote) : contact;
        this.inviteCseq = invite.cseq();
        this.remoteCseq = invite.cseq();
        this.peer = peer.toward(target);
        this.timers = timers;
        this.routes = invite.values("Record-Route");
    }

    /** The tag of a From or To, empty for none. */
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

    /** What the table of dialogs knows this one by. */
    public String key() {
        return key(callId, localTag, remoteTag);
    }

    /** The key of the dialog that a request from the other side belongs to. */
    public static String keyOf(SipMessage request) {
        return key(request.callId(), tag(request.header("To")), tag(request.header("From")));
    }

    private static String key(String callId, String localTag, String remoteTag) {
        return callId + ' ' + localTag + ' ' + remoteTag;
    }

    /**
     * Says the 2xx again until its ACK comes, over any transport (RFC 3261, 13.3.1.4).
     *
     * @param unheard what is done where no ACK comes
     */
    public void accept(SipMessage ok, Peer back, Runnable unheard) {
        long until = timers.now() + Timers.PURSUED;
        timers.resend(Timers.T2, until, () -> {
            boolean wanted = !confirmed && !over;
            if (wanted) {
                back.send(ok);
            }
            return wanted;
        });
        timers.at(until, () -> {
            if (!confirmed && !over) {
                unheard.run();
            }
        });
    }

    /** An ACK of this dialog. */
    public void acknowledged(SipMessage ack) {
        confirmed |= ack.cseq() == inviteCseq;
    }

    /** Whether a request comes in order; one with a lower number than the last is out of order. */
    public boolean inOrder(SipMessage request) {
        if (request.cseq() < remoteCseq) {
            return false;
        }
        remoteCseq = request.cseq();
        return true;
    }

    /** Whether the 2xx is acknowledged; before that, no BYE may be sent (RFC 3261, 15). */
    public boolean confirmed() {
        return confirmed;
    }

    /** Marks the end: nothing more is said again. */
    public void end() {
        over = true;
    }

    public Peer peer() {
        return peer;
    }

    /** The BYE that ends this dialog from here. */
    public SipMessage bye(int cause, String branch) {
        SipMessage bye = SipMessage.request("BYE", target)
                .with("Via", "SIP/2.0/" + peer.sentBy() + ";branch=" + branch)
                .with("Max-Forwards", "70")
                .with("From", local)
                .with("To", remote)
                .with("Call-ID", callId)
                .with("CSeq", ++localCseq + " BYE");
        routes.forEach(route -> bye.with("Route", route));
        return bye.with("Reason", "Q.850;cause=" + cause);
    }
}
