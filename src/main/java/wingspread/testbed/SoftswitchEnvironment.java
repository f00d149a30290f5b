package wingspread.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.Readiness;
import wingspread.lab.host.Effect;
import wingspread.lab.host.SoftswitchEvent;
import wingspread.lab.host.Softswitches.Start;
import wingspread.net.Loop;

/**
 * One softswitch with its simulated environment: its callers, the exchanges that it reaches and its directory. Events
 * of the model become messages to the softswitch. The messages of the softswitch become effects, which are queued until
 * the model drains them.
 */
final class SoftswitchEnvironment {
    /**
     * Revision of the cached list. The directory serves a later revision by the time it is queried, or the same one,
     * which changes nothing.
     */
    private static final int CACHED_REVISION = 1;

    private final int place;
    private final Loop loop;
    private final WallClockPacing clock;
    private final SoftswitchProcess process;
    private final NameServer nameServer;
    private final int port;
    private final int connections;
    private final Queue<Effect> effects = new ConcurrentLinkedQueue<>();
    // The fields from here on are confined to the event loop.
    private final Map<Long, ExchangeEndpoint> exchanges = new LinkedHashMap<>();
    private final Map<Long, NameServer.ListedExchange> listed = new LinkedHashMap<>();
    private volatile CallerConnections callers;
    private Start start;

    /**
     * Creates the environment of a softswitch that has not been started.
     *
     * @param place number of the softswitch in the fleet
     * @param connections number of connections that its callers share
     * @throws IOException if no port is free
     */
    SoftswitchEnvironment(int place, Loop loop, WallClockPacing clock, SoftswitchProcess process, int connections)
            throws IOException {
        this.place = place;
        this.loop = loop;
        this.clock = clock;
        this.process = process;
        this.connections = connections;
        this.nameServer = new NameServer(loop);
        this.port = Ports.findFreePort();
    }

    /** Sets the settings and seed of the process, which is started later with the first list of exchanges. */
    void setStart(Start newStart) {
        start = newStart;
    }

    /** Whether the softswitch has been started and its callers have started to connect. */
    boolean isStarted() {
        return callers != null;
    }

    int port() {
        return port;
    }

    /** Returns the callers; null before {@link #connect}. */
    CallerConnections callers() {
        return callers;
    }

    SoftswitchProcess process() {
        return process;
    }

    /** Starts the process with the exchanges that the first events of the model list; called on the event loop. */
    void start(List<SoftswitchEvent> first) throws IOException {
        for (SoftswitchEvent happening : first) {
            if (happening instanceof SoftswitchEvent.Listed listing) {
                updateDirectory(listing.entries());
            }
        }
        process.configure(start.settings(), start.seed(), port, nameServer.port(), listed.values(), CACHED_REVISION);
        process.start();
    }

    /** Connects the callers, once the softswitch listens; called on the event loop. */
    void connect() {
        callers = new CallerConnections(loop, port, connections, clock, effects::add);
    }

    /** Starts the process again after its end, with the current list of exchanges; called on the event loop. */
    void restart() throws IOException {
        process.configure(start.settings(), start.seed() + 1, port, nameServer.port(), listed.values(),
                CACHED_REVISION);
        process.start();
    }

    /** Returns the effects since the last call, and removes them from the queue. */
    List<Effect> drainEffects() {
        List<Effect> out = new ArrayList<>();
        for (Effect effect = effects.poll(); effect != null; effect = effects.poll()) {
            out.add(effect);
        }
        return out;
    }

    /** Sends an event of the model to the softswitch; called on the event loop. */
    void deliver(SoftswitchEvent happening) throws IOException {
        if (happening instanceof SoftswitchEvent.Offered h) {
            callers.offer(h.request());
        } else if (happening instanceof SoftswitchEvent.CallerAbandoned h) {
            callers.release(h.call(), 16);
        } else if (happening instanceof SoftswitchEvent.CallerReleased h) {
            callers.release(h.call(), h.cause());
        } else if (happening instanceof SoftswitchEvent.Answered h && exchanges.containsKey(h.exchange())) {
            exchanges.get(h.exchange()).sendAnswer(h.call());
        } else if (happening instanceof SoftswitchEvent.Rejected h && exchanges.containsKey(h.exchange())) {
            exchanges.get(h.exchange()).sendRejection(h.call(), h.status(), h.cause(), h.report());
        } else if (happening instanceof SoftswitchEvent.Released h && exchanges.containsKey(h.exchange())) {
            exchanges.get(h.exchange()).sendRelease(h.call(), h.cause(), h.report());
        } else if (happening instanceof SoftswitchEvent.Reported h && exchanges.containsKey(h.exchange())) {
            exchanges.get(h.exchange()).sendReport(h.report());
        } else if (happening instanceof SoftswitchEvent.AttemptAborted h) {
            // The exchange could not be reached, that is, it has crashed: its sockets are closed with a reset.
            exchanges.values().stream().filter(side -> side.hasPendingInvite(h.call())).toList()
                    .forEach(ExchangeEndpoint::crash);
        } else if (happening instanceof SoftswitchEvent.Listed h) {
            updateDirectory(h.entries());
        }
    }

    private void updateDirectory(List<Exchange> entries) throws IOException {
        for (Exchange entry : entries) {
            updateDirectory(entry);
        }
    }

    private void updateDirectory(Exchange entry) throws IOException {
        if (entry.place() == place) {
            return;
        }
        ExchangeEndpoint side = exchanges.get(entry.address());
        String uid = "x" + entry.address();
        if (entry.readiness() == Readiness.GONE) {
            if (side != null) {
                side.crash();
                exchanges.remove(entry.address());
            }
            listed.remove(entry.address());
            nameServer.remove(uid);
            return;
        }
        if (side == null || side.isClosed()) {
            side = new ExchangeEndpoint(loop, entry.address(), clock, effects::add);
            exchanges.put(entry.address(), side);
        }
        NameServer.ListedExchange listing = new NameServer.ListedExchange(uid, "z" + entry.zone(), entry.place(),
                side.port(), entry.readiness(), clock.unixMillis(entry.upSince()));
        listed.put(entry.address(), listing);
        nameServer.put(listing);
    }

    /** Resets the connections of all its exchanges; called on the event loop. */
    void resetExchangeConnections() {
        exchanges.values().forEach(ExchangeEndpoint::resetConnections);
    }

    /** Closes all sockets; called on the event loop. */
    void close() {
        if (callers != null) {
            callers.close();
        }
        exchanges.values().forEach(ExchangeEndpoint::crash);
        nameServer.close();
    }
}
