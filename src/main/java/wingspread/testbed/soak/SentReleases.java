package wingspread.testbed.soak;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * The most recent releases that an exchange has written to its connections, and which of them its softswitches cannot
 * have received. Positions are counted in bytes written to a connection. Confined to the loop.
 */
final class SentReleases {
    /** A release written less than this time before its connection ended may not have been received. */
    private static final long CROSSING_WINDOW_MICROS = 50_000;
    private static final int MAX_RELEASES = 1_024;

    /** A release; {@code sentAt} in microseconds, {@code end} the position of its last byte. */
    private record SentRelease(String call, Channel channel, long sentAt, long end) { }

    private final Map<Channel, Long> positions = new HashMap<>();
    private final ArrayDeque<SentRelease> releases = new ArrayDeque<>();

    /** Advances the position of a connection to which any message was written. */
    void bytesWritten(Channel channel, int bytes) {
        positions.merge(channel, (long) bytes, Long::sum);
    }

    /** Records that the last message written to the connection is the release of a call. */
    void releaseWritten(String call, Channel channel, long now) {
        releases.add(new SentRelease(call, channel, now, positions.getOrDefault(channel, 0L)));
        if (releases.size() > MAX_RELEASES) {
            releases.remove();
        }
    }

    /** Forgets a connection that has ended; returns the calls whose releases may have crossed its end. */
    List<String> connectionEnded(Channel channel, long now) {
        positions.remove(channel);
        return releases.stream()
                .filter(r -> r.channel() == channel && r.sentAt() + CROSSING_WINDOW_MICROS >= now)
                .map(SentRelease::call).toList();
    }

    /**
     * Returns the calls whose releases were not delivered in full.
     *
     * @param deliveredBytes returns how many bytes of a connection have been or will be delivered
     */
    List<String> undelivered(ToLongFunction<Channel> deliveredBytes) {
        return releases.stream().filter(r -> positions.containsKey(r.channel()))
                .filter(r -> r.end() > deliveredBytes.applyAsLong(r.channel()))
                .map(SentRelease::call).toList();
    }
}
