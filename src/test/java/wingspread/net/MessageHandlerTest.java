package wingspread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import wingspread.json.LineDecoder;

class MessageHandlerTest {
    private final List<Object> taken = new ArrayList<>();
    private boolean owed;
    private int mostPauses = 1;
    private final EmbeddedChannel channel = new EmbeddedChannel(new MessageHandler<>("test", new LineDecoder(),
            new MessageHandler.Owner<Map<?, ?>>() {
                @Override
                public void received(Channel from, Map<?, ?> message) {
                    taken.add(message);
                }

                @Override
                public void ended(Channel from, CloseReason reason) {
                    taken.add(reason);
                }

                @Override
                public int mostPauses() {
                    return mostPauses;
                }

                @Override
                public boolean owes(Channel from) {
                    return owed;
                }
            }));

    private void read(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void pass(long milliseconds) {
        channel.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    @Test
    void aMessageThatStopsShortEndsItsConnection() {
        read("{}\n{\"op\":");
        pass(1_000);
        assertEquals(List.of(Map.of(), CloseReason.BAD_INPUT), taken);
        assertFalse(channel.isOpen());
    }

    @Test
    void itIsBusyWhileAMessageIsThereInPartOrALineIsNotSent() {
        assertFalse(MessageHandler.busy(channel));
        read("{");
        assertTrue(MessageHandler.busy(channel));
        read("}\n");
        assertFalse(MessageHandler.busy(channel));
        MessageHandler.write(channel, Unpooled.copiedBuffer("{}\n", StandardCharsets.US_ASCII));
        assertTrue(MessageHandler.busy(channel));
        channel.flush();
        assertFalse(MessageHandler.busy(channel));
    }

    @Test
    void aMessageThatComesSlowlyIsTakenButNotForEver() {
        mostPauses = 25;
        for (String piece : "{\"slow\":\"writer\"}\n".split("")) {
            read(piece);
            pass(300);
        }
        assertEquals(List.of(Map.of("slow", "writer")), taken);
        read("{");
        int pieces = 0;
        while (channel.isOpen() && pieces < 100) {
            read(" ");
            pass(300);
            pieces++;
        }
        assertTrue(pieces > 25 && pieces <= 60, pieces + " pieces");
    }

    /** What comes after a message that has stopped short must not be swallowed for long: it may be a release. */
    @Test
    void whatFollowsAMessageThatStopsShortDoesNotProlongIt() {
        read("{");
        for (int i = 0; i < 4; i++) {
            pass(99);
            read(" ");
        }
        pass(99);
        assertFalse(channel.isOpen());
    }

    /** An answer is owed on the connection: it is closed for the message that stops short once that is given. */
    @Test
    void whileSomethingIsOwedAMessageThatStopsShortClosesNothing() {
        owed = true;
        read("{\"op\":");
        for (int i = 0; i < 10; i++) {
            pass(400);
        }
        assertTrue(channel.isOpen());
        owed = false;
        pass(400);
        assertFalse(channel.isOpen());
    }

    @Test
    void aMessageWhoseRestComesIsTakenAndTheNextHasItsOwnTime() {
        read("{");
        pass(300);
        read("}\n{");
        pass(300);
        assertTrue(channel.isOpen());
        read("}\n");
        pass(1_000);
        assertEquals(List.of(Map.of(), Map.of()), taken);
        assertTrue(channel.isOpen());
    }
}
