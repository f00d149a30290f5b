package wingspread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class InputSchedulerTest {
    private int turnsRequested;
    private final InputScheduler scheduler = new InputScheduler(() -> turnsRequested++);
    private final List<String> processed = new ArrayList<>();

    private final class Connection implements InputScheduler.Source {
        private final String name;
        private final int messageBytes;
        private int waiting;

        Connection(String name, int messages, int messageBytes) {
            this.name = name;
            this.waiting = messages;
            this.messageBytes = messageBytes;
        }

        @Override
        public int processNext() {
            if (waiting == 0) {
                return 0;
            }
            waiting--;
            processed.add(name);
            return messageBytes;
        }

        @Override
        public int messagesPerRound() {
            return 2;
        }
    }

    /** Guards against answers that come late: a usual caller's request waited for all that a bad client had sent. */
    @Test
    void connectionsTakeTurnsWhileOneSendsAtFullSpeed() {
        scheduler.add(new Connection("flood", 100_000, 30));
        scheduler.add(new Connection("usual", 1, 130));
        assertEquals(2, turnsRequested);
        scheduler.process();
        assertEquals(List.of("flood", "flood", "usual"), processed.subList(0, 3));
    }

    @Test
    void turnEndsAtItsLimitOfMessagesAndTheRestIsProcessedLater() {
        for (int i = 0; i < InputScheduler.MAX_MESSAGES_PER_TURN; i++) {
            scheduler.add(new Connection("flood " + i, 3, 30));
        }
        scheduler.process();
        assertEquals(InputScheduler.MAX_MESSAGES_PER_TURN, processed.size());
        assertTrue(scheduler.hasInput());
        while (scheduler.hasInput()) {
            scheduler.process();
        }
        assertEquals(3 * InputScheduler.MAX_MESSAGES_PER_TURN, processed.size());
    }

    /** Guards against requests that are sent on after their client has left: the end is read between two turns. */
    @Test
    void oneConnectionProcessesOnlyItsRoundsInATurn() {
        Connection flood = new Connection("flood", 10_000, 30);
        scheduler.add(flood);
        scheduler.process();
        assertEquals(InputScheduler.MAX_ROUNDS_PER_TURN * flood.messagesPerRound(), processed.size());
        assertTrue(scheduler.hasInput());
    }

    @Test
    void turnEndsAtItsLimitOfBytes() {
        for (int i = 0; i < 10; i++) {
            scheduler.add(new Connection("large", 1_000, FrameDecoder.MAX_FRAME));
        }
        scheduler.process();
        assertEquals(InputScheduler.MAX_BYTES_PER_TURN / FrameDecoder.MAX_FRAME, processed.size());
    }

    @Test
    void noConnectionReadsAheadBeyondTheLimitOfAllTogether() {
        scheduler.bufferedBytesChanged(InputScheduler.MAX_BUFFERED_BYTES);
        assertFalse(scheduler.mayReadAhead());
        scheduler.bufferedBytesChanged(-1);
        assertTrue(scheduler.mayReadAhead());
    }
}
