package wingspread.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Status;
import wingspread.core.Attempt;
import wingspread.core.Event;
import wingspread.directory.DirectoryEntry;
import wingspread.metrics.Metrics;
import wingspread.net.CloseReason;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;
import wingspread.sip.SipDecoder;
import wingspread.sip.SipMessage;
import wingspread.storm.Backoff;

/**
 * The connections to one exchange. Set-ups are sent on the newest responsive connection; an unresponsive one is
 * replaced. At least one connection is kept open at all times, since the exchange reports the state of its group of
 * circuits and sends releases on it.
 */
final class Link implements MessageHandler.Listener<SipMessage> {
    private static final Logger LOG = LoggerFactory.getLogger("connection");
    private static final Logger CALLS = LoggerFactory.getLogger("call");
    private static final int MAX_CONNECTIONS = 4;
    /**
     * Multiple of the connect time within which the initial report is expected: a connect takes one round trip, and
     * the first message on a connection should take about as long.
     */
    private static final int INITIAL_REPORT_CONNECT_TIMES = 3;
    private static final long MIN_INITIAL_REPORT_WAIT_MICROS = 50_000;
    /** Exchanges may accept a connection up to one second late. The next check may start in the meantime. */
    private static final long MIN_CHECK_CONNECT_TIMEOUT_MICROS = 1_100_000;
    private static final int MAX_PENDING_CHECKS = 3;
    private static final int MAX_WAITING_ATTEMPTS = 256;
    private static final int MAX_UNSENT_RELEASES = 4_096;

    private final Loop loop;
    private final long exchangeNumber;
    private final String uid;
    private final long connectTimeoutMicros;
    private final Links links;
    private final Consumer<Event> events;
    private final Metrics metrics;
    private InetSocketAddress endpoint;
    private Readiness readiness = Readiness.READY;
    /** Open connections, oldest first. */
    private final Map<Channel, ExchangeConnection> connections = new LinkedHashMap<>();
    private final ArrayDeque<Attempt> waitingAttempts = new ArrayDeque<>();
    private final ArrayDeque<SipMessage> unsentReleases = new ArrayDeque<>();
    private final LostReleaseRecovery recovery;
    private boolean connecting;
    /** Connects in progress that {@link #checkLiveness} started. */
    private int pendingChecks;
    private boolean reconnectScheduled;
    /** Whether no further connection is opened. */
    private boolean closed;
    /** Whether the exchange has left the directory. */
    private boolean retired;
    /** Whether connections are no longer read either. */
    private boolean stopped;
    /** Whether a connect has failed or was not possible at the limit of connections. */
    private boolean connectFailed;
    private boolean stateReported;
    private long lastUsedAt;
    /** Duration of the last successful connect. */
    private long connectDurationMicros;
    private final Backoff backoff;
    private final ExchangeMessages messages = new ExchangeMessages();

    Link(Loop loop, DirectoryEntry listing, long connectTimeoutMicros, Backoff backoff, Links links,
            Consumer<Event> events, Metrics metrics) {
        this.links = links;
        this.loop = loop;
        this.exchangeNumber = listing.exchange().address();
        this.uid = listing.uid();
        this.endpoint = listing.endpoint();
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.backoff = backoff;
        this.events = events;
        this.metrics = metrics;
        this.recovery = new LostReleaseRecovery(loop,
                () -> connections.values().stream().anyMatch(ExchangeConnection::isHalfClosed), this::reconnect);
    }

    /** Applies a new directory entry of the exchange and connects if there is no responsive connection. */
    void update(DirectoryEntry listing) {
        readiness = listing.exchange().readiness();
        if (!endpoint.equals(listing.endpoint())) {
            // The exchange has a new address; the old one may already belong to another exchange.
            endpoint = listing.endpoint();
            connections.values().forEach(ExchangeConnection::markAtFormerAddress);
        }
        if (newestUsable() == null) {
            connect();
        }
    }

