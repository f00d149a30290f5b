package wingspread.link;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Status;
import wingspread.core.Attempt;
import wingspread.core.Event;
import wingspread.core.Exchanges;
import wingspread.directory.Listing;
import wingspread.net.CloseReason;
import wingspread.net.Loop;
import wingspread.metrics.Metrics;
import wingspread.storm.ReconnectFigures;

/** The connections to all exchanges, by the number that the directory gave each. */
public final class Links implements Exchanges {
    private static final Logger LOG = LoggerFactory.getLogger("connection");

    private final Loop loop;
    private final Consumer<Event> planner;
    private final Metrics metrics;
    private final long connectTimeout;
    private final int ownPlace;
    private final ReconnectFigures reconnects;
    private final RandomGenerator random;
    private final Map<Long, Link> links = new LinkedHashMap<>();
    private final IntSupplier most;
    private int open;
    private boolean full;

    /**
     * Links that wait before they connect again as these figures say, with this randomness.
     *
     * @param most connections that may be open or coming up, of all links together
     */
    public Links(Loop loop, long connectTimeout, int ownPlace, IntSupplier most, ReconnectFigures reconnects,
            RandomGenerator random, Consumer<Event> planner, Metrics metrics) {
        this.most = most;
        this.reconnects = reconnects;
        this.random = random;
        this.loop = loop;
        this.connectTimeout = connectTimeout;
        this.ownPlace = ownPlace;
        this.planner = planner;
        this.metrics = metrics;
    }

    /** Takes news of the exchanges: opens one connection early to each that can be called. */
    public void update(List<Listing> listings) {
        for (Listing listing : listings) {
            if (listing.exchange().place() == ownPlace) {
                continue;
            }
            long number = listing.exchange().address();
            Link link = links.get(number);
            boolean gone = listing.exchange().readiness() == Readiness.GONE;
            if (link == null && !gone) {
                link = new Link(loop, number, listing.endpoint(), connectTimeout,
                        reconnects.backoff(random), this, this::post, metrics);
                links.put(number, link);
            }
            if (link != null && gone) {
                link.close(CloseReason.GONE);
                links.remove(number);
            } else if (link != null) {
                link.listed(listing);
            }
        }
    }

    /** Connections that are open or coming up. */
    public int open() {
        return open;
    }

    /**
     * Whether a link may open a connection, which is counted until {@link #left}. Where there is no room and a set-up
     * or a release wants it, the idle link that was used longest ago leaves its place; that one connects again when
     * something is to be sent on it. Guards the limit of descriptors in a fleet of more exchanges than it allows.
     */
    boolean enters(boolean wanted) {
        if (open >= most.getAsInt()) {
            Link idle = wanted ? links.values().stream().filter(Link::idle)
                    .min(Comparator.comparingLong(Link::usedAt)).orElse(null) : null;
            if (!full) {
                full = true;
                LOG.warn("{}: {} connections to exchanges are open and no more may be; they are shared from now on",
                        CloseReason.TOO_MANY, open);
            }
            if (idle == null) {
                metrics.count("sent.connects-without-room");
                return false;
            }
            idle.makeRoom();
        }
        open++;
        return true;
    }

    /** A connection that entered has ended or did not come up. */
    void left() {
        open--;
    }

    private void post(Event event) {
        planner.accept(event);
        loop.wantTurn();
    }

    /** Whether each exchange has told its group's state, or could not be reached. */
    public boolean settled() {
        return links.values().stream().allMatch(Link::settled);
    }

    /** Closes all connections. */
    public void close() {
        links.values().forEach(link -> link.close(CloseReason.SHUTDOWN));
    }

    @Override
    public void invite(Attempt attempt) {
        Link link = links.get(attempt.exchange());
        if (link == null) {
            post(new Event.Broken(attempt, Status.CONNECT_FAILED));
        } else {
            link.invite(attempt);
        }
    }

    @Override
    public void withdraw(Attempt attempt) {
        Link link = links.get(attempt.exchange());
        if (link != null) {
            link.withdraw(attempt);
        }
    }

    @Override
    public void release(long exchange, String call, int cause) {
        Link link = links.get(exchange);
        if (link != null) {
            link.release(call, cause);
        }
    }

    @Override
    public boolean check(long exchange) {
        Link link = links.get(exchange);
        return link != null && link.check();
    }

    @Override
    public void closeIdle(long exchange) {
        Link link = links.get(exchange);
        if (link != null) {
            link.closeIdle();
        }
    }
}
