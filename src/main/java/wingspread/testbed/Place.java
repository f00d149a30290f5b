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
import wingspread.lab.host.Happening;
import wingspread.lab.host.Softswitches.Start;
import wingspread.net.Loop;

/**
 * One softswitch with all that it is joined to: its callers, the exchanges that it reaches, its directory. Happenings
 * become messages on its wires, and what it sends becomes effects, which wait until the model takes them.
 */
final class Place {
    /** The directory has told more by then, or tells it again, which changes nothing. */
    private static final int FIRST_EVENT = 1;

    private final int place;
    private final Loop loop;
    private final Clock clock;
    private final SoftswitchProcess process;
    private final NameServer names;
    private final int port;
    private final int connections;
    private final Queue<Effect> effects = new ConcurrentLinkedQueue<>();
    // Confined to the loop from here on.
    private final Map<Long, ExchangeSide> exchanges = new LinkedHashMap<>();
    private final Map<Long, NameServer.Named> listed = new LinkedHashMap<>();
    private volatile CallerSide callers;
    private Start start;

    Place(int place, Loop loop, Clock clock, SoftswitchProcess process, int connections) throws IOException {
        this.place = place;
        this.loop = loop;
        this.clock = clock;
        this.process = process;
        this.connections = connections;
        this.names = new NameServer(loop);
        this.port = Ports.free();
    }

    /** Notes how it is to start; it does so with the first list of exchanges. */
    void begin(Start how) {
        start = how;
    }

    boolean started() {
        return callers != null;
    }

    int port() {
        return port;
    }

    CallerSide callers() {
        return callers;
    }

    SoftswitchProcess process() {
        return process;
    }

    /** Starts the process with the exchanges that the model names first; on the loop. */
    void start(List<Happening> first) throws IOException {
        for (Happening happening : first) {
            if (happening instanceof Happening.Listed listing) {
                listed(listing.entries());
            }
        }
        process.configure(start.settings(), start.seed(), port, names.port(), listed.values(), FIRST_EVENT);
        process.start();
    }

    /** It listens: the callers connect; on the loop. */
    void connect() {
        callers = new CallerSide(loop, port, connections, clock, effects::add);
    }

    /** Starts it again after its end, with the list as it is now; on the loop. */
    void startAgain() throws IOException {
        process.configure(start.settings(), start.seed() + 1, port, names.port(), listed.values(), FIRST_EVENT);
        process.start();
    }

    /** What it has done since the last time. */
    List<Effect> drain() {
        List<Effect> out = new ArrayList<>();
        for (Effect effect = effects.poll(); effect != null; effect = effects.poll()) {
            out.add(effect);
        }
        return out;
    }

    /** Tells it what has happened; on the loop. */
    void tell(Happening happening) throws IOException {
        if (happening instanceof Happening.Offered h) {
            callers.offer(h.request());
        } else if (happening instanceof Happening.CallerAbandoned h) {
            callers.end(h.call(), 16);
        } else if (happening instanceof Happening.CallerReleased h) {
            callers.end(h.call(), h.cause());
        } else if (happening instanceof Happening.Answered h && exchanges.containsKey(h.exchange())) {
            exchanges.get(h.exchange()).answered(h.call());
        } else if (happening instanceof Happening.Rejected h && exchanges.containsKey(h.exchange())) {
            exchanges.get(h.exchange()).rejected(h.call(), h.status(), h.cause(), h.report());
        } else if (happening instanceof Happening.Released h && exchanges.containsKey(h.exchange())) {
            exchanges.get(h.exchange()).released(h.call(), h.cause(), h.report());
        } else if (happening instanceof Happening.Reported h && exchanges.containsKey(h.exchange())) {
            exchanges.get(h.exchange()).reported(h.report());
        } else if (happening instanceof Happening.AttemptAborted h) {
            // The exchange that could not be reached has died: so do its sockets.
            exchanges.values().stream().filter(side -> side.has(h.call())).toList().forEach(ExchangeSide::die);
        } else if (happening instanceof Happening.Listed h) {
            listed(h.entries());
        }
    }

    private void listed(List<Exchange> entries) throws IOException {
        for (Exchange entry : entries) {
            listed(entry);
        }
    }

    private void listed(Exchange entry) throws IOException {
        if (entry.place() == place) {
            return;
        }
        ExchangeSide side = exchanges.get(entry.address());
        String uid = "x" + entry.address();
        if (entry.readiness() == Readiness.GONE) {
            if (side != null) {
                side.die();
                exchanges.remove(entry.address());
            }
            listed.remove(entry.address());
            names.forget(uid);
            return;
        }
        if (side == null || side.closed()) {
            side = new ExchangeSide(loop, entry.address(), clock, effects::add);
            exchanges.put(entry.address(), side);
        }
        NameServer.Named named = new NameServer.Named(uid, "z" + entry.zone(), entry.place(), side.port(),
                entry.readiness(), clock.unixMillis(entry.upSince()));
        listed.put(entry.address(), named);
        names.name(named);
    }

    /** All its exchanges' connections are reset; on the loop. */
    void reset() {
        exchanges.values().forEach(ExchangeSide::reset);
    }

    /** Ends the sockets; on the loop. */
    void close() {
        if (callers != null) {
            callers.close();
        }
        exchanges.values().forEach(ExchangeSide::die);
        names.close();
    }
}
