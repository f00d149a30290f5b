package wingspread.front.jsonl;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.net.CloseReason;
import wingspread.net.Loop;

/**
 * Releases of standing calls whose own connection is gone, or that an earlier program set up: whatever ends a call may
 * come on any connection from callers. Chooses which one, keeps releases while there is none, and tells one again whose
 * connection closed at once. Bounded; confined to the loop.
 */
final class OrphanedReleases {
    private static final Logger LOG = LoggerFactory.getLogger("call");
    private static final int MOST_WAITING = 4_096;
    private static final int MOST_TOLD = 1_024;
    /** Of the second within which a caller must be told of a release. */
    private static final long LONGEST_WAIT_FOR_OFFER = 500_000;
    /** A release that was written so shortly before its caller closed the connection may not have been heard. */
    private static final long CROSSING = 500_000;

    /** A release that was told. */
    private record Told(Channel channel, String line, long at) { }

    private final Loop loop;
    private final BiConsumer<Channel, String> writer;
    /** The connections on which a call has come to stand, the last one at the end. */
    private final Set<Channel> stood = new LinkedHashSet<>();
    /**
     * The same of those on which a call was offered. They come second: callers whose offers are turned away may not
     * listen for other callers' calls.
     */
    private final Set<Channel> offered = new LinkedHashSet<>();
    private final ArrayDeque<String> waiting = new ArrayDeque<>();
    /** The releases that were told last, oldest first. */
    private final ArrayDeque<Told> told = new ArrayDeque<>();
    /** The connection on which a whole message came last; null before the first. */
    private Channel heardLast;

    /** Writes by this writer. */
    OrphanedReleases(Loop loop, BiConsumer<Channel, String> writer) {
        this.loop = loop;
        this.writer = writer;
    }

    /** A whole message has come on a connection. */
    void heard(Channel channel) {
        heardLast = channel;
    }

    /** A call is offered on a connection, which is told what has waited for one. */
    void offeredOn(Channel channel) {
        moveToEnd(offered, channel);
        tellAll(channel);
    }

    /** A call has come to stand on a connection. */
    void stoodOn(Channel channel) {
        moveToEnd(stood, channel);
    }

    private static void moveToEnd(Set<Channel> channels, Channel channel) {
        channels.remove(channel);
        channels.add(channel);
    }

    /** Tells a release on the best connection there is, or keeps it for the next. */
    void tell(String call, String line) {
        Channel channel = best();
        if (channel != null) {
            LOG.debug("{} release told to caller {}", call, channel.remoteAddress());
            write(channel, line);
        } else if (waiting.size() < MOST_WAITING) {
            LOG.info("{} release waits: no caller that has offered a call is connected", call);
            waiting.add(line);
            awaitOffer();
        } else {
            LOG.warn("{} release dropped: {} wait for a caller to connect", call, MOST_WAITING);
        }
    }

    /** A connection has ended: what was told on it a moment ago is told on another, if its caller closed it. */
    void ended(Channel channel, CloseReason reason) {
        offered.remove(channel);
        stood.remove(channel);
        if (reason != CloseReason.PEER_CLOSED && reason != CloseReason.RESET) {
            return;
        }
        for (Told release : List.copyOf(told)) {
            if (release.channel() == channel && release.at() + CROSSING >= loop.now()) {
                told.remove(release);
                waiting.add(release.line());
            }
        }
        if (!waiting.isEmpty()) {
            Channel other = best();
            if (other == null) {
                awaitOffer();
            } else {
                tellAll(other);
            }
        }
    }

    /**
     * Where nobody offers a call for a while, releases go to the connection that was heard last, by a test say. Guards
     * a program that was started a moment ago, to which callers have connected and offer nothing.
     */
    private void awaitOffer() {
        loop.at(loop.now() + LONGEST_WAIT_FOR_OFFER, () -> {
            if (heardLast != null && heardLast.isActive()) {
                tellAll(heardLast);
            }
        });
    }

    /** Of the connections that are up the one whose call stood last, else the one that offered last, or null. */
    private Channel best() {
        return last(stood).or(() -> last(offered)).orElse(null);
    }

    private static Optional<Channel> last(Set<Channel> channels) {
        return channels.stream().filter(Channel::isActive).reduce((earlier, later) -> later);
    }

    private void tellAll(Channel channel) {
        while (!waiting.isEmpty()) {
            write(channel, waiting.remove());
        }
    }

    private void write(Channel channel, String line) {
        writer.accept(channel, line);
        if (told.size() >= MOST_TOLD) {
            told.remove();
        }
        told.add(new Told(channel, line, loop.now()));
    }
}
