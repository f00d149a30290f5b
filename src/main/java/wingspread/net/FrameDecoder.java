package wingspread.net;

/**
 * Splits a byte stream into messages.
 *
 * @param <M> type of the messages
 */
@FunctionalInterface
public interface FrameDecoder<M> {
    /** Maximum length of a message in bytes. */
    int MAX_FRAME = 16 * 1024;

    /**
     * Result of one decoding step.
     *
     * @param message the message; null if none is complete yet
     * @param used number of bytes consumed
     */
    record Step<M>(M message, int used) { }

    /**
     * Decodes the next message.
     *
     * @param from index of the first byte
     * @param to index after the last byte
     * @throws BadInput if the bytes cannot be a valid message; the connection is closed
     */
    Step<M> next(byte[] bytes, int from, int to) throws BadInput;
}
