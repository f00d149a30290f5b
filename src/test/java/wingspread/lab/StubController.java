package wingspread.lab;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Settings;
import wingspread.control.CallControl.Status;
import wingspread.core.Attempt;
import wingspread.core.AttemptFixture;
import wingspread.core.Caller;
import wingspread.core.Event;
import wingspread.core.ExchangeTransport;
import wingspread.core.Request;
import wingspread.lab.host.Controller;

/** A softswitch that sends every call direct, once, and refuses what did not stand; with a vice, if one is given. */
final class StubController implements Controller {
    /** What it does wrong. */
    enum Vice { NONE, MUTE, TWO_ANSWERS, TWO_AT_ONCE, AGAIN_AT_ONCE, DEAF_TO_DRAINS, TO_ITSELF, TRANSIT_ASTRAY, FLOOD }

    private static final long TIME_OUT = 400_000;

    private final LongSupplier clock;
    private final Settings settings;
    private final ExchangeTransport exchanges;
    private final Vice vice;
    private final ArrayDeque<Event> inbox = new ArrayDeque<>();
    private final ArrayDeque<Attempt> out = new ArrayDeque<>();
    private final Map<String, Caller> callers = new HashMap<>();
    private final Map<String, Attempt> last = new HashMap<>();
    private final Map<Integer, Long> addresses = new HashMap<>();

    private StubController(LongSupplier clock, Settings settings, ExchangeTransport exchanges, Vice vice) {
        this.clock = clock;
        this.settings = settings;
        this.exchanges = exchanges;
        this.vice = vice;
    }

    static Maker with(Vice vice) {
        return (clock, settings, seed, exchanges) -> new StubController(clock, settings, exchanges, vice);
    }

    @Override
    public void post(Event event) {
        inbox.add(event);
    }

    @Override
    public long nextDue() {
        return out.isEmpty() ? Long.MAX_VALUE : out.peek().deadline();
    }

    @Override
    public void turn() {
        while (!inbox.isEmpty()) {
            handle(inbox.remove());
        }
        while (nextDue() <= clock.getAsLong()) {
            Attempt attempt = out.remove();
            if (last.get(attempt.request().id()) == attempt && callers.containsKey(attempt.request().id())) {
                exchanges.cancelAttempt(attempt);
                if (vice == Vice.AGAIN_AT_ONCE) {
                    send(attempt.request(), attempt.request().destination());
                } else {
                    callers.remove(attempt.request().id()).onFailed();
                }
            }
        }
    }

    private void handle(Event event) {
        if (event instanceof Event.Offered e) {
            if (vice != Vice.MUTE) {
                callers.put(e.request().id(), e.caller());
                offered(e.request());
            }
        } else if (event instanceof Event.Answered e) {
            Caller caller = callers.remove(e.call());
            if (caller != null) {
                callers.put(e.call() + " stands", caller);
                caller.onEstablished(e.description());
                if (vice == Vice.TWO_ANSWERS) {
                    caller.onEstablished(e.description());
                }
            }
        } else if (event instanceof Event.Rejected e) {
            refuse(e.call(), e.status());
        } else if (event instanceof Event.AttemptAborted e) {
            refuse(e.attempt().request().id(), e.status());
        } else if (event instanceof Event.Released e) {
            Caller caller = callers.remove(e.call() + " stands");
            if (caller != null) {
                caller.onEnded(e.cause());
            }
        } else if (event instanceof Event.Listed e) {
            e.entries().stream().filter(x -> vice == Vice.DEAF_TO_DRAINS
                    || x.readiness() == Readiness.READY)
                    .forEach(x -> addresses.put(x.place(), x.address()));
            e.entries().stream().filter(x -> vice != Vice.DEAF_TO_DRAINS
                    && x.readiness() != Readiness.READY)
                    .forEach(x -> addresses.remove(x.place(), x.address()));
        }
    }

    private void refuse(String call, Status status) {
        Caller caller = callers.remove(call);
        if (caller != null) {
            caller.onRefused(status == Status.FULL ? 1 : 0);
        }
    }

    private void offered(Request request) {
        int other = (settings.ownPlace() + 1) % settings.softswitches();
        int to = switch (vice) {
            case TO_ITSELF -> settings.ownPlace();
            case TRANSIT_ASTRAY -> request.transit() || request.destination() != other ? other
                    : (other + 1) % settings.softswitches();
            default -> request.destination();
        };
        send(request, to);
        if (vice == Vice.TWO_AT_ONCE) {
            send(request, to);
        }
    }

    private void send(Request request, int to) {
        Long address = addresses.get(to);
        if (address == null) {
            refuse(request.id(), Status.MOOT);
            return;
        }
        long limit = vice == Vice.AGAIN_AT_ONCE ? 1_000 : TIME_OUT;
        Attempt attempt = AttemptFixture.attempt(request, address, clock.getAsLong(), clock.getAsLong() + limit);
        last.put(request.id(), attempt);
        out.add(attempt);
        exchanges.invite(attempt);
    }
}
