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
import wingspread.storm.CallOffer;
import wingspread.storm.StormEvent;
import wingspread.storm.StormGate;
import wingspread.storm.StormParameters;
import wingspread.turn.Deadlines;

/** Connects a planner to its {@link StormGate}: converts requests to call offers and verdicts to answers. */
final class StormGateAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(Planner.class);

    private final LongSupplier clock;
    private final Settings settings;
    private final Metrics metrics;
    private final Deadlines deadlines;
    private final StormGate gate;
    /** Index of each listed exchange, by address. */
    private final Map<Long, Integer> placeByAddress = new HashMap<>();
    private boolean checkScheduled;

    StormGateAdapter(LongSupplier clock, Settings settings, StormParameters parameters, long seed, Metrics metrics,
            Deadlines deadlines) {
        this.clock = clock;
        this.settings = settings;
        this.metrics = metrics;
        this.deadlines = deadlines;
        List<Double> classValues = settings.classes().stream().map(CallClass::worth).toList();
        this.gate = new StormGate(clock.getAsLong(), parameters.withMaxWait(settings.maxRetryAfter()), classValues,
                new SplittableRandom(~seed), this::stormChanged);
    }

    /**
     * Passes a new call through the gate, which protects fresh calls and established calls from many callers redialling
     * at once. A call that the gate refuses is answered here.
     *
     * @return the call as the gate counts it; empty if it was refused
     */
    Optional<CallOffer> admit(long now, Request request, long number, Caller caller) {
        StormGate.Verdict verdict = gate.decide(now, new CallOffer(request.destination(), request.callClass(), number,
                request.redial() || request.cut(), request.width()));
        scheduleCheck(now);
        if (verdict instanceof StormGate.Rejected refusal) {
            metrics.count(refusal.reason() == StormGate.Reason.EARLY ? "answered.storm-early" : "answered.storm");
            caller.onRefused(settings.retryAfter() ? refusal.advisedWaitMicros() : 0);
            return Optional.empty();
        }
        CallOffer admitted = ((StormGate.Pass) verdict).classifiedOffer();
        if (admitted.isRedial() && !request.redial() && !request.cut()) {
            metrics.count("taken.unmarked-redials");
        }
        return Optional.of(admitted);
    }

    /** Records that a call that passed the gate was established. */
    void recordSuccess(long now, CallOffer admitted) {
        gate.onCallEstablished(now, admitted);
    }

    /**
     * Returns the wait to advise to a caller whom the call control refuses, in microseconds. During a storm the gate
     * assigns each refused caller its own time for a redial.
     *
     * @param advisedWaitMicros wait named by the call control; 0 for none
     */
    long waitAfterRefusal(CallOffer admitted, long advisedWaitMicros) {
        long wait = gate.onCallRefused(clock.getAsLong(), admitted, advisedWaitMicros);
        return settings.retryAfter() ? wait : advisedWaitMicros;
    }

    /** Records that a call that passed the gate failed or was abandoned. */
    void recordFailure(CallOffer admitted) {
        gate.onCallFailed(clock.getAsLong(), admitted);
    }

    void exchangeListed(long now, Exchange entry, boolean restarted) {
        placeByAddress.put(entry.address(), entry.place());
        gate.onDestinationListed(now, entry.place(), entry.zone());
        if (restarted) {
            gate.onDestinationRecovered(now, entry.place());
        }
    }

    void exchangeRemoved(long exchange) {
        placeByAddress.remove(exchange);
    }

    void circuitsReported(long now, long exchange, Report report) {
        Integer place = placeByAddress.get(exchange);
        if (place != null) {
            gate.onCircuitsReported(now, place, report.circuits());
        }
    }

    /** Schedules a check during a storm, so that the storm also ends if no more calls arrive. */
    private void scheduleCheck(long now) {
        if (!checkScheduled && gate.anyStormActive()) {
            checkScheduled = true;
            deadlines.add(now + StormGate.UPDATE_INTERVAL_MICROS, () -> {
                checkScheduled = false;
                gate.update(clock.getAsLong());
                scheduleCheck(clock.getAsLong());
            });
        }
    }

    private void stormChanged(StormEvent change) {
        metrics.count(change.began() ? "storms.began" : "storms.ended");
        LOG.atInfo().addKeyValue("reason", change.began() ? "STORM_BEGAN" : "STORM_ENDED")
                .addKeyValue("scope", change.scope()).addKeyValue("number", change.number())
                .addKeyValue("redials", hundredths(change.redialsPerSecond()))
                .addKeyValue("first-tries", hundredths(change.freshCallsPerSecond()))
                .addKeyValue("usual-ratio", hundredths(change.baselineRatio()))
                .log("redial storm began or ended, rates per second");
    }

    private static double hundredths(double value) {
        return Math.rint(value * 100) / 100;
    }
}
