package wingspread.net;

/** Why a connection ended, as its one log line says. */
public enum CloseReason {
    /** The other side closed it in good order. */
    PEER_CLOSED,
    /** The other side reset it, or the network failed. */
    RESET,
    /** A connect was refused. */
    REFUSED,
    /** A connect did not come up in time. */
    CONNECT_TIMEOUT,
    /** What came in was no message of its protocol. */
    BAD_INPUT,
    /** The other side does not read what is sent to it. */
    BACKLOG,
    /** There are as many connections as are allowed. */
    TOO_MANY,
    /** It never sent a whole message. */
    MUTE,
    /** It was idle, or had sent no whole message, and a new one needed its place. */
    MADE_ROOM,
    /** Another connection has taken over from one that had fallen silent. */
    SILENT,
    /** It was idle, and a fresh one was opened to see whether the other side still speaks. */
    REPLACED,
    /** The exchange has left the directory. */
    GONE,
    /** This program is ending. */
    SHUTDOWN
}
