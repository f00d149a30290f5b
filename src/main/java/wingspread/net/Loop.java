package wingspread.net;

import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import wingspread.turn.Worker;

/**
 * The one event loop. All that an iteration of it reads is gathered first; then one turn is played, and each
 * channel that the turn wrote to is flushed once.
 */
public final class Loop {
    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("loop"));
    private final NioEventLoop eventLoop = (NioEventLoop) group.next();
    private final LongSupplier clock;
    private final Set<Channel> touched = new LinkedHashSet<>();
    private final List<Worker> workers = new ArrayList<>();
    private boolean turnAsked;
    private boolean playing;
    private ScheduledFuture<?> alarm;
    private long alarmAt = Long.MAX_VALUE;

    public Loop(LongSupplier clock) {
        this.clock = clock;
    }

    public NioEventLoopGroup group() {
        return group;
    }

    /** The clock: microseconds since the Unix epoch. */
    public long now() {
        return clock.getAsLong();
    }

    /** Adds a worker; the turns of one iteration are played in the order of their adding. */
    public void serve(Worker worker) {
        workers.add(worker);
    }

    /** Runs a task on the loop. */
    public void execute(Runnable task) {
        eventLoop.execute(task);
    }

    /** Runs a task on the loop at a time. */
    public void at(long time, Runnable task) {
        eventLoop.schedule(task, Math.max(0, time - now()), TimeUnit.MICROSECONDS);
    }

    /** Something was gathered: a turn follows once all that is ready has been read. */
    public void wantTurn() {
        if (!turnAsked) {
            turnAsked = true;
            eventLoop.executeAfterEventLoopIteration(this::play);
        }
    }

    /** A channel was written to; it is flushed after the turn. */
    public void touch(Channel channel) {
        touched.add(channel);
        if (!playing) {
            wantTurn();
        }
    }

    /** Flushes what was written, at once. */
    public void flush() {
        touched.forEach(Channel::flush);
        touched.clear();
    }

    /** Ends the loop; what is written was flushed before. */
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void play() {
        turnAsked = false;
        playing = true;
        try {
            workers.forEach(Worker::turn);
        } finally {
            // Guards what the turn has written, should a defect break it off: Netty logs it and the loop goes on.
            playing = false;
            flush();
        }
        long due = workers.stream().mapToLong(Worker::nextDue).min().orElse(Long.MAX_VALUE);
        // A turn may ask for another: then that one sets the alarm.
        if (due < alarmAt && !turnAsked) {
            if (alarm != null) {
                alarm.cancel(false);
            }
            alarmAt = due;
            alarm = eventLoop.schedule(this::ring, Math.max(0, due - now()), TimeUnit.MICROSECONDS);
        }
    }

    private void ring() {
        alarmAt = Long.MAX_VALUE;
        alarm = null;
        wantTurn();
    }
}