    /**
     * Whether start-up need not wait for this exchange any longer: it has left the directory, has reported the state of
     * its group of circuits, could not be connected to, or has sent nothing on a connection for
     * {@value #INITIAL_REPORT_CONNECT_TIMES} times the connect time, although the report is the first message on a
     * connection. The last condition covers an exchange that accepts connections but has no state to report yet: a
     * fleet always has one, and without it every starting softswitch would wait for that exchange.
     */
    boolean startupComplete() {
        return retired || stateReported || connectFailed || connections.values().stream()
                .anyMatch(connection -> loop.now() - connection.connectedAt()
                        >= Math.max(MIN_INITIAL_REPORT_WAIT_MICROS,
                                INITIAL_REPORT_CONNECT_TIMES * connectDurationMicros));
    }

    /** Closes all connections, opens no further ones, and fails the attempts that wait for a connection. */
    void close(CloseReason reason) {
        closed = true;
        stopped = true;
        recovery.stop();
        failWaiting();
        List.copyOf(connections.values()).forEach(connection -> connection.close(reason));
    }

    /**
     * Ends the use of an exchange that has left the directory: gives up its attempts and opens no further connections.
     * The open ones, and one that is being opened, are only read, until the exchange closes them, since releases of
     * calls may still be under way on them.
     *
     * @param maxMicros the time after which they are closed in any case
     */
    void retire(long maxMicros) {
        closed = true;
        retired = true;
        recovery.stop();
        LOG.info("exchange {} {} {} has left the directory, {} connections are read for up to {} ms", exchangeNumber,
                uid, endpoint, connections.size(), maxMicros / 1_000);
        failWaiting();
        for (ExchangeConnection connection : connections.values()) {
            for (Attempt attempt : connection.removeAttempts()) {
                metrics.count("sent.CANCEL");
                connection.write(messages.cancel(attempt));
                events.accept(new Event.AttemptAborted(attempt, Status.RESET));
            }
        }
        removeIfDone();
        loop.at(loop.now() + maxMicros, () -> close(CloseReason.GONE));
    }

    /** Removes a retired link once it has no connection and none is being opened. */
    private void removeIfDone() {
        if (retired && connections.isEmpty() && !connecting && pendingChecks == 0) {
            links.remove(exchangeNumber);
        }
    }

    /**
     * Whether another link leads to the same exchange: to the same address, or to the same id. An exchange gets a new
     * number when it leaves the directory and returns, and its address may pass to another exchange.
     */
    boolean hasSameExchangeAs(Link other) {
        return endpoint.equals(other.endpoint) || uid.equals(other.uid);
    }

    /** Returns the address of the exchange. */
    InetSocketAddress endpoint() {
        return endpoint;
    }

    /** Whether the exchange has left the directory. */
    boolean isRetired() {
        return retired;
    }

    /**
     * Whether the link has open connections and all of them are idle: no attempt is in progress or waiting, no message
     * has been received in part, and all written data has been sent.
     */
    boolean idle() {
        return !connections.isEmpty() && waitingAttempts.isEmpty()
                && connections.values().stream().allMatch(ExchangeConnection::isIdle);
    }

    /** Returns when a set-up was last sent, in microseconds since the Unix epoch; 0 if never. */
    long lastUsedAt() {
        return lastUsedAt;
    }

    /** Closes all connections so that other links can open theirs; the next message to be sent connects again. */
    void evict() {
        List.copyOf(connections.values()).forEach(connection -> connection.close(CloseReason.MADE_ROOM));
    }

    /** Closes the connections without attempts, except for the oldest of them. */
    void closeIdle() {
        connections.values().stream().filter(connection -> connection.hasNoAttempts() && !connection.isHalfClosed())
                .skip(1).forEach(connection -> halfClose(connection, CloseReason.SILENT));
    }

    // Requests of the planner.

    /**
     * Sends a set-up, or queues it until a connection is open. The set-up fails if the queue is full or the link is
     * closed or retired.
     */
    void invite(Attempt attempt) {
        ExchangeConnection connection = closed ? null : newestUsable();
        if (connection != null) {
            send(connection, attempt);
        } else if (closed || waitingAttempts.size() >= MAX_WAITING_ATTEMPTS) {
            events.accept(new Event.AttemptAborted(attempt, Status.CONNECT_FAILED));
        } else {
            waitingAttempts.add(attempt);
            connect();
        }
    }

