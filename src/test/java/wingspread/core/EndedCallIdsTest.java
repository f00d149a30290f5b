package wingspread.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that the most recent ids are recognized, and that neither many nor long ids fill the memory. */
class EndedCallIdsTest {
    private final EndedCallIds ids = new EndedCallIds();

    @Test
    void recognizesTheMostRecentIdsAndForgetsTheOldest() {
        for (int i = 0; i <= 8_192; i++) {
            assertTrue(ids.add(String.format("%016x", i)));
        }
        assertEquals(8_192, ids.size());
        assertFalse(ids.add(String.format("%016x", 8_192)));
        assertFalse(ids.add(String.format("%016x", 1)));
        assertTrue(ids.add(String.format("%016x", 0)));
    }

    /** Guards against an OutOfMemoryError by a client whose ids are as long as a message may be. */
    @Test
    void forgetsTheOldestBeyondTheTotalLength() {
        String padding = "x".repeat(16_000);
        for (int i = 0; i < 8_192; i++) {
            assertTrue(ids.add(padding + i));
        }
        assertTrue(ids.size() <= (1 << 20) / 16_000, ids.size() + " ids");
        assertFalse(ids.add(padding + 8_191));
        for (int i = 0; i < 8_192; i++) {
            assertTrue(ids.add(String.format("%016x", i)));
        }
        assertEquals(8_192, ids.size());
    }
}
