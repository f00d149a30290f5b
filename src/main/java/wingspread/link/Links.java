package wingspread.link;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Status;
import wingspread.core.Attempt;
import wingspread.core.Event;
import wingspread.core.ExchangeTransport;
import wingspread.directory.DirectoryEntry;
import wingspread.metrics.Metrics;
import wingspread.net.CloseReason;
import wingspread.net.Loop;
import wingspread.storm.ReconnectParameters;

/** The connections to all exchanges, by the number that the directory assigned to each exchange. */
public final class Links implements ExchangeTransport {
    private static final Logger LOG = LoggerFactory.getLogger("connection");
    private static final Logger CALLS = LoggerFactory.getLogger("call");
    private static final Comparator<Link> LEAST_NEEDED =
            Comparator.comparing(Link::isRetired).thenComparingLong(Link::lastUsedAt);

    /** The term within which callers are told of the end of a call, and so the longest use of a late release. */
    private static final long RETIREMENT_MICROS = 8_000_000;

    private final Loop loop;
    private final Consumer<Event> events;
    private final Metrics metrics;
    private final long connectTimeoutMicros;
    private final int ownExchangeIndex;
    private final ReconnectParameters reconnectParameters;
    private final RandomGenerator random;
    private final long retirementMicros;
    private final Map<Long, Link> links = new LinkedHashMap<>();
    private final IntSupplier maxConnections;
    private int openCount;
    private boolean limitReported;
    private boolean closed;

    /**
     * Creates the links without any exchange; {@link #update} adds them.
     *
     * @param connectTimeoutMicros time after which a connect fails, in microseconds
     * @param ownExchangeIndex index of the exchange that this softswitch serves, to which it opens no connection
     * @param maxConnections current limit of connections that are open or being opened, of all links together
     * @param reconnectParameters delays between two connects of one link
     * @param random source of the jitter of these delays
     * @param events receives what happens on the connections
     */
    public Links(Loop loop, long connectTimeoutMicros, int ownExchangeIndex, IntSupplier maxConnections,
            ReconnectParameters reconnectParameters, RandomGenerator random, Consumer<Event> events, Metrics metrics) {
        this(loop, connectTimeoutMicros, ownExchangeIndex, maxConnections, reconnectParameters, random, events, metrics,
                RETIREMENT_MICROS);
    }

    /** Creates the links with another time for which connections to removed exchanges are read. */
    Links(Loop loop, long connectTimeoutMicros, int ownExchangeIndex, IntSupplier maxConnections,
            ReconnectParameters reconnectParameters, RandomGenerator random, Consumer<Event> events, Metrics metrics,
            long retirementMicros) {
        this.retirementMicros = retirementMicros;
        this.maxConnections = maxConnections;
        this.reconnectParameters = reconnectParameters;
        this.random = random;
        this.loop = loop;
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.ownExchangeIndex = ownExchangeIndex;
        this.events = events;
        this.metrics = metrics;
    }

    /**
     * Applies changes of the directory. Opens a connection to each listed exchange before the first call to it, and
     * retires the links to exchanges that have been removed.
     */
    public void update(List<DirectoryEntry> listings) {
        if (closed) {
            // The next process is to read what the exchanges send from now on.
            return;
        }
        for (DirectoryEntry listing : listings) {
            if (listing.exchange().place() == ownExchangeIndex) {
                continue;
            }
            long number = listing.exchange().address();
            Link link = links.get(number);
            boolean removed = listing.exchange().readiness() == Readiness.GONE;
            if (link == null && !removed) {
                link = new Link(loop, listing, connectTimeoutMicros, reconnectParameters.backoff(random), this,
                        this::post, metrics);
                links.put(number, link);
            }
            if (link != null && removed) {
                link.retire(retirementMicros);
            } else if (link != null) {
                link.update(listing);
            }
        }
    }

    /** Returns the number of connections that are open or being opened. */
    public int openCount() {
        return openCount;
    }

    /**
     * Reserves a connection for a link; {@link #releaseConnection} gives it back. At the limit, the least recently used
     * idle link may be evicted; it connects again when it has something to send. This keeps the process within its
     * limit of file descriptors in a fleet with more exchanges than the limit allows. Retired links are evicted last,
     * since their exchanges cannot repeat on a further connection what they sent meanwhile.
     *
     * @param mayEvict whether an idle link may be evicted: the caller has something to send or checks its exchange
     * @return whether the link may open a connection
     */
    boolean reserveConnection(boolean mayEvict) {
        if (openCount >= maxConnections.getAsInt()) {
            Link idle = mayEvict ? links.values().stream().filter(Link::idle)
                    .min(LEAST_NEEDED).orElse(null) : null;
            if (!limitReported) {
                limitReported = true;
                LOG.warn("{}: limit reached with {} connections to exchanges; idle ones are evicted on demand",
                        CloseReason.TOO_MANY, openCount);
            }
            if (idle == null) {
                metrics.count("sent.connects-without-room");
                return false;
            }
            idle.evict();
        }
        openCount++;
        return true;
    }

    /** Returns the numbers of the other links that lead to the same exchange as {@code link}. */
    Set<Long> otherNumbers(Link link) {
        return links.entrySet().stream()
                .filter(other -> other.getValue() != link && other.getValue().hasSameExchangeAs(link))
                .map(Map.Entry::getKey).collect(Collectors.toUnmodifiableSet());
    }

    /** Whether a listed exchange has this address. */
    boolean hasSuccessorAt(InetSocketAddress address) {
        return links.values().stream().anyMatch(link -> !link.isRetired() && link.endpoint().equals(address));
    }

    /** Removes a retired link that has no connection left. */
    void remove(long exchange) {
        links.remove(exchange);
    }

    /** Gives back a reserved connection that has been closed or could not be opened. */
    void releaseConnection() {
        openCount--;
    }

    private void post(Event event) {
        events.accept(event);
        loop.requestTurn();
    }

    /** Whether start-up need not wait for any exchange any longer, as {@link Link#startupComplete} describes. */
    public boolean allStarted() {
        return links.values().stream().allMatch(Link::startupComplete);
    }

    /** Closes all connections and opens none later. */
    public void close() {
        closed = true;
        List.copyOf(links.values()).forEach(link -> link.close(CloseReason.SHUTDOWN));
    }

    @Override
    public void invite(Attempt attempt) {
        Link link = links.get(attempt.exchange());
        if (link == null) {
            post(new Event.AttemptAborted(attempt, Status.CONNECT_FAILED));
        } else {
            link.invite(attempt);
        }
    }

    @Override
    public void cancelAttempt(Attempt attempt) {
        Link link = links.get(attempt.exchange());
        if (link != null) {
            link.cancelAttempt(attempt);
        }
    }

    @Override
    public void release(long exchange, String call, int cause) {
        Link link = links.get(exchange);
        if (link == null) {
            metrics.count("sent.releases-dropped");
            CALLS.info("{} release to exchange={} dropped: it has left the directory", call, exchange);
            return;
        }
        link.release(call, cause);
    }

    @Override
    public void callEnded(long exchange, String call) {
        Link link = links.get(exchange);
        if (link != null) {
            link.callEnded(call);
        }
    }

    @Override
    public boolean checkLiveness(long exchange) {
        Link link = links.get(exchange);
        return link != null && link.checkLiveness();
    }

    @Override
    public void closeIdle(long exchange) {
        Link link = links.get(exchange);
        if (link != null) {
            link.closeIdle();
        }
    }
}
