package wingspread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import wingspread.json.LineDecoder;

class MessageHandlerTest {
    private final List<Object> events = new ArrayList<>();
    private boolean replyPending;
    private int pauseLimit = 1;
    private final EmbeddedChannel channel = new EmbeddedChannel(new MessageHandler<>("test", new LineDecoder(),
            new MessageHandler.Listener<Map<?, ?>>() {
                @Override
                public void received(Channel from, Map<?, ?> message) {
                    events.add(message);
                }

                @Override
                public void ended(Channel from, CloseReason reason) {
                    events.add(reason);
                }

                @Override
                public int maxPauses() {
                    return pauseLimit;
                }

                @Override
                public boolean hasPendingReply(Channel from) {
                    return replyPending;
                }
            }));

    private void read(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void advanceTime(long milliseconds) {
        channel.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    @Test
    void closesConnectionOnIncompleteMessage() {
        read("{}\n{\"op\":");
        advanceTime(1_000);
        assertEquals(List.of(Map.of(), CloseReason.BAD_INPUT), events);
        assertFalse(channel.isOpen());
    }

    @Test
    void hasPendingDataWhileMessageIsIncompleteOrWriteIsUnsent() {
        assertFalse(MessageHandler.hasPendingData(channel));
        read("{");
        assertTrue(MessageHandler.hasPendingData(channel));
        read("}\n");
        assertFalse(MessageHandler.hasPendingData(channel));
        MessageHandler.write(channel, Unpooled.copiedBuffer("{}\n", StandardCharsets.US_ASCII));
        assertTrue(MessageHandler.hasPendingData(channel));
        channel.flush();
        assertFalse(MessageHandler.hasPendingData(channel));
    }

    @Test
    void acceptsSlowMessageUpToLimitOfPauses() {
        pauseLimit = 25;
        for (String piece : "{\"slow\":\"writer\"}\n".split("")) {
            read(piece);
            advanceTime(300);
        }
        assertEquals(List.of(Map.of("slow", "writer")), events);
        read("{");
        int pieces = 0;
        while (channel.isOpen() && pieces < 100) {
            read(" ");
            advanceTime(300);
            pieces++;
        }
        assertTrue(pieces > 25 && pieces <= 60, pieces + " pieces");
    }

    /** Messages after a truncated one are lost until the connection is closed, and one of them may be a release. */
    @Test
    void bytesAfterTruncatedMessageDoNotExtendItsDeadline() {
        read("{");
        for (int i = 0; i < 4; i++) {
            advanceTime(99);
            read(" ");
        }
        advanceTime(99);
        assertFalse(channel.isOpen());
    }

    /** The connection is closed for its incomplete message only after the pending reply has been sent. */
    @Test
    void keepsConnectionWithIncompleteMessageWhileReplyIsPending() {
        replyPending = true;
        read("{\"op\":");
        for (int i = 0; i < 10; i++) {
            advanceTime(400);
        }
        assertTrue(channel.isOpen());
        replyPending = false;
        advanceTime(400);
        assertFalse(channel.isOpen());
    }

    @Test
    void timesEachMessageSeparately() {
        read("{");
        advanceTime(300);
        read("}\n{");
        advanceTime(300);
        assertTrue(channel.isOpen());
        read("}\n");
        advanceTime(1_000);
        assertEquals(List.of(Map.of(), Map.of()), events);
        assertTrue(channel.isOpen());
    }

    private EmbeddedChannel scheduledChannel(InputScheduler scheduler, boolean dropRest) {
        return new EmbeddedChannel(new MessageHandler<>("test", new LineDecoder(),
                new MessageHandler.Listener<Map<?, ?>>() {
                    @Override
                    public void received(Channel from, Map<?, ?> message) {
                        events.add(message);
                    }

                    @Override
                    public void ended(Channel from, CloseReason reason) {
                        events.add(reason);
                    }

                    @Override
                    public boolean isObsoleteAfterEnd(Map<?, ?> message) {
                        return dropRest && message.isEmpty();
                    }

                    @Override
                    public boolean isPeerClient() {
                        return true;
                    }
                }, scheduler));
    }

    private static ByteBuf text(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    /**
     * Guards against memory exhaustion: a connection that sends faster than it is processed is not read any further.
     */
    @Test
    void stopsReadingWhileUnprocessedInputExceedsItsLimit() {
        InputScheduler scheduler = new InputScheduler(() -> { });
        EmbeddedChannel scheduled = scheduledChannel(scheduler, false);
        scheduled.writeInbound(text("{}\n".repeat(10)));
        assertTrue(scheduled.config().isAutoRead());
        scheduled.writeInbound(text("{}\n".repeat(400_000)));
        assertFalse(scheduled.config().isAutoRead());
        assertEquals(List.of(), events);
        while (scheduler.hasInput()) {
            scheduler.process();
        }
        assertEquals(400_010, events.size());
        assertTrue(scheduled.config().isAutoRead());
    }

    /** Guards against work for a client that has left: its requests were sent on after it had closed its connection. */
    @Test
    void dropsObsoleteMessagesOfConnectionThatEndedBeforeTheyWereProcessed() {
        InputScheduler scheduler = new InputScheduler(() -> { });
        EmbeddedChannel scheduled = scheduledChannel(scheduler, true);
        scheduled.writeInbound(text("{}\n{}\n{\"op\":\"end\"}\n{}\n{\"cut\":"));
        scheduled.close();
        assertEquals(List.of(CloseReason.PEER_CLOSED), events);
        scheduler.process();
        assertEquals(List.of(CloseReason.PEER_CLOSED, Map.of("op", "end")), events);
        assertFalse(scheduler.hasInput());
    }

    /** Guards against memory exhaustion by a client that sends requests and does not read the replies. */
    @Test
    void processesNothingFurtherUntilRepliesAreRead() {
        InputScheduler scheduler = new InputScheduler(() -> { });
        EmbeddedChannel scheduled = scheduledChannel(scheduler, false);
        scheduled.config().setWriteBufferWaterMark(new WriteBufferWaterMark(100, 200));
        MessageHandler.write(scheduled, text("x".repeat(300)));
        scheduled.writeInbound(text("{}\n"));
        scheduler.process();
        assertEquals(List.of(), events);
        scheduled.flush();
        scheduled.runPendingTasks();
        scheduler.process();
        assertEquals(List.of(Map.of()), events);
    }

    @Test
    void closesConnectionWhoseRepliesAreNotReadInTime() {
        EmbeddedChannel scheduled = scheduledChannel(new InputScheduler(() -> { }), false);
        scheduled.config().setWriteBufferWaterMark(new WriteBufferWaterMark(100, 200));
        MessageHandler.write(scheduled, text("x".repeat(300)));
        scheduled.advanceTimeBy(2_900, TimeUnit.MILLISECONDS);
        scheduled.runPendingTasks();
        assertTrue(scheduled.isOpen());
        scheduled.advanceTimeBy(200, TimeUnit.MILLISECONDS);
        scheduled.runPendingTasks();
        assertEquals(List.of(CloseReason.BACKLOG), events);
    }

    /** Guards against memory exhaustion by closed connections, which the check of their last message referred to. */
    @Test
    void keepsNoTimerOfConnectionClosedWithinAMessage() {
        read("{\"op\":");
        assertTrue(channel.runScheduledPendingTasks() > 0, "no check is scheduled");
        // EmbeddedChannel.close would cancel all timers itself.
        channel.pipeline().fireChannelInactive();
        assertEquals(-1, channel.runScheduledPendingTasks());
    }
}
