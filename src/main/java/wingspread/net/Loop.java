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
 * The single event loop of the process. Each iteration first reads pending input; then a turn processes a limited part
 * of it in the order of the {@link InputScheduler}, the workers run, and each channel that they wrote to is flushed
 * once.
 */
public final class Loop {
    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("loop"));
    private final NioEventLoop eventLoop = (NioEventLoop) group.next();
    private final LongSupplier clock;
    private final Set<Channel> unflushed = new LinkedHashSet<>();
    private final UnsentOutputLimit unsentOutput = new UnsentOutputLimit();
    private final List<Worker> workers = new ArrayList<>();
    private final InputScheduler input = new InputScheduler(this::requestTurn);
    private boolean turnRequested;
    private boolean inTurn;
    private ScheduledFuture<?> timer;
    private long timerDue = Long.MAX_VALUE;

    /**
     * Creates the loop and its thread.
     *
     * @param clock time in microseconds since the Unix epoch
     */
    public Loop(LongSupplier clock) {
        this.clock = clock;
    }

    /** Returns the Netty group with this event loop as its only member. */
    public NioEventLoopGroup group() {
        return group;
    }

    /** Returns the current time in microseconds since the Unix epoch. */
    public long now() {
        return clock.getAsLong();
    }

    /** Returns the scheduler of the input of all connections. */
    public InputScheduler input() {
        return input;
    }

    /** Adds a worker; within an iteration the workers run in the order in which they were added. */
    public void addWorker(Worker worker) {
        workers.add(worker);
    }

    /** Runs a task on the loop. */
    public void execute(Runnable task) {
        eventLoop.execute(task);
    }

    /** Runs a task on the loop at {@code time}, in microseconds since the Unix epoch. */
    public void at(long time, Runnable task) {
        eventLoop.schedule(task, Math.max(0, time - now()), TimeUnit.MICROSECONDS);
    }

    /** Requests a turn, which runs after the current iteration of the event loop has read all pending input. */
    public void requestTurn() {
        if (!turnRequested) {
            turnRequested = true;
            eventLoop.executeAfterEventLoopIteration(this::runTurn);
        }
    }

    /** Marks a channel to be flushed after the turn. */
    public void flushAfterTurn(Channel channel) {
        unflushed.add(channel);
        if (!inTurn) {
            requestTurn();
        }
    }

    /** Flushes all marked channels immediately. */
    public void flush() {
        for (Channel channel : unflushed) {
            channel.flush();
            unsentOutput.flushed(channel);
        }
        unflushed.clear();
        unsentOutput.enforce();
    }

    /** Shuts the loop down; it does not flush, so call {@link #flush} before. */
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void runTurn() {
        turnRequested = false;
        inTurn = true;
        try {
            processInput();
        } finally {
            // Flush even if the turn failed with an exception: Netty logs it and the loop continues.
            inTurn = false;
            flush();
        }
        long due = workers.stream().mapToLong(Worker::nextDue).min().orElse(Long.MAX_VALUE);
        // If the turn requested another one, that one sets the timer.
        if (due < timerDue && !turnRequested) {
            if (timer != null) {
                timer.cancel(false);
            }
            timerDue = due;
            timer = eventLoop.schedule(this::onTimer, Math.max(0, due - now()), TimeUnit.MICROSECONDS);
        }
    }

    private void processInput() {
        try {
            input.process();
        } finally {
            workers.forEach(Worker::turn);
            if (input.hasInput()) {
                // Not requestTurn, which would run the next turn before anything else is read.
                eventLoop.execute(this::requestTurn);
            }
        }
    }

    private void onTimer() {
        timerDue = Long.MAX_VALUE;
        timer = null;
        requestTurn();
    }
}
