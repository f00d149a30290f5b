package wingspread.net;

/** Cuts messages out of a byte stream. */
@FunctionalInterface
public interface FrameDecoder<M> {
    /** The longest message that is taken, in bytes. */
    int MAX_FRAME = 16 * 1024;

    /** A message, or null while none is whole yet, and how many bytes are done with. */
    record Step<M>(M message, int used) { }

    /**
     * Looks at the bytes in hand.
     *
     * @throws BadInput where they can be no message; the connection is closed
     */
    Step<M> next(byte[] bytes, int from, int to) throws BadInput;
}
