package wingspread.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class AdmissionTest {
    private static final long LONGEST_MUTE = 1_000;

    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final Loop loop = new Loop(clock::get);
    private final Set<Channel> busy = new HashSet<>();
    private final Admission admission = new Admission(loop, () -> 2, LONGEST_MUTE, channel -> !busy.contains(channel));

    @AfterEach
    void stop() {
        loop.stop();
    }

    private EmbeddedChannel open() {
        EmbeddedChannel channel = new EmbeddedChannel();
        admission.opened(channel);
        return channel;
    }

    /** Lets the loop do what it was handed before. */
    private void settle() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(done::countDown);
        assertTrue(done.await(10, TimeUnit.SECONDS));
    }

    @Test
    void whatNeverSentAMessageMakesRoomOldestFirst() {
        EmbeddedChannel first = open();
        EmbeddedChannel second = open();
        admission.heard(first);
        EmbeddedChannel third = open();
        assertFalse(second.isOpen());
        assertTrue(first.isOpen() && third.isOpen());
    }

    @Test
    void thenWhatIsIdleAndWasHeardLongestAgoDoes() {
        EmbeddedChannel first = open();
        EmbeddedChannel second = open();
        admission.heard(first);
        admission.heard(second);
        admission.heard(first);
        EmbeddedChannel third = open();
        assertFalse(second.isOpen());
        assertTrue(first.isOpen() && third.isOpen());
    }

    @Test
    void whatCarriesACallStaysAndTheNewOneIsTurnedAway() throws Exception {
        EmbeddedChannel first = open();
        EmbeddedChannel second = open();
        admission.heard(first);
        admission.heard(second);
        busy.add(first);
        busy.add(second);
        EmbeddedChannel third = open();
        settle();
        third.runPendingTasks();
        assertTrue(first.isOpen() && second.isOpen());
        assertFalse(third.isOpen());
    }

    @Test
    void whatSaysNothingIsClosedInTheEnd() throws Exception {
        EmbeddedChannel silent = open();
        EmbeddedChannel heard = open();
        admission.heard(heard);
        CountDownLatch closed = new CountDownLatch(1);
        silent.closeFuture().addListener(f -> closed.countDown());
        clock.addAndGet(LONGEST_MUTE);
        assertTrue(closed.await(10, TimeUnit.SECONDS));
        settle();
        assertTrue(heard.isOpen());
    }
}
