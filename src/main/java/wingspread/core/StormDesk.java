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

/** Connects a planner to its {@link StormGate}: converts requests to call offers and verdicts to answers. */
final class StormDesk {
    private static final Logger LOG = LoggerFactory.getLogger(Planner.class);

    private final LongSupplier clock;
    private final Settings settings;
    private final Metrics metrics;
    private final Deadlines deadlines;
    private final StormGate gate;
    /** Index of each listed exchange, by address. */
    private final Map<Long, Integer> placeByAddress = new HashMap<>();
    private boolean checkScheduled;

    StormDesk(LongSupplier clock, Settings settings, StormFigures parameters, long seed, Metrics metrics,
            Deadlines deadlines) {
        this.clock = clock;
        this.settings = settings;
        this.metrics = metrics;
        this.deadlines = deadlines;
        List<Double> classValues = settings.classes().stream().map(CallClass::worth).toList();
        this.gate = new StormGate(clock.getAsLong(), parameters.within(settings.maxRetryAfter()), classValues,
                new SplittableRandom(~seed), this::stormChanged);
    }

    /**
     * Passes a new call through the gate, which protects fresh calls and established calls from many callers redialling
     * at once. A call that the gate refuses is answered here.
     *
     * @return the call as the gate counts it; empty if it was refused
     */
    Optional<Try> admit(long now, Request request, long number, Caller caller) {
        StormGate.Verdict verdict = gate.offered(now, new Try(request.destination(), request.callClass(), number,
                request.redial() || request.cut(), request.width()));
        scheduleCheck(now);
        if (verdict instanceof StormGate.TurnedAway refusal) {
            metrics.count(refusal.reason() == StormGate.Reason.EARLY ? "answered.storm-early" : "answered.storm");
            caller.refused(settings.retryAfter() ? refusal.advised() : 0);
            return Optional.empty();
        }
        Try admitted = ((StormGate.Pass) verdict).seen();
        if (admitted.again() && !request.redial() && !request.cut()) {
            metrics.count("taken.unmarked-redials");
        }
        return Optional.of(admitted);
    }

    /** Records that a call that passed the gate was established. */
    void recordSuccess(long now, Try admitted) {
        gate.gotThrough(now, admitted);
    }

    /**
     * Returns the wait to advise to a caller whom the call control refuses, in microseconds. During a storm the gate
     * assigns each refused caller its own time for a redial.
     *
     * @param advised wait named by the call control; 0 for none
     */
    long waitAfterRefusal(Try admitted, long advised) {
        long wait = gate.refused(clock.getAsLong(), admitted, advised);
        return settings.retryAfter() ? wait : advised;
    }

    /** Records that a call that passed the gate failed or was abandoned. */
    void recordFailure(Try admitted) {
        gate.failed(clock.getAsLong(), admitted);
    }

    void exchangeListed(long now, Exchange entry, boolean restarted) {
        placeByAddress.put(entry.address(), entry.place());
        gate.listed(now, entry.place(), entry.zone());
        if (restarted) {
            gate.cameBack(now, entry.place());
        }
    }

    void exchangeRemoved(long exchange) {
        placeByAddress.remove(exchange);
    }

    void circuitsReported(long now, long exchange, Report report) {
        Integer place = placeByAddress.get(exchange);
        if (place != null) {
            gate.circuits(now, place, report.circuits());
        }
    }

    /** Schedules a check during a storm, so that the storm also ends if no more calls arrive. */
    private void scheduleCheck(long now) {
        if (!checkScheduled && gate.stormy()) {
            checkScheduled = true;
            deadlines.add(now + StormGate.LOOK_EVERY, () -> {
                checkScheduled = false;
                gate.look(clock.getAsLong());
                scheduleCheck(clock.getAsLong());
            });
        }
    }

    private void stormChanged(StormNews change) {
        metrics.count(change.began() ? "storms.began" : "storms.ended");
        LOG.atInfo().addKeyValue("reason", change.began() ? "STORM_BEGAN" : "STORM_ENDED")
                .addKeyValue("scope", change.scope()).addKeyValue("number", change.number())
                .addKeyValue("redials", hundredths(change.redialsPerSecond()))
                .addKeyValue("first-tries", hundredths(change.firstTriesPerSecond()))
                .addKeyValue("usual-ratio", hundredths(change.usualRatio()))
                .log("redial storm began or ended, rates per second");
    }

    private static double hundredths(double value) {
        return Math.rint(value * 100) / 100;
    }
}
