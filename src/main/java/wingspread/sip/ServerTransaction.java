package wingspread.sip;

import wingspread.turn.Deadlines;

/**
 * A server transaction (RFC 3261, section 17.2) with the Accepted state of RFC 6026: it absorbs retransmitted requests
 * and retransmits its final response until that is acknowledged.
 */
public final class ServerTransaction {
    private enum State { PROCEEDING, ACCEPTED, COMPLETED, CONFIRMED, TERMINATED }

    private final SipMessage request;
    private final Peer peer;
    private final Timers timers;
    private final Runnable onTerminated;
    private State state = State.PROCEEDING;
    /** The last response sent; null before the first. */
    private SipMessage lastResponse;
    /** Terminates the transaction; null before the final response. */
    private Deadlines.Timer timeout;
    /** The retransmission of the final response; null if there is none. */
    private Timers.Retransmission retransmission;

    ServerTransaction(SipMessage request, Peer peer, Timers timers, Runnable onTerminated) {
        this.request = request;
        this.peer = peer;
        this.timers = timers;
        this.onTerminated = onTerminated;
    }

    /** Returns the request that created this transaction. */
    public SipMessage request() {
        return request;
    }

    /** Returns the peer from which the request was received. */
    public Peer peer() {
        return peer;
    }

    public boolean isInvite() {
        return request.method().equals("INVITE");
    }

    /** Whether a final response has been sent. */
    public boolean hasFinalResponse() {
        return state != State.PROCEEDING;
    }

    /** Whether the final response was a 2xx, which is retransmitted by the dialog. */
    boolean isAccepted() {
        return state == State.ACCEPTED;
    }

    /** Sends a response. Does nothing once a final response has been sent. */
    public void respond(SipMessage response) {
        // Prevents a second final response.
        if (hasFinalResponse()) {
            return;
        }
        lastResponse = response;
        peer.send(response);
        if (response.status() < 200) {
            return;
        }
        state = isInvite() && response.status() < 300 ? State.ACCEPTED : State.COMPLETED;
        long until = timers.now() + Timers.TRANSACTION_TIMEOUT_MICROS;
        if (!isInvite() && peer.reliable()) {
            terminateAt(timers.now());
            return;
        }
        terminateAt(until);
        if (isInvite() && state == State.COMPLETED && !peer.reliable()) {
            retransmission = timers.retransmit(until, () -> peer.send(lastResponse));
        }
    }

    /**
     * Handles a retransmission of the request. In the Accepted state nothing is sent here, as the dialog retransmits
     * the response.
     */
    void requestRetransmitted() {
        if (lastResponse != null && (state == State.PROCEEDING || state == State.COMPLETED)) {
            peer.send(lastResponse);
        }
    }

    /** Handles an ACK with the branch of this transaction, which acknowledges a final response other than a 2xx. */
    void acknowledged() {
        if (state == State.COMPLETED && isInvite()) {
            state = State.CONFIRMED;
            stopTimers();
            terminateAt(peer.reliable() ? timers.now() : timers.now() + Timers.T4_MICROS);
        }
    }

    private void terminateAt(long time) {
        timeout = timers.at(time, this::terminate);
    }

    private void stopTimers() {
        timeout.cancel();
        if (retransmission != null) {
            retransmission.stop();
        }
    }

    private void terminate() {
        state = State.TERMINATED;
        stopTimers();
        onTerminated.run();
    }
}
