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
 * Delivers the releases of established calls. A release is sent on the connection of its call; if that has closed, or
 * an earlier process set the call up, it may be sent on any connection from callers. This class chooses the connection,
 * queues releases while there is none, and sends a release again if its connection closes immediately afterwards. The
 * queues are bounded. Confined to the event loop.
 */
final class ReleaseDelivery {
    private static final Logger LOG = LoggerFactory.getLogger("call");
    private static final int MAX_QUEUED = 4_096;
    private static final int MAX_RECENTLY_SENT = 1_024;
    /** Part of the 1 s within which a caller must be notified of a release. */
    private static final long MAX_OFFER_WAIT_MICROS = 500_000;
    /** A release written within this time before the caller closed the connection may not have been received. */
    private static final long UNCONFIRMED_MICROS = 500_000;
    /**
     * The same on the connection of the call itself, whose caller may close it because of the release. The platform
     * counts 50 ms as crossing a close, and grants 50 ms on every time.
     */
    private static final long UNCONFIRMED_ON_OWN_CONNECTION_MICROS = 100_000;

    /**
     * A release that was written to a connection.
     *
     * @param unconfirmedUntil when it counts as received, in microseconds
     */
    private record SentRelease(Channel channel, String call, String line, long unconfirmedUntil) { }

    /** A release that waits for a connection. */
    private record QueuedRelease(String call, String line) { }

    private final Loop loop;
    private final BiConsumer<Channel, String> writer;
    /** Connections on which a call was established, the most recent one last. */
    private final Set<Channel> establishedOn = new LinkedHashSet<>();
    /**
     * Connections on which a call was offered, the most recent one last. They are the second choice, as callers whose
     * offers are refused may not handle the releases of other callers' calls.
     */
    private final Set<Channel> offeredOn = new LinkedHashSet<>();
    private final ArrayDeque<QueuedRelease> queued = new ArrayDeque<>();
    /** Whether the queued releases are to be sent on any connection soon, if no call is offered meanwhile. */
    private boolean offerAwaited;
    /** The most recently written releases, oldest first. */
    private final ArrayDeque<SentRelease> recentlySent = new ArrayDeque<>();
    /**
     * Connections on which a complete message was received, the most recent one last. They are the last choice: callers
     * that have only tested.
     */
    private final Set<Channel> heardOn = new LinkedHashSet<>();

    /**
     * Creates an empty queue.
     *
     * @param writer writes a line to a connection
     */
    ReleaseDelivery(Loop loop, BiConsumer<Channel, String> writer) {
        this.loop = loop;
        this.writer = writer;
    }

    /** Records that a complete message was received on a connection. */
    void markActive(Channel channel) {
        moveToEnd(heardOn, channel);
        if (!queued.isEmpty()) {
            awaitOffer();
        }
    }

    /** Records that an invalid set-up was received on a connection, whose caller may not handle releases. */
    void distrust(Channel channel) {
        heardOn.remove(channel);
    }

    /** Records that a call was offered on a connection, and sends it the queued releases. */
    void callOffered(Channel channel) {
        moveToEnd(offeredOn, channel);
        sendQueued(channel);
    }

    /** Records that a call was established on a connection. */
    void callEstablished(Channel channel) {
        moveToEnd(establishedOn, channel);
    }

    private static void moveToEnd(Set<Channel> channels, Channel channel) {
        channels.remove(channel);
        channels.add(channel);
    }

    /** Sends a release on the open connection of its call. */
    void sendOn(Channel channel, String call, String line) {
        LOG.debug("{} release sent to its caller {}", call, channel.remoteAddress());
        write(channel, call, line, UNCONFIRMED_ON_OWN_CONNECTION_MICROS);
    }

    /** Sends a release on the preferred connection, or queues it while there is none. */
    void send(String call, String line) {
        Channel channel = preferredConnection();
        if (channel != null) {
            LOG.debug("{} release sent to caller {}", call, channel.remoteAddress());
            write(channel, call, line, UNCONFIRMED_MICROS);
        } else if (queued.size() < MAX_QUEUED) {
            LOG.info("{} release queued: no caller that has offered a call is connected", call);
            queued.add(new QueuedRelease(call, line));
            awaitOffer();
        } else {
            LOG.warn("{} release dropped: {} are queued until a caller connects", call, MAX_QUEUED);
        }
    }

    /**
     * Removes a closed connection. If the caller closed it, releases written to it shortly before are sent on another.
     */
    void removeConnection(Channel channel, CloseReason reason) {
        offeredOn.remove(channel);
        establishedOn.remove(channel);
        heardOn.remove(channel);
        if (reason != CloseReason.PEER_CLOSED && reason != CloseReason.RESET) {
            return;
        }
        for (SentRelease release : List.copyOf(recentlySent)) {
            if (release.channel() == channel && release.unconfirmedUntil() >= loop.now()) {
                LOG.info("{} release sent again: its connection to {} ended {} right after it", release.call(),
                        channel.remoteAddress(), reason);
                recentlySent.remove(release);
                queued.add(new QueuedRelease(release.call(), release.line()));
            }
        }
        if (!queued.isEmpty()) {
            Channel other = preferredConnection();
            if (other == null) {
                awaitOffer();
            } else {
                sendQueued(other);
            }
        }
    }

    /**
     * Sends the queued releases on the most recently active connection if no call is offered for a while. This covers
     * the time after a start, when callers have connected and sent messages such as a test, but offer no call.
     */
    private void awaitOffer() {
        if (!offerAwaited) {
            offerAwaited = true;
            loop.at(loop.now() + MAX_OFFER_WAIT_MICROS, () -> {
                offerAwaited = false;
                sendQueuedOnAnyConnection();
            });
        }
    }

    /** Whether a caller is connected that has sent a message, so that a release could be sent now. */
    boolean hasConnection() {
        return last(heardOn).isPresent();
    }

    /** Sends the queued releases on the preferred connection, or else on any on which a message was received. */
    void sendQueuedOnAnyConnection() {
        Channel channel = preferredConnection();
        if (channel == null) {
            channel = last(heardOn).orElse(null);
        }
        if (channel != null) {
            sendQueued(channel);
        }
    }

    /**
     * Returns the open connection on which a call was established last, otherwise the one on which a call was offered
     * last, or null if there is neither.
     */
    private Channel preferredConnection() {
        return last(establishedOn).or(() -> last(offeredOn)).orElse(null);
    }

    private static Optional<Channel> last(Set<Channel> channels) {
        return channels.stream().filter(Channel::isActive).reduce((earlier, later) -> later);
    }

    private void sendQueued(Channel channel) {
        while (!queued.isEmpty()) {
            QueuedRelease release = queued.remove();
            write(channel, release.call(), release.line(), UNCONFIRMED_MICROS);
        }
    }

    private void write(Channel channel, String call, String line, long unconfirmedMicros) {
        writer.accept(channel, line);
        if (recentlySent.size() >= MAX_RECENTLY_SENT) {
            recentlySent.remove();
        }
        recentlySent.add(new SentRelease(channel, call, line, loop.now() + unconfirmedMicros));
    }
}
