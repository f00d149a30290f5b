package wingspread.net;

import io.netty.channel.Channel;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * Bounds the connections that clients open, and guards the others against those that only hold one: a
 * connection that has never sent a whole message is closed after a while, and sooner where room is wanted;
 * after those, the idle one that was heard longest ago makes room. Confined to the loop.
 */
public final class Admission {
    private final Loop loop;
    private final IntSupplier most;
    private final long longestMute;
    private final Predicate<Channel> idle;
    /** Connections without a whole message yet, oldest first, and when each is closed. */
    private final Map<Channel, Long> mute = new LinkedHashMap<>();
    /** The others, the one heard longest ago first. */
    private final Set<Channel> heard = new LinkedHashSet<>();
    private boolean watching;

    /**
     * Starts with no connection.
     *
     * @param most connections at a time; it may fall below what is open, which then makes room one by one
     * @param longestMute microseconds from the opening of a connection to its first whole message
     * @param idle whether a connection carries nothing and may be closed
     */
    public Admission(Loop loop, IntSupplier most, long longestMute, Predicate<Channel> idle) {
        this.loop = loop;
        this.most = most;
        this.longestMute = longestMute;
        this.idle = idle;
    }

    /** A connection has come up; where there is no room for it, none can be made and it is closed. */
    public void opened(Channel channel) {
        boolean room = mute.size() + heard.size() < most.getAsInt() || makeRoom();
        mute.put(channel, loop.now() + longestMute);
        if (!room) {
            loop.execute(() -> MessageHandler.close(channel, CloseReason.TOO_MANY));
        }
        watch();
    }

    /** A whole message has come in. */
    public void heard(Channel channel) {
        if (mute.remove(channel) != null || heard.remove(channel)) {
            heard.add(channel);
        }
    }

    public void ended(Channel channel) {
        mute.remove(channel);
        heard.remove(channel);
    }

    private boolean makeRoom() {
        Channel leaves = mute.keySet().stream().findFirst()
                .or(() -> heard.stream().filter(idle).findFirst()).orElse(null);
        if (leaves == null) {
            return false;
        }
        ended(leaves);
        MessageHandler.close(leaves, CloseReason.MADE_ROOM);
        return true;
    }

    private void watch() {
        if (!watching && !mute.isEmpty()) {
            watching = true;
            loop.at(mute.values().iterator().next(), () -> {
                watching = false;
                closeOverdue();
                watch();
            });
        }
    }

    private void closeOverdue() {
        while (!mute.isEmpty() && mute.values().iterator().next() <= loop.now()) {
            Channel overdue = mute.keySet().iterator().next();
            mute.remove(overdue);
            MessageHandler.close(overdue, CloseReason.MUTE);
        }
    }
}
