package wingspread.sip;

/**
 * A server transaction of RFC 3261, 17.2, with the Accepted state of RFC 6026: it takes up retransmissions and
 * says its final answer again until that is acknowledged.
 */
public final class ServerTransaction {
    private enum State { PROCEEDING, ACCEPTED, COMPLETED, CONFIRMED, TERMINATED }

    private final SipMessage request;
    private final Peer peer;
    private final Timers timers;
    private final Runnable forget;
    private State state = State.PROCEEDING;
    private SipMessage last;

    ServerTransaction(SipMessage request, Peer peer, Timers timers, Runnable forget) {
        this.request = request;
        this.peer = peer;
        this.timers = timers;
        this.forget = forget;
    }

    public SipMessage request() {
        return request;
    }

    public Peer peer() {
        return peer;
    }

    public boolean isInvite() {
        return request.method().equals("INVITE");
    }

    /** Whether a final answer has been given. */
    public boolean answered() {
        return state != State.PROCEEDING;
    }

    /** Whether the final answer was a 2xx, which the dialog says again. */
    boolean accepted() {
        return state == State.ACCEPTED;
    }

    /** Sends a response; after a final one nothing more is said. */
    public void respond(SipMessage response) {
        // Guards against a second final answer.
        if (answered()) {
            return;
        }
        last = response;
        peer.send(response);
        if (response.status() < 200) {
            return;
        }
        long until = timers.now() + Timers.PURSUED;
        if (!isInvite()) {
            state = State.COMPLETED;
            timers.at(peer.reliable() ? timers.now() : until, this::terminate);
        } else if (response.status() < 300) {
            state = State.ACCEPTED;
            timers.at(until, this::terminate);
        } else {
            state = State.COMPLETED;
            if (!peer.reliable()) {
                timers.resend(Timers.T2, until, this::sayAgain);
            }
            timers.at(until, this::terminate);
        }
    }

    private boolean sayAgain() {
        if (state != State.COMPLETED) {
            return false;
        }
        peer.send(last);
        return true;
    }

    /** The request has come again. In the Accepted state the dialog says the answer again, not this. */
    void repeated() {
        if (last != null && (state == State.PROCEEDING || state == State.COMPLETED)) {
            peer.send(last);
        }
    }

    /** An ACK of this branch: of an answer other than 2xx. */
    void acknowledged() {
        if (state == State.COMPLETED && isInvite()) {
            state = State.CONFIRMED;
            timers.at(peer.reliable() ? timers.now() : timers.now() + Timers.T4, this::terminate);
        }
    }

    private void terminate() {
        if (state != State.TERMINATED) {
            state = State.TERMINATED;
            forget.run();
        }
    }
}
