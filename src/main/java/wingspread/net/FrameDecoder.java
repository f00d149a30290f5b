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
     * @param requiredBytes number of bytes, after the consumed ones, without which no message is complete; 0 if unknown
     */
    record DecodeResult<M>(M message, int consumedBytes, int requiredBytes) {
        /** Creates a result without a known number of required bytes. */
        public DecodeResult(M message, int consumedBytes) {
            this(message, consumedBytes, 0);
        }
    }

    /**
     * Decodes the next message.
     *
     * @param from index of the first byte
     * @param to index after the last byte
     * @throws InvalidInputException if the bytes cannot be a valid message; the connection is closed
     */
    DecodeResult<M> next(byte[] bytes, int from, int to) throws InvalidInputException;

    /**
     * Decodes the next message like {@link #next(byte[], int, int)}, where an earlier call has found no complete
     * message in the first of these bytes. A decoder that need not examine those again takes a time proportional to the
     * length of a message that arrives in small pieces.
     *
     * @param examinedTo index after the last byte that was examined before
     */
    default DecodeResult<M> next(byte[] bytes, int from, int examinedTo, int to) throws InvalidInputException {
        return next(bytes, from, to);
    }
}
