package wingspread.link;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
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
    private final Loop loop;
    private final Consumer<Event> planner;
    private final Metrics metrics;
    private final long connectTimeout;
    private final int ownPlace;
    private final ReconnectFigures reconnects;
    private final RandomGenerator random;
    private final Map<Long, Link> links = new LinkedHashMap<>();

    /** Links that wait before they connect again as these figures say, with this randomness. */
    public Links(Loop loop, long connectTimeout, int ownPlace, ReconnectFigures reconnects, RandomGenerator random,
            Consumer<Event> planner, Metrics metrics) {
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
                        reconnects.backoff(random), this::post, metrics);
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
    public void closeIdle(long exchange) {
        Link link = links.get(exchange);
        if (link != null) {
            link.closeIdle();
        }
    }
}