    private void send(ExchangeConnection connection, Attempt attempt) {
        SipMessage invite = messages.invite(attempt, attempt.deadline() - loop.now());
        if (!invite.isEncodable()) {
            metrics.count("sent.unencodable");
            CALLS.warn("a set-up to exchange={} is not sent: a field holds control characters", exchangeNumber);
            events.accept(new Event.AttemptAborted(attempt, Status.ERROR));
            return;
        }
        connection.addAttempt(attempt);
        lastUsedAt = loop.now();
        metrics.count("sent.INVITE");
        connection.write(invite);
    }

    /** Cancels an attempt that has not been answered yet. */
    void cancelAttempt(Attempt attempt) {
        if (waitingAttempts.remove(attempt)) {
            return;
        }
        for (ExchangeConnection connection : connections.values()) {
            if (connection.removeAttempt(attempt)) {
                metrics.count("sent.CANCEL");
                connection.write(messages.cancel(attempt));
                replaceIfUnresponsive(connection, attempt);
                return;
            }
        }
    }

    /**
     * Marks a connection as unresponsive and opens another one if nothing has been received since the set-up was sent,
     * at least half the connect timeout ago. A machine that has crashed or was cut off for a while leaves connections
     * that stay open without traffic indefinitely, and releases sent on them are lost.
     */
    private void replaceIfUnresponsive(ExchangeConnection connection, Attempt attempt) {
        if (loop.now() >= attempt.sentAt() + connectTimeoutMicros / 2
                && connection.lastReceivedAt() <= attempt.sentAt()) {
            connection.markUnresponsive();
            LOG.info("exchange {} {} is unresponsive: nothing received for {} ms, no response to the set-up of call {}"
                    + " local-port={}", exchangeNumber, endpoint, (loop.now() - connection.lastReceivedAt()) / 1_000,
                    attempt.request().id(), connection.localPort());
            // Connect even if another connection works: the exchange repeats on a new connection the releases of calls
            // that were set up on the unresponsive one.
            connect();
        }
    }

    /**
     * Releases an established call. Without a responsive connection the release is queued until there is one, since a
     * lost release would leave circuits occupied.
     */
    void release(String call, int cause) {
        callEnded(call);
        SipMessage bye = messages.bye(call, cause);
        metrics.count("sent.BYE");
        ExchangeConnection connection = newestUsable();
        if (connection != null) {
            connection.write(bye);
        } else if (!closed && unsentReleases.size() < MAX_UNSENT_RELEASES) {
            unsentReleases.add(bye);
            connect();
        } else {
            metrics.count("sent.releases-dropped");
            CALLS.info("{} release to exchange={} dropped: {}", call, exchangeNumber,
                    closed ? "it has left the directory" : "too many wait for a connection");
        }
    }

    // Connections.

    /** Returns the newest connection on which messages may be sent, or null. */
    private ExchangeConnection newestUsable() {
        ExchangeConnection newest = null;
        for (ExchangeConnection connection : connections.values()) {
            newest = connection.isUsable() ? connection : newest;
        }
        return newest;
    }

    /**
     * Closes the oldest connection that is only read if there are too many for another one.
     *
     * @return whether another one may be opened
     */
    private boolean makeRoomForConnection() {
        if (connections.size() < MAX_CONNECTIONS) {
            return true;
        }
        Optional<ExchangeConnection> halfClosed =
                connections.values().stream().filter(ExchangeConnection::isHalfClosed).findFirst();
        halfClosed.ifPresent(connection -> connection.close(CloseReason.UNCONFIRMED));
        return halfClosed.isPresent();
    }

    private void connect() {
        if (connecting || closed || !makeRoomForConnection()) {
            return;
        }
        if (!links.reserveConnection(!waitingAttempts.isEmpty() || !unsentReleases.isEmpty())) {
            connectFailed = true;
            failWaiting();
            if (!unsentReleases.isEmpty()) {
                scheduleReconnect();
            }
            return;
        }
        connecting = true;
        long startedAt = loop.now();
        InetSocketAddress target = endpoint;
        metrics.count("sent.connects");
        openConnection(connectTimeoutMicros, future -> {
            connecting = false;
            onConnectDone(future, startedAt, target);
        });
    }

