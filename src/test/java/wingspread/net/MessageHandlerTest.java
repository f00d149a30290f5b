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
