package wingspread.sip;

/** The remote side of a hop: the source of a message and the destination of its responses. */
public interface Peer {
    /** Sends a message. Delivery is not guaranteed. */
    void send(SipMessage message);

    /** Whether the transport itself retransmits lost data, as TCP and TLS do. */
    boolean reliable();

    /** Returns the transport and address for the Via header of local requests, as in {@code UDP 127.0.0.1:5060}. */
    String sentBy();

    /**
     * Returns the peer to which later requests of a dialog are sent.
     *
     * @param contact the URI of the remote side's Contact header
     */
    Peer forContact(String contact);
}
