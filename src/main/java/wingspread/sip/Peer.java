package wingspread.sip;

/** The other side of a hop: where a message came from, and where what answers it goes. */
public interface Peer {
    /** Sends a message; it may be lost. */
    void send(SipMessage message);

    /** Whether the transport resends by itself, as TCP and TLS do. */
    boolean reliable();

    /** A Via's transport and address for requests that start here, as in {@code UDP 127.0.0.1:5060}. */
    String sentBy();

    /** The peer to which later requests of a dialog go, given the other side's Contact. */
    Peer toward(String contact);
}
