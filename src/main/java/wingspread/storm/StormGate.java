package wingspread.storm;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Admission control against retry storms. During a storm, and during the ramp after it, redials toward a destination
 * are rejected beyond the budget of that destination. Each destination has a budget of its own. Fresh calls always
 * pass, except those that the history of the called number identifies as unmarked redials. A rejected caller is to be
 * answered immediately, with the wait that the gate returns. All times are in microseconds.
 */
public final class StormGate {
    /** The decision about a call offer. */
    public sealed interface Verdict { }

    /**
     * The call is passed on to the decision module.
     *
     * @param classifiedOffer the offer with its final classification as fresh call or redial, which later
     *     notifications take
     */
    public record Pass(CallOffer classifiedOffer) implements Verdict { }

    /**
     * The call is rejected.
     *
     * @param advisedWaitMicros wait before the next redial that the caller is advised, in microseconds
     */
    public record Rejected(long advisedWaitMicros, Reason reason) implements Verdict { }

    /** Why a redial is rejected. */
    public enum Reason {
        /** The budget does not cover another redial. */
        NO_BUDGET,
        /** The caller redialled before the end of the wait that it was advised. */
        EARLY
    }

    /** Interval in microseconds at which {@link #update} is to be called while a storm is active. */
    public static final long UPDATE_INTERVAL_MICROS = 250_000;
    private static final int NO_REGION = -1;
    /** An increase of the working circuits by this factor in one report counts as the recovery of circuits. */
    private static final double RECOVERY_FACTOR = 1.25;

    private final StormParameters parameters;
    private final double[] classValues;
    private final RandomGenerator random;
    private final StormEvent.Listener listener;
    private final RedialHistory history;
    private final StormDetector globalDetector;
    /** Detectors by region, for the regions of the listed destinations. */
    private final Map<Integer, StormDetector> regionDetectors = new HashMap<>();
    private final Map<Integer, Integer> regionByDestination = new HashMap<>();
    /** Number of active storms over all scopes. Kept as a counter because it is queried on every call. */
    private int activeStorms;
    /** Destinations by number, in access order: the least recently used one comes first. */
    private final Map<Integer, Destination> destinations = new LinkedHashMap<>(16, 0.75f, true);

    /** State of one destination. */
    private final class Destination {
        final StormDetector detector;
        /** Null if redials are not limited. */
        final RedialLimiter limiter;
        final RetrySchedule schedule;
        /** Rate of established fresh calls. */
        final DecayingRate establishedFresh;
        /** Rate of passed calls that were established, fresh calls and redials. */
        final DecayingRate established;
        /** Rate of passed calls that failed, fresh calls and redials. */
        final DecayingRate failed;
        final Ramp ramp = new Ramp(parameters.damping());
        boolean stormActive;
        /** Working circuits as last reported; NaN before the first report. */
        double circuits = Double.NaN;

        Destination(long now) {
            long windowMicros = parameters.detection().windowMicros();
            detector = new StormDetector(now, parameters.detection());
            limiter = newLimiter(now, windowMicros);
            schedule = new RetrySchedule(now, parameters.retryPolicy().maxWaitMicros(), random);
            establishedFresh = new DecayingRate(now, windowMicros);
            established = new DecayingRate(now, windowMicros);
            failed = new DecayingRate(now, windowMicros);
        }

        /**
         * Whether the share of passed calls that fail exceeds the minimum for limiting redials. Without this check
         * callers would be rejected although there is capacity, for example when all of them redial at once after a
         * restart of this process.
         */
        boolean isFailing(long now) {
            double failures = failed.perSecond(now);
            return failures > parameters.damping().minFailureShare() * (failures + established.perSecond(now));
        }

        private RedialLimiter newLimiter(long now, long windowMicros) {
            return switch (parameters.damping().method()) {
                case BUDGET -> new FairBudget(now, parameters.damping(), windowMicros, classValues);
                case THROTTLE -> new AdaptiveThrottle(now, parameters.damping(), windowMicros, random);
                case GAP -> new RateGap(now, parameters.damping());
                case SPREAD -> null;
            };
        }

