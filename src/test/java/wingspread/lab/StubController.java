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

/**
 * A softswitch that sends every call once, by the direct route, and refuses calls that were not established. It can be
 * given one defect that breaks a rule.
 */
final class StubController implements Controller {
    /** The defect of the softswitch. */
    enum Defect {
        NONE, NO_ANSWER, TWO_ANSWERS, CONCURRENT_ATTEMPTS, IMMEDIATE_RETRY, IGNORES_DRAINS, ROUTES_TO_ITSELF,
        MISROUTES_TRANSIT, FLOOD
    }

    private static final long TIMEOUT_MICROS = 400_000;

    private final LongSupplier clock;
    private final Settings settings;
    private final ExchangeTransport exchanges;
    private final Defect defect;
    private final ArrayDeque<Event> inbox = new ArrayDeque<>();
    private final ArrayDeque<Attempt> pendingAttempts = new ArrayDeque<>();
    private final Map<String, Caller> callers = new HashMap<>();
    private final Map<String, Attempt> latestAttempts = new HashMap<>();
    private final Map<Integer, Long> addresses = new HashMap<>();

    private StubController(LongSupplier clock, Settings settings, ExchangeTransport exchanges, Defect defect) {
        this.clock = clock;
        this.settings = settings;
        this.exchanges = exchanges;
        this.defect = defect;
    }

    static Factory with(Defect defect) {
        return (clock, settings, seed, exchanges) -> new StubController(clock, settings, exchanges, defect);
    }

    @Override
    public void post(Event event) {
        inbox.add(event);
    }

    @Override
    public long nextDue() {
        return pendingAttempts.isEmpty() ? Long.MAX_VALUE : pendingAttempts.peek().deadline();
    }

    @Override
    public void turn() {
        while (!inbox.isEmpty()) {
            handle(inbox.remove());
        }
        while (nextDue() <= clock.getAsLong()) {
            Attempt attempt = pendingAttempts.remove();
            if (latestAttempts.get(attempt.request().id()) == attempt && callers.containsKey(attempt.request().id())) {
                exchanges.cancelAttempt(attempt);
                if (defect == Defect.IMMEDIATE_RETRY) {
                    send(attempt.request(), attempt.request().destination());
                } else {
                    callers.remove(attempt.request().id()).onFailed();
                }
            }
        }
    }

    private void handle(Event event) {
        if (event instanceof Event.Offered e) {
            if (defect != Defect.NO_ANSWER) {
                callers.put(e.request().id(), e.caller());
                sendOffered(e.request());
            }
        } else if (event instanceof Event.Answered e) {
            Caller caller = callers.remove(e.call());
            if (caller != null) {
                callers.put(e.call() + " stands", caller);
                caller.onEstablished(e.description());
                if (defect == Defect.TWO_ANSWERS) {
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
            e.entries().stream().filter(x -> defect == Defect.IGNORES_DRAINS
                    || x.readiness() == Readiness.READY)
                    .forEach(x -> addresses.put(x.place(), x.address()));
            e.entries().stream().filter(x -> defect != Defect.IGNORES_DRAINS
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

    private void sendOffered(Request request) {
        int other = (settings.ownPlace() + 1) % settings.softswitches();
        int to = switch (defect) {
            case ROUTES_TO_ITSELF -> settings.ownPlace();
            case MISROUTES_TRANSIT -> request.transit() || request.destination() != other ? other
                    : (other + 1) % settings.softswitches();
            default -> request.destination();
        };
        send(request, to);
        if (defect == Defect.CONCURRENT_ATTEMPTS) {
            send(request, to);
        }
    }

    private void send(Request request, int to) {
        Long address = addresses.get(to);
        if (address == null) {
            refuse(request.id(), Status.MOOT);
            return;
        }
        long timeoutMicros = defect == Defect.IMMEDIATE_RETRY ? 1_000 : TIMEOUT_MICROS;
        Attempt attempt = AttemptFixture.attempt(request, address, clock.getAsLong(),
                clock.getAsLong() + timeoutMicros);
        latestAttempts.put(request.id(), attempt);
        pendingAttempts.add(attempt);
        exchanges.invite(attempt);
    }
}
