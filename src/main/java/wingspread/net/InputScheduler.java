package wingspread.net;

import java.util.ArrayDeque;

/**
 * Decides how much input is processed in one turn of the event loop, and from which connections. Connections with
 * complete messages take their turns in round robin, so that one that sends at full speed does not delay the others;
 * each turn processes a bounded number of messages and bytes, so that what they become fits into the heap. What is left
 * waits for the next turn, after the answers of this one have been sent. Confined to the event loop; does no I/O.
 */
public final class InputScheduler {
    /** Limits the length of a turn, and so how late a message is that arrives meanwhile. */
    static final int MAX_MESSAGES_PER_TURN = 512;
    /** A message can become several times its size in memory while it is processed. */
    static final int MAX_BYTES_PER_TURN = 1 << 20;
    /** Limits what one connection may process in a turn, between two reads that may show that its peer has left. */
    static final int MAX_ROUNDS_PER_TURN = 32;
    /** Bytes buffered by all connections from which on none reads further messages ahead. */
    static final int MAX_BUFFERED_BYTES = 4 << 20;

    /** A connection that buffers input. */
    interface Source {
        /**
         * Processes the next message.
         *
         * @return its size in bytes; 0 if none is complete, or none may be processed now
         */
        int processNext();

        /** Returns how many messages the connection may process in one round. */
        int messagesPerRound();
    }

    private final Runnable turnRequest;
    private final ArrayDeque<Source> ready = new ArrayDeque<>();
    private long bufferedBytes;

    /**
     * Creates a scheduler without any input.
     *
     * @param turnRequest requests a turn, which is to call {@link #process}
     */
    InputScheduler(Runnable turnRequest) {
        this.turnRequest = turnRequest;
    }

    /** Adds a connection that has input to process. It must not be added again before it has returned 0. */
    void add(Source source) {
        ready.add(source);
        turnRequest.run();
    }

    /** Records a change of the number of bytes that a connection buffers. */
    void bufferedBytesChanged(int difference) {
        bufferedBytes += difference;
    }

    /** Whether connections may buffer more than the message that they are receiving. */
    boolean mayReadAhead() {
        return bufferedBytes < MAX_BUFFERED_BYTES;
    }

    /** Whether input is left for the next turn. */
    boolean hasInput() {
        return !ready.isEmpty();
    }

    /** Processes the input of one turn. */
    void process() {
        int messages = 0;
        int bytes = 0;
        int round = 0;
        int leftInRound = ready.size();
        while (!ready.isEmpty() && messages < MAX_MESSAGES_PER_TURN && bytes < MAX_BYTES_PER_TURN) {
            if (leftInRound == 0) {
                leftInRound = ready.size();
                round++;
            }
            if (round == MAX_ROUNDS_PER_TURN) {
                return;
            }
            Source source = ready.remove();
            leftInRound--;
            int size = 1;
            for (int i = 0; i < source.messagesPerRound() && size > 0; i++) {
                size = source.processNext();
                messages++;
                bytes += size;
            }
            if (size > 0) {
                ready.add(source);
            }
        }
    }
}
