package wingspread.net;

import io.netty.channel.Channel;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * Limits the number of client connections and keeps clients that send nothing from using up the limit. A connection
 * that has never sent a complete message is closed after a timeout, unless it is the only one: the ends of established
 * calls can be notified on it, and alone it takes nothing from others. At the limit, a new connection evicts the oldest
 * connection without a complete message, or else the idle one whose last message is the oldest. Confined to the loop.
 */
public final class Admission {
    private final Loop loop;
    private final IntSupplier maxConnections;
    private final long firstMessageTimeoutMicros;
    private final Predicate<Channel> idle;
    /** Connections that have not sent a complete message yet, oldest first, with the time at which each is closed. */
    private final Map<Channel, Long> awaitingFirstMessage = new LinkedHashMap<>();
    /** All other connections, ordered by their last message, least recent first. */
    private final Set<Channel> active = new LinkedHashSet<>();
    private boolean timeoutScheduled;

    /**
     * Creates an admission without connections.
     *
     * @param maxConnections current limit of open connections; if it falls below their number, each new connection
     *     still evicts only one
     * @param firstMessageTimeoutMicros time from the opening of a connection to its first complete message, in
     *     microseconds
     * @param idle whether a connection carries no calls and may be closed
     */
    public Admission(Loop loop, IntSupplier maxConnections, long firstMessageTimeoutMicros, Predicate<Channel> idle) {
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.firstMessageTimeoutMicros = firstMessageTimeoutMicros;
        this.idle = idle;
    }

    /** Registers a new connection, which is closed if the limit is reached and none can be evicted. */
    public void opened(Channel channel) {
        boolean hasCapacity = awaitingFirstMessage.size() + active.size() < maxConnections.getAsInt() || evictOne();
        awaitingFirstMessage.put(channel, loop.now() + firstMessageTimeoutMicros);
        if (!hasCapacity) {
            loop.execute(() -> MessageHandler.close(channel, CloseReason.TOO_MANY));
        }
        scheduleTimeout();
    }

    /** Registers that a complete message has been received. */
    public void messageReceived(Channel channel) {
        if (awaitingFirstMessage.remove(channel) != null || active.remove(channel)) {
            active.add(channel);
        }
    }

    /** Removes a connection that has been closed. */
    public void ended(Channel channel) {
        awaitingFirstMessage.remove(channel);
        active.remove(channel);
    }

    private boolean evictOne() {
        Channel evicted = awaitingFirstMessage.keySet().stream().findFirst()
                .or(() -> active.stream().filter(idle).findFirst()).orElse(null);
        if (evicted == null) {
            return false;
        }
        ended(evicted);
        MessageHandler.close(evicted, CloseReason.MADE_ROOM);
        return true;
    }

    private void scheduleTimeout() {
        if (!timeoutScheduled && !awaitingFirstMessage.isEmpty()) {
            timeoutScheduled = true;
            loop.at(awaitingFirstMessage.values().iterator().next(), () -> {
                timeoutScheduled = false;
                closeTimedOut();
                scheduleTimeout();
            });
        }
    }

    private void closeTimedOut() {
        while (!awaitingFirstMessage.isEmpty() && awaitingFirstMessage.values().iterator().next() <= loop.now()) {
            Channel timedOut = awaitingFirstMessage.keySet().iterator().next();
            awaitingFirstMessage.remove(timedOut);
            if (active.isEmpty() && awaitingFirstMessage.isEmpty()) {
                awaitingFirstMessage.put(timedOut, loop.now() + firstMessageTimeoutMicros);
                return;
            }
            MessageHandler.close(timedOut, CloseReason.MUTE);
        }
    }
}
