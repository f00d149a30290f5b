package wingspread.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits what is written to all connections together and not taken by their peers. Each connection has a limit of its
 * own, but many peers that do not read would exhaust the memory for output, and then no connection could be written to.
 * Confined to the event loop.
 */
final class UnsentOutputLimit {
    /** A third of the memory for output that the deploy file grants, as buffers are larger than what they hold. */
    static final long MAX_UNSENT_BYTES = 8 << 20;

    private final Set<Channel> unsent = new LinkedHashSet<>();

    /** Records that a connection has been flushed; what its peer does not take remains unsent. */
    void flushed(Channel channel) {
        if (unsentBytes(channel) > 0) {
            unsent.add(channel);
        }
    }

    /** Closes the connections with the most unsent bytes until the others are within the limit. */
    void enforce() {
        for (long total = removeSent(); total > MAX_UNSENT_BYTES; total = removeSent()) {
            Channel largest = null;
            for (Channel channel : unsent) {
                largest = largest == null || unsentBytes(channel) > unsentBytes(largest) ? channel : largest;
            }
            unsent.remove(largest);
            MessageHandler.close(largest, CloseReason.BACKLOG);
        }
    }

    /** Removes the connections without unsent bytes, and returns the sum of the others. */
    private long removeSent() {
        long total = 0;
        for (Iterator<Channel> channels = unsent.iterator(); channels.hasNext();) {
            long bytes = unsentBytes(channels.next());
            total += bytes;
            if (bytes == 0) {
                channels.remove();
            }
        }
        return total;
    }

    private static long unsentBytes(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }
}