    /**
     * Opens an additional connection to check an exchange from which nothing has been received for a while: a live
     * exchange sends the first message on each new connection. The connect timeout is longer than that of other
     * connects. If more than one connection is open, the oldest idle one is closed first; whatever the exchange sends
     * on that one at the same moment, it repeats on the next.
     *
     * @return false if no connection can be opened now
     */
    boolean checkLiveness() {
        if (closed || pendingChecks >= MAX_PENDING_CHECKS) {
            return false;
        }
        if (connections.values().stream().filter(connection -> !connection.isHalfClosed()).count() > 1) {
            halfCloseOldestIdle();
        }
        return openAdditionalConnection();
    }

    private boolean openAdditionalConnection() {
        if (!makeRoomForConnection() || !links.reserveConnection(true)) {
            return false;
        }
        pendingChecks++;
        long startedAt = loop.now();
        InetSocketAddress target = endpoint;
        metrics.count("sent.checks");
        openConnection(Math.max(connectTimeoutMicros, MIN_CHECK_CONNECT_TIMEOUT_MICROS), future -> {
            pendingChecks--;
            onConnectDone(future, startedAt, target);
        });
        return true;
    }

    private void openConnection(long timeoutMicros, ChannelFutureListener listener) {
        new Bootstrap().group(loop.group()).channelFactory(NioSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MessageHandler.READ_BYTES))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, timeoutMicros / 1_000))
                .handler(new ChannelInitializer<NioSocketChannel>() {
                    @Override
                    protected void initChannel(NioSocketChannel channel) {
                        channel.pipeline().addLast(new MessageHandler<>("exchange " + exchangeNumber, new SipDecoder(),
                                Link.this, loop.input()));
                    }
                })
                .connect(endpoint)
                .addListener(listener);
    }

    private void onConnectFailed(Throwable cause) {
        links.releaseConnection();
        connectFailed = true;
        CloseReason reason = cause instanceof ConnectTimeoutException ? CloseReason.CONNECT_TIMEOUT
                : cause instanceof ConnectException ? CloseReason.REFUSED : CloseReason.RESET;
        LOG.info("exchange {} {} ended {}", exchangeNumber, endpoint, reason);
        removeIfDone();
        ExchangeConnection connection = newestUsable();
        if (connection != null) {
            sendWaiting(connection);
            return;
        }
        failWaiting();
        if (reason == CloseReason.REFUSED && connections.isEmpty()) {
            // A refused connect proves that the process is down, so its established calls are cut. A connect that is
            // reset or times out proves nothing, nor does a refusal while an unresponsive connection is still open: an
            // exchange that has reached its own limit of connections may also be slow.
            events.accept(new Event.ExchangeDown(exchangeNumber));
        }
        scheduleReconnect();
    }

    private void onConnectDone(ChannelFuture future, long startedAt, InetSocketAddress target) {
        if (stopped || leadsElsewhere(target)) {
            discard(future, target);
            return;
        }
        if (!future.isSuccess()) {
            onConnectFailed(future.cause());
            return;
        }
        connectDurationMicros = loop.now() - startedAt;
        for (ExchangeConnection old : List.copyOf(connections.values())) {
            if (old.isToBeReplaced()) {
                halfClose(old, CloseReason.SILENT);
            }
        }
        ExchangeConnection connection = new ExchangeConnection(loop, future.channel());
        connections.put(future.channel(), connection);
        LOG.info("exchange {} {} {} local-port={} connected in {} ms, {} open, {} set-ups waiting", exchangeNumber, uid,
                endpoint, connection.localPort(), connectDurationMicros / 1_000, connections.size(),
                waitingAttempts.size());
        sendReleases(connection);
        sendWaiting(connection);
    }

    /** Whether a connection to this address leads to another exchange, although the connect was begun for this one. */
    private boolean leadsElsewhere(InetSocketAddress target) {
        return !target.equals(endpoint) || retired && links.hasSuccessorAt(target);
    }

    /** Closes a connection that is of no use; a failed connect to a former address tells nothing of the exchange. */
    private void discard(ChannelFuture future, InetSocketAddress target) {
        links.releaseConnection();
        future.channel().close();
        if (!stopped) {
            LOG.info("exchange {} {} is no longer at {}, a connect to it is dropped", exchangeNumber, uid, target);
        }
        removeIfDone();
        if (newestUsable() == null) {
            connect();
        }
    }

    /** Ends the use of a connection, which is read until the exchange closes it. */
    private void halfClose(ExchangeConnection connection, CloseReason reason) {
        abortAttempts(connection);
        connection.halfClose(reason);
        recovery.connectionClosed(connection.establishedCalls());
    }

    /** Opens a new connection beside the others, on which the exchange repeats the releases that may be lost. */
    private void reconnect(int calls) {
        if (pendingChecks > 0) {
            return;
        }
        LOG.info("exchange {} {} has not closed a connection in return, {} calls have none: connecting again",
                exchangeNumber, endpoint, calls);
        if (!makeRoomForConnection()) {
            halfCloseOldestIdle();
        }
        openAdditionalConnection();
    }

    private void halfCloseOldestIdle() {
        connections.values().stream().filter(connection -> connection.hasNoAttempts() && !connection.isHalfClosed())
                .findFirst().ifPresent(connection -> halfClose(connection, CloseReason.REPLACED));
    }

    /** Forgets an established call, which has ended. */
    void callEnded(String call) {
        recovery.callEnded(call);
        connections.values().forEach(connection -> connection.callEnded(call));
    }

    private void abortAttempts(ExchangeConnection connection) {
        connection.removeAttempts().forEach(attempt ->
                events.accept(new Event.AttemptAborted(attempt, Status.RESET)));
    }

    /** Sends the set-ups that have waited for a connection. */
    private void sendWaiting(ExchangeConnection connection) {
        while (!waitingAttempts.isEmpty()) {
            Attempt attempt = waitingAttempts.remove();
            // A draining exchange must not receive set-ups, and it may have begun to drain during the connect.
            if (readiness != Readiness.READY) {
                events.accept(new Event.AttemptAborted(attempt, Status.CONNECT_FAILED));
            } else if (attempt.isPending()) {
                send(connection, attempt);
            }
        }
    }

    private void sendReleases(ExchangeConnection connection) {
        while (!unsentReleases.isEmpty()) {
            connection.write(unsentReleases.remove());
        }
    }

    private void failWaiting() {
        while (!waitingAttempts.isEmpty()) {
            events.accept(new Event.AttemptAborted(waitingAttempts.remove(), Status.CONNECT_FAILED));
        }
    }

    private void scheduleReconnect() {
        if (reconnectScheduled || closed) {
            return;
        }
        reconnectScheduled = true;
        long delayMicros = backoff.next();
        LOG.info("exchange {} {} reconnecting in {} ms", exchangeNumber, endpoint, delayMicros / 1_000);
        loop.at(loop.now() + delayMicros, () -> {
            reconnectScheduled = false;
            if (newestUsable() == null) {
                connect();
            }
        });
    }

    @Override
    public void ended(Channel channel, CloseReason reason) {
        ExchangeConnection connection = connections.remove(channel);
        if (connection == null) {
            return;
        }
        links.releaseConnection();
        abortAttempts(connection);
        if (reason == CloseReason.UNCONFIRMED) {
            recovery.connectionLost();
        }
        recovery.connectionClosed(connection.establishedCalls());
        removeIfDone();
        boolean replaced = connection.isHalfClosed() || reason == CloseReason.MADE_ROOM
                || connections.values().stream().anyMatch(other -> !other.isHalfClosed());
        if (replaced) {
            return;
        }
        if (connection.hasReceived()) {
            connect();
        } else {
            // An exchange that has reached its limit of connections accepts new ones and closes them before it sends
            // anything. Without a delay all softswitches would reconnect to it in a tight loop.
            scheduleReconnect();
        }
    }

    // Messages of the exchange.

    @Override
    public void received(Channel channel, SipMessage message) {
        ExchangeConnection connection = connections.get(channel);
        if (connection == null) {
            return;
        }
        boolean first = !connection.hasReceived();
        connection.messageReceived();
        if (first) {
            backoff.reset();
        }
        if (connection.isUsable()) {
            sendReleases(connection);
            sendWaiting(connection);
        }
        if (!message.isRequest()) {
            handleResponse(connection, message);
            return;
        }
        Report report = LoadReportParser.parse(message.header("X-Gauges"));
        switch (message.method()) {
            case "NOTIFY" -> {
                stateReported = true;
                if (!first) {
                    replaceConnectionsWithoutReports(connection);
                }
                events.accept(new Event.Reported(exchangeNumber, report,
                        first ? connection.connectedAt() : Event.Reported.UNSOLICITED));
            }
            case "BYE" -> {
                CALLS.debug("{} release read exchange={} local-port={}", message.callId(), exchangeNumber,
                        connection.localPort());
                connection.write(message.reply(200, "OK"));
                events.accept(new Event.Released(exchangeNumber, links.otherNumbers(this), message.callId(),
                        ExchangeMessages.releaseCause(message), report));
            }
            case "ACK" -> events.accept(new Event.ExchangeAlive(exchangeNumber));
            default -> {
                events.accept(new Event.ExchangeAlive(exchangeNumber));
                connection.write(message.reply(405, "Method Not Allowed"));
            }
        }
    }

    /** Ends the use of the connections that have missed the state reports which arrived on another one. */
    private void replaceConnectionsWithoutReports(ExchangeConnection reporting) {
        for (ExchangeConnection other : connections.values()) {
            if (other != reporting && other.isUsable() && other.hasNoAttempts() && other.hasMissedReports()) {
                LOG.info("exchange {} {} sends no state reports on the connection with local-port={}", exchangeNumber,
                        endpoint, other.localPort());
                halfClose(other, CloseReason.SILENT);
            }
        }
    }

    private void handleResponse(ExchangeConnection connection, SipMessage message) {
        if (!message.cseqMethod().equals("INVITE") || message.status() < 200) {
            events.accept(new Event.ExchangeAlive(exchangeNumber));
            return;
        }
        metrics.count("taken." + message.status());
        if (message.status() < 300) {
            handleAcceptance(connection, message);
        } else {
            handleRejection(connection, message);
        }
    }

    private void handleAcceptance(ExchangeConnection connection, SipMessage message) {
        String call = message.callId();
        connection.write(messages.ack(message, connection.removeAttempt(call)));
        connection.callEstablished(call);
        events.accept(new Event.Answered(exchangeNumber, call, message.body()));
    }

    /**
     * Handles a rejection. One of an attempt that has ended, such as a second copy, must not end the next attempt of
     * the call, which the exchange still works on. If the rejection does not tell, the next attempt is cancelled.
     */
    private void handleRejection(ExchangeConnection connection, SipMessage message) {
        String call = message.callId();
        Attempt attempt = connection.attempt(call);
        OptionalInt rejectedIndex = ExchangeMessages.attemptIndex(message);
        if (attempt == null || rejectedIndex.isPresent() && rejectedIndex.getAsInt() != attempt.index()) {
            connection.write(messages.ack(message, null));
            metrics.count("taken.stale-rejections");
            CALLS.info("{} rejection ignored reason=ATTEMPT_ENDED exchange={} status={}", call, exchangeNumber,
                    message.status());
            events.accept(new Event.ExchangeAlive(exchangeNumber));
            return;
        }
        connection.removeAttempt(call);
        connection.write(messages.ack(message, attempt));
        if (rejectedIndex.isEmpty() && attempt.mayBeConfusedWithEarlier(loop.now())) {
            metrics.count("taken.unclear-rejections");
            CALLS.info("{} attempt={} cancelled, a rejection by exchange={} may be that of an earlier attempt", call,
                    attempt.index(), exchangeNumber);
            metrics.count("sent.CANCEL");
            connection.write(messages.cancel(attempt));
            events.accept(new Event.AttemptAborted(attempt, Status.CANCELLED));
            return;
        }
        events.accept(new Event.Rejected(exchangeNumber, call, ExchangeMessages.status(message.status()),
                ExchangeMessages.cause(message.header("X-Outcome")),
                LoadReportParser.parse(message.header("X-Gauges"))));
    }
}
