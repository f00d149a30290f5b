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
        scheduler.add(new Connection("flood", InputScheduler.MAX_MESSAGES_PER_TURN + 10, 30));
        scheduler.process();
        assertEquals(InputScheduler.MAX_MESSAGES_PER_TURN, processed.size());
        assertTrue(scheduler.hasInput());
        scheduler.process();
        assertEquals(InputScheduler.MAX_MESSAGES_PER_TURN + 10, processed.size());
        assertFalse(scheduler.hasInput());
    }

    @Test
    void turnEndsAtItsLimitOfBytes() {
        scheduler.add(new Connection("large", 1_000, FrameDecoder.MAX_FRAME));
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
