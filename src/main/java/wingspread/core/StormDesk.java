package wingspread.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl.CallClass;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Settings;
import wingspread.metrics.Metrics;
import wingspread.storm.StormFigures;
import wingspread.storm.StormGate;
import wingspread.storm.StormNews;
import wingspread.storm.Try;
import wingspread.turn.Deadlines;

/** Where a planner asks the gate against storms: it turns requests into tries and verdicts into answers. */
final class StormDesk {
    private static final Logger LOG = LoggerFactory.getLogger(Planner.class);

    private final LongSupplier clock;
    private final Settings settings;
    private final Metrics metrics;
    private final Deadlines deadlines;
    private final StormGate gate;
    /** Where each exchange that is listed lies, by its address. */
    private final Map<Long, Integer> places = new HashMap<>();
    private boolean looking;

    StormDesk(LongSupplier clock, Settings settings, StormFigures figures, long seed, Metrics metrics,
            Deadlines deadlines) {
        this.clock = clock;
        this.settings = settings;
        this.metrics = metrics;
        this.deadlines = deadlines;
        List<Double> worths = settings.classes().stream().map(CallClass::worth).toList();
        this.gate = new StormGate(clock.getAsLong(), figures.within(settings.maxRetryAfter()), worths,
                new SplittableRandom(~seed), this::heard);
    }

    /**
     * A call comes in: the try as the gate counts it; empty where it was turned away, and answered. Guards first tries,
     * and those whose calls stand, against callers who all dial again at once.
     */
    Optional<Try> offered(long now, Request request, long number, Caller caller) {
        StormGate.Verdict verdict = gate.offered(now, new Try(request.destination(), request.callClass(), number,
                request.redial() || request.cut(), request.width()));
        lookLater(now);
        if (verdict instanceof StormGate.TurnedAway away) {
            metrics.count(away.reason() == StormGate.Reason.EARLY ? "answered.storm-early" : "answered.storm");
            caller.refused(settings.retryAfter() ? away.advised() : 0);
            return Optional.empty();
        }
        Try seen = ((StormGate.Pass) verdict).seen();
        if (seen.again() && !request.redial() && !request.cut()) {
            metrics.count("taken.unmarked-redials");
        }
        return Optional.of(seen);
    }

    void gotThrough(long now, Try seen) {
        gate.gotThrough(now, seen);
    }

    /** The wait for one whom the module refuses: in a storm a place in the line of those who come back. */
    long refused(Try seen, long advised) {
        long wait = gate.refused(clock.getAsLong(), seen, advised);
        return settings.retryAfter() ? wait : advised;
    }

    void failed(Try seen) {
        gate.failed(clock.getAsLong(), seen);
    }

    void listed(long now, Exchange entry, boolean restarted) {
        places.put(entry.address(), entry.place());
        gate.listed(now, entry.place(), entry.zone());
        if (restarted) {
            gate.cameBack(now, entry.place());
        }
    }

    void gone(long exchange) {
        places.remove(exchange);
    }

    void reported(long now, long exchange, Report report) {
        Integer place = places.get(exchange);
        if (place != null) {
            gate.circuits(now, place, report.circuits());
        }
    }

    /** Sees to it that storms end where nobody dials any longer. */
    private void lookLater(long now) {
        if (!looking && gate.stormy()) {
            looking = true;
            deadlines.add(now + StormGate.LOOK_EVERY, () -> {
                looking = false;
                gate.look(clock.getAsLong());
                lookLater(clock.getAsLong());
            });
        }
    }

    private void heard(StormNews news) {
        metrics.count(news.began() ? "storms.began" : "storms.ended");
        LOG.atInfo().addKeyValue("reason", news.began() ? "STORM_BEGAN" : "STORM_ENDED")
                .addKeyValue("scope", news.scope()).addKeyValue("number", news.number())
                .addKeyValue("redials", hundredths(news.redialsPerSecond()))
                .addKeyValue("first-tries", hundredths(news.firstTriesPerSecond()))
                .addKeyValue("usual-ratio", hundredths(news.usualRatio())).log("callers dial again, a second");
    }

    private static double hundredths(double value) {
        return Math.rint(value * 100) / 100;
    }
}
