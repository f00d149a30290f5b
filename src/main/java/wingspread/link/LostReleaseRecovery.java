package wingspread.link;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import wingspread.net.Loop;

/**
 * Recovers releases that an exchange sends on a connection which the network has lost. The exchange does not learn that
 * this side has closed such a connection, and may choose it for the release of any call whose own connection is closed;
 * but it repeats releases on the next connection opened. As long as there is such a connection, and there are such
 * calls, this class requests new connections. Confined to the loop.
 */
final class LostReleaseRecovery {
    /** Time within which an exchange that reads a close closes its side too. */
    private static final long CLOSE_CONFIRMATION_MICROS = 1_000_000;
    /** Two of these fit into the 8 s within which callers must be notified, after the confirmation. */
    private static final long RECONNECT_INTERVAL_MICROS = 2_500_000;

    private final Loop loop;
    private final BooleanSupplier closeUnconfirmed;
    private final IntConsumer reconnect;
    /** The established calls whose connection is closed; no more than the planner keeps. */
    private final Set<String> callsWithoutConnection = new HashSet<>();
    /** Whether the exchange did not close a connection in return for as long as that was awaited. */
    private boolean lostConnection;
    private boolean scheduled;
    private boolean stopped;

    /**
     * Creates a recovery for one exchange.
     *
     * @param closeUnconfirmed whether this side has closed a connection that the exchange has not closed yet
     * @param reconnect opens a new connection; receives the number of calls concerned
     */
    LostReleaseRecovery(Loop loop, BooleanSupplier closeUnconfirmed, IntConsumer reconnect) {
        this.loop = loop;
        this.closeUnconfirmed = closeUnconfirmed;
        this.reconnect = reconnect;
    }

    /** Records that a connection is closed, by this side or by both, on which these established calls were set up. */
    void connectionClosed(Collection<String> establishedCalls) {
        if (!stopped) {
            callsWithoutConnection.addAll(establishedCalls);
            schedule(CLOSE_CONFIRMATION_MICROS);
        }
    }

    /** Records that a connection has ended on this side alone, as far as is known. */
    void connectionLost() {
        lostConnection = true;
    }

    /** Records the end of an established call. */
    void callEnded(String call) {
        callsWithoutConnection.remove(call);
    }

    /** Requests no further connections: the exchange has left the directory, or this process is shutting down. */
    void stop() {
        stopped = true;
        callsWithoutConnection.clear();
    }

    private void schedule(long delayMicros) {
        if (!scheduled && !callsWithoutConnection.isEmpty()) {
            scheduled = true;
            loop.at(loop.now() + delayMicros, this::reconnectIfNeeded);
        }
    }

    private void reconnectIfNeeded() {
        scheduled = false;
        if (!callsWithoutConnection.isEmpty() && (lostConnection || closeUnconfirmed.getAsBoolean())) {
            reconnect.accept(callsWithoutConnection.size());
            schedule(RECONNECT_INTERVAL_MICROS);
        }
    }
}
