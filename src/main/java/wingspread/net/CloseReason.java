package wingspread.net;

/** Why a connection ended, as logged in the single line about its end. */
public enum CloseReason {
    /** The peer closed it normally. */
    PEER_CLOSED,
    /** The peer reset it, or the network failed. */
    RESET,
    /** A connect was refused. */
    REFUSED,
    /** A connect timed out. */
    CONNECT_TIMEOUT,
    /** The received bytes were not a valid message of the protocol. */
    BAD_INPUT,
    /** The peer does not read, and the limit of unsent bytes was exceeded. */
    BACKLOG,
    /** The limit of open connections was reached. */
    TOO_MANY,
    /** The peer did not send a complete message in time. */
    MUTE,
    /** It was idle, or had not sent a complete message, and was evicted in favour of a new connection. */
    MADE_ROOM,
    /** It was unresponsive and has been replaced, or was a surplus idle connection. */
    SILENT,
    /** It was idle and was replaced by a new connection that checks whether the peer is alive. */
    REPLACED,
    /** It was closed for sending, and the peer has not closed it in return within the time limit. */
    UNCONFIRMED,
    /** The exchange was removed from the directory. */
    GONE,
    /** This process is shutting down. */
    SHUTDOWN
}
