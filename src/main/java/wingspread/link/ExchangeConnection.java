package wingspread.link;

import io.netty.channel.Channel;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wingspread.core.Attempt;
import wingspread.net.CloseReason;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;
import wingspread.sip.SipMessage;

/** One open connection to an exchange, with the set-ups that await their final response on it. */
final class ExchangeConnection {
    /** The term within which callers are told of the end of a call, and so the longest use of a late release. */
    private static final long MAX_HALF_CLOSED_MICROS = 8_000_000;
    /** Maximum time between the arrivals of one state report on two connections. */
    private static final long MAX_REPORT_SKEW_MICROS = 1_000_000;

    private final Loop loop;
    private final Channel channel;
    private final Map<String, Attempt> attempts = new LinkedHashMap<>();
    /** The established calls that were set up on this connection, on which the exchange sends their releases first. */
    private final Set<String> establishedCalls = new HashSet<>();
    private final long connectedAt;
    private long lastReceivedAt;
    /** When a state report arrived on another connection and not on this one, in microseconds; 0 if never. */
    private long missedReportAt;
    private boolean hasReceived;
    private boolean unresponsive;
    private boolean halfClosed;
    /** Whether it leads to an address that the exchange has left, and that may belong to another one by now. */
    private boolean atFormerAddress;

    ExchangeConnection(Loop loop, Channel channel) {
        this.loop = loop;
        this.channel = channel;
        connectedAt = loop.now();
        lastReceivedAt = connectedAt;
    }

    /** Returns when the connection was established, in microseconds since the Unix epoch. */
    long connectedAt() {
        return connectedAt;
    }

    /** Returns the local port, which identifies the connection in the log. */
    int localPort() {
        return MessageHandler.localPort(channel);
    }

    // State.

    /**
     * Whether messages may be sent: the connection is open in both directions, leads to the present address of the
     * exchange and is not known to be unresponsive.
     */
    boolean isUsable() {
        return !unresponsive && !atFormerAddress && !halfClosed && channel.isActive();
    }

    /** Whether it was closed for sending and is only read. */
    boolean isHalfClosed() {
        return halfClosed;
    }

    /** Whether no set-up awaits its final response. */
    boolean hasNoAttempts() {
        return attempts.isEmpty();
    }

    /** Whether it is open, no set-up is in progress, no message is received in part, and all data has been sent. */
    boolean isIdle() {
        return attempts.isEmpty() && channel.isActive() && !MessageHandler.hasPendingData(channel);
    }

    boolean hasReceived() {
        return hasReceived;
    }

    /** Whether it is to be closed once there is another one. */
    boolean isToBeReplaced() {
        return unresponsive || atFormerAddress;
    }

    /** Ends the use of a connection to an address that the exchange has left. */
    void markAtFormerAddress() {
        atFormerAddress = true;
    }

    void markUnresponsive() {
        unresponsive = true;
    }

    /** Records a message from the exchange, which shows that the connection works. */
    void messageReceived() {
        lastReceivedAt = loop.now();
        hasReceived = true;
        unresponsive = false;
    }

    /** Returns when a message was last received, in microseconds; at first the time of the connect. */
    long lastReceivedAt() {
        return lastReceivedAt;
    }

    /**
     * Records that a state report has arrived on another connection. An exchange sends each one on all open
     * connections.
     *
     * @return whether this connection has missed reports for so long that the network must have lost it
     */
    boolean hasMissedReports() {
        long now = loop.now();
        if (now < lastReceivedAt + MAX_REPORT_SKEW_MICROS) {
            return false;
        }
        if (missedReportAt <= lastReceivedAt) {
            missedReportAt = now;
        }
        return now >= missedReportAt + MAX_REPORT_SKEW_MICROS;
    }

    // Set-ups.

    void addAttempt(Attempt attempt) {
        attempts.put(attempt.request().id(), attempt);
    }

    /** Returns the set-up of a call that awaits its final response on this connection; null if there is none. */
    Attempt attempt(String call) {
        return attempts.get(call);
    }

    /** Removes and returns the set-up of a call; null if there is none. */
    Attempt removeAttempt(String call) {
        return attempts.remove(call);
    }

    /** Removes a set-up, and returns false if it was not sent on this connection. */
    boolean removeAttempt(Attempt attempt) {
        return attempts.remove(attempt.request().id(), attempt);
    }

    /** Removes and returns all set-ups. */
    List<Attempt> removeAttempts() {
        List<Attempt> removed = List.copyOf(attempts.values());
        attempts.clear();
        return removed;
    }

    void callEstablished(String call) {
        establishedCalls.add(call);
    }

    void callEnded(String call) {
        establishedCalls.remove(call);
    }

    Set<String> establishedCalls() {
        return establishedCalls;
    }

    // Sending and closing.

    /** Writes a message, which is sent after the turn; none is written once the connection is closed for sending. */
    void write(SipMessage message) {
        if (!halfClosed) {
            MessageHandler.write(channel, message.encode());
            loop.flushAfterTurn(channel);
        }
    }

    /**
     * Closes the connection for sending and goes on reading it until the exchange closes it too. The exchange may send
     * a release on it until it has read the close, and does not repeat that release on connections opened before.
     */
    void halfClose(CloseReason reason) {
        if (!halfClosed) {
            halfClosed = true;
            MessageHandler.closeOutput(channel, reason, MAX_HALF_CLOSED_MICROS);
        }
    }

    /** Closes the connection in both directions. */
    void close(CloseReason reason) {
        MessageHandler.close(channel, reason);
    }
}