        /** Updates the storm state and returns whether redials are limited now; starts the ramp when a storm ends. */
        boolean updateLimiting(long now, boolean storm) {
            if (storm && !stormActive && limiter != null) {
                limiter.onStormBegan(now, establishedFresh.perSecond(now));
            }
            if (!storm && stormActive) {
                ramp.begin(now);
            }
            stormActive = storm;
            return storm || ramp.isActive(now);
        }

        double share(long now) {
            return stormActive ? parameters.damping().budgetShare() : ramp.share(now);
        }

        long nextWait(long now) {
            return schedule.waitFor(now,
                    share(now) * establishedFresh.perSecond(now) + parameters.damping().budgetFloor());
        }
    }

    /**
     * Creates a gate without any history.
     *
     * @param classValues value of each call class, indexed by class number
     * @param listener notified of the beginning and the end of each storm
     */
    public StormGate(long now, StormParameters parameters, List<Double> classValues, RandomGenerator random,
            StormEvent.Listener listener) {
        this.parameters = parameters;
        this.classValues = classValues.stream().mapToDouble(Double::doubleValue).toArray();
        this.random = random;
        this.listener = listener;
        this.history = new RedialHistory(parameters.retryPolicy());
        this.globalDetector = new StormDetector(now, parameters.detection());
    }

    /** Records the region of a destination that the directory lists. */
    public void onDestinationListed(long now, int destination, int region) {
        if (regionByDestination.size() < parameters.retryPolicy().maxDestinations()
                || regionByDestination.containsKey(destination)) {
            regionByDestination.put(destination, region);
            regionDetectors.computeIfAbsent(region, r -> new StormDetector(now, parameters.detection()));
        }
    }

    /** Decides whether a subscriber's call is passed on. */
    public Verdict decide(long now, CallOffer callOffer) {
        RedialHistory.Classification classification = history.classify(now, callOffer.calledNumber());
        boolean redial = callOffer.isRedial() || classification != RedialHistory.Classification.NONE;
        Destination destination = destination(now, callOffer.destination());
        notifyListener(now, StormEvent.Scope.DESTINATION, callOffer.destination(), destination.detector,
                destination.detector.recordCall(now, redial));
        int region = regionByDestination.getOrDefault(callOffer.destination(), NO_REGION);
        StormDetector regionDetector = regionDetectors.get(region);
        if (regionDetector != null) {
            notifyListener(now, StormEvent.Scope.REGION, region, regionDetector,
                    regionDetector.recordCall(now, redial));
        }
        notifyListener(now, StormEvent.Scope.ALL, 0, globalDetector, globalDetector.recordCall(now, redial));
        boolean limiting = destination.updateLimiting(now, stormAffects(destination, regionDetector));
        Pass pass = new Pass(new CallOffer(callOffer.destination(), callOffer.callClass(), callOffer.calledNumber(),
                redial, callOffer.width()));
        if (destination.limiter == null) {
            return pass;
        }
        if (!redial) {
            destination.limiter.onFreshCall(now);
            return pass;
        }
        if (!limiting || !destination.isFailing(now)) {
            return pass;
        }
        if (classification == RedialHistory.Classification.EARLY) {
            // The caller keeps the retry time that it was advised: an early redial gains nothing, and takes neither
            // budget nor a slot of the schedule.
            long retryAt = history.retryAt(callOffer.calledNumber());
            history.onCallFailed(now, callOffer.calledNumber(), retryAt);
            // After a backward step of the clock the remaining time could exceed the maximum wait.
            return new Rejected(Math.min(retryAt - now, parameters.retryPolicy().maxWaitMicros()), Reason.EARLY);
        }
        destination.limiter.setShare(destination.share(now));
        if (destination.limiter.tryAcquire(now, callOffer.callClass(), callOffer.width())) {
            return pass;
        }
        long wait = destination.nextWait(now);
        history.onCallFailed(now, callOffer.calledNumber(), now + wait);
        return new Rejected(wait, Reason.NO_BUDGET);
    }

    private boolean stormAffects(Destination destination, StormDetector regionDetector) {
        return destination.detector.isActive() || globalDetector.isActive()
                || regionDetector != null && regionDetector.isActive();
    }

