package wingspread.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import wingspread.control.ExchangeLiveness;
import wingspread.turn.Deadlines;

/**
 * Watches the exchanges on which calls stand, each by an {@link ExchangeLiveness}: lets a silent one be connected to
 * afresh, and says when one counts as down. Guards callers whose exchange vanishes: neither it nor, while the
 * directory is down, anybody else says that their calls are over. Bounded by the exchanges with calls on them; an
 * exchange is forgotten when its last call is over.
 */
final class StandingWatch {
    private final LongSupplier clock;
    private final Deadlines deadlines;
    private final Exchanges exchanges;
    private final Down down;
    private final Map<Long, Watched> watched = new HashMap<>();
    private boolean ending;

    /** Who hears that an exchange counts as down, and for how many microseconds it has been silent. */
    interface Down {
        void down(long exchange, long silence);
    }

    /** An exchange and the calls that stand on it. */
    private static final class Watched {
        final ExchangeLiveness liveness;
        int calls;

        Watched(long now) {
            liveness = new ExchangeLiveness(now);
        }
    }

    /** Watches by these deadlines; {@code down} hears of each exchange that counts as down. */
    StandingWatch(LongSupplier clock, Deadlines deadlines, Exchanges exchanges, Down down) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.exchanges = exchanges;
        this.down = down;
    }

    /** A call has come to stand through an exchange, which was heard now. */
    void stood(long now, long exchange) {
        if (!exchanges.mayFallSilent()) {
            return;
        }
        Watched one = watched.get(exchange);
        if (one == null) {
            one = new Watched(now);
            watched.put(exchange, one);
            if (ending) {
                one.liveness.hurry();
            }
            await(exchange, one);
        }
        one.calls++;
    }

    /** A call that stood is over. */
    void over(long exchange) {
        Watched one = watched.get(exchange);
        if (one != null) {
            one.calls--;
        }
    }

    /** Something came from an exchange. */
    void heard(long now, long exchange) {
        Watched one = watched.get(exchange);
        if (one != null) {
            one.liveness.heard(now);
        }
    }

    /** The program ends soon: all that are silent are looked into at once. */
    void hurry() {
        ending = true;
        watched.forEach((exchange, one) -> {
            one.liveness.hurry();
            await(exchange, one);
        });
    }

    /** Whether calls stand on an exchange. */
    boolean watches(long exchange) {
        return watched.containsKey(exchange);
    }

    /** Whether an exchange with calls on it is silent though it was asked to speak. */
    boolean suspect(long now, long exchange) {
        Watched one = watched.get(exchange);
        return one != null && one.liveness.suspect(now);
    }

    private void await(long exchange, Watched one) {
        deadlines.add(one.liveness.due(clock.getAsLong()), () -> look(exchange, one));
    }

    private void look(long exchange, Watched one) {
        if (watched.get(exchange) != one) {
            return;
        }
        if (one.calls <= 0) {
            watched.remove(exchange);
            return;
        }
        long now = clock.getAsLong();
        switch (one.liveness.next(now)) {
            case DOWN -> {
                watched.remove(exchange);
                down.down(exchange, now - one.liveness.heardAt());
                return;
            }
            case CHECK -> {
                if (exchanges.check(exchange)) {
                    one.liveness.checked(now);
                } else {
                    one.liveness.notChecked(now);
                }
            }
            default -> { }
        }
        await(exchange, one);
    }
}
