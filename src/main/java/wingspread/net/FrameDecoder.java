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
     * @param consumedBytes number of bytes consumed
     */
    record DecodeResult<M>(M message, int consumedBytes) { }

    /**
     * Decodes the next message.
     *
     * @param from index of the first byte
     * @param to index after the last byte
     * @throws InvalidInputException if the bytes cannot be a valid message; the connection is closed
     */
    DecodeResult<M> next(byte[] bytes, int from, int to) throws InvalidInputException;
}