    /** Records that a passed call was established. */
    public void onCallEstablished(long now, CallOffer classifiedOffer) {
        Destination destination = destination(now, classifiedOffer.destination());
        if (!classifiedOffer.isRedial()) {
            destination.establishedFresh.add(now, 1);
        }
        destination.established.add(now, 1);
        if (destination.limiter != null) {
            destination.limiter.onCallEstablished(now, classifiedOffer.isRedial());
        }
        history.onCallEstablished(classifiedOffer.calledNumber());
    }

    /**
     * Records that the decision module refused a passed call.
     *
     * @param advisedWaitMicros wait that the module advises, in microseconds; 0 for none
     * @return the wait to advise to the caller, in microseconds: at least the module's; 0 for none
     */
    public long onCallRefused(long now, CallOffer classifiedOffer, long advisedWaitMicros) {
        Destination destination = destination(now, classifiedOffer.destination());
        destination.failed.add(now, 1);
        long wait = advisedWaitMicros;
        if (parameters.retryPolicy().spreadRefusals() && destination.stormActive) {
            wait = Math.max(advisedWaitMicros, destination.nextWait(now));
        }
        history.onCallFailed(now, classifiedOffer.calledNumber(), wait > 0 ? now + wait : 0);
        return wait;
    }

    /** Records that a passed call failed or was abandoned, and that its caller was advised no wait. */
    public void onCallFailed(long now, CallOffer classifiedOffer) {
        destination(now, classifiedOffer.destination()).failed.add(now, 1);
        history.onCallFailed(now, classifiedOffer.calledNumber(), 0);
    }

    /** Records that a destination has recovered: its redials are admitted along a ramp. */
    public void onDestinationRecovered(long now, int destination) {
        destination(now, destination).ramp.begin(now);
    }

    /**
     * Records how many circuits work toward a destination. A sudden increase counts as a recovery.
     *
     * @param working number of circuits; NaN if not reported
     */
    public void onCircuitsReported(long now, int destinationNumber, double working) {
        if (Double.isNaN(working)) {
            return;
        }
        Destination destination = destination(now, destinationNumber);
        if (working >= RECOVERY_FACTOR * destination.circuits) {
            destination.ramp.begin(now);
        }
        destination.circuits = working;
    }

    /** Updates all detectors to the current time, so that storms end even when no more calls are offered. */
    public void update(long now) {
        notifyListener(now, StormEvent.Scope.ALL, 0, globalDetector, globalDetector.update(now));
        regionDetectors.forEach((region, detector) ->
                notifyListener(now, StormEvent.Scope.REGION, region, detector, detector.update(now)));
        destinations.forEach((number, destination) -> {
            notifyListener(now, StormEvent.Scope.DESTINATION, number, destination.detector,
                    destination.detector.update(now));
            destination.updateLimiting(now, stormAffects(destination,
                    regionDetectors.get(regionByDestination.getOrDefault(number, NO_REGION))));
        });
    }

    /** Whether a storm is active in any scope, so that {@link #update} has to be called periodically. */
    public boolean anyStormActive() {
        return activeStorms > 0;
    }

    /** Returns the number of destinations whose state is kept. */
    int destinationCount() {
        return destinations.size();
    }

    private Destination destination(long now, int number) {
        Destination destination = destinations.get(number);
        if (destination == null) {
            if (destinations.size() >= parameters.retryPolicy().maxDestinations()) {
                Iterator<Destination> leastRecentlyUsed = destinations.values().iterator();
                activeStorms -= leastRecentlyUsed.next().detector.isActive() ? 1 : 0;
                leastRecentlyUsed.remove();
            }
            destination = new Destination(now);
            destinations.put(number, destination);
        }
        return destination;
    }

    private void notifyListener(long now, StormEvent.Scope scope, int number, StormDetector detector,
            StormDetector.Change change) {
        if (change != StormDetector.Change.NONE) {
            activeStorms += change == StormDetector.Change.BEGAN ? 1 : -1;
            listener.onStormEvent(new StormEvent(scope, number, change == StormDetector.Change.BEGAN,
                    detector.redialsPerSecond(now), detector.freshCallsPerSecond(now), detector.baselineRatio(now)));
        }
    }
}
