package wingspread.storm;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Holds redials back while callers dial again in a storm, and for a while after it, as far as the destination's budget
 * does not cover them. A first try is never turned away here, unless its number tells that it is a redial without a
 * mark, and each destination's budget is its own. Whoever is
 * turned away is to be answered at once, with the wait that this gate names.
 */
public final class StormGate {
    /** What becomes of a try. */
    public sealed interface Verdict { }

    /** It goes on to the module; {@code seen} is the try as it is counted from here on. */
    public record Pass(Try seen) implements Verdict { }

    /** It is refused; the caller is told to wait so long, in microseconds. */
    public record TurnedAway(long advised, Reason reason) implements Verdict { }

    /** Why. */
    public enum Reason {
        /** The budget has no redial left. */
        NO_BUDGET,
        /** The caller was told to come later. */
        EARLY
    }

    /** Looks come so often while there is a storm, in microseconds. */
    public static final long LOOK_EVERY = 250_000;
    private static final int NO_REGION = -1;
    /** Circuits that grow by this factor at once have come back. */
    private static final double CAME_BACK = 1.25;

    private final StormFigures figures;
    private final double[] worths;
    private final RandomGenerator random;
    private final StormNews.Listener listener;
    private final NumberMemory numbers;
    private final StormDetector all;
    /** By region; as many as the destinations that are listed name. */
    private final Map<Integer, StormDetector> regions = new HashMap<>();
    private final Map<Integer, Integer> regionOf = new HashMap<>();
    /** How many there are, over all scopes; told for every call, and so counted and not looked for. */
    private int storms;
    /** By destination, the one heard of longest ago first. */
    private final Map<Integer, Destination> destinations = new LinkedHashMap<>(16, 0.75f, true);

    /** What is known of one destination. */
    private final class Destination {
        final StormDetector detector;
        final Damper damper;
        final ReturnSchedule schedule;
        final DecayingRate through;
        /** Tries that were let go on, by what came of them. */
        final DecayingRate stood;
        final DecayingRate failed;
        final Ramp ramp = new Ramp(figures.damping());
        boolean stormy;
        double circuits = Double.NaN;

        Destination(long now) {
            long window = figures.detection().window();
            detector = new StormDetector(now, figures.detection());
            damper = damper(now, window);
            schedule = new ReturnSchedule(now, figures.returns().longestWait(), random);
            through = new DecayingRate(now, window);
            stood = new DecayingRate(now, window);
            failed = new DecayingRate(now, window);
        }

        /**
         * Whether enough of what goes on comes to nothing. Guards those who dial again where there is room, as after
         * a restart of this program, whose callers all come back at once.
         */
        boolean failing(long now) {
            double lost = failed.perSecond(now);
            return lost > figures.damping().leastFailing() * (lost + stood.perSecond(now));
        }

        /** Null where redials are not held back. */
        private Damper damper(long now, long window) {
            return switch (figures.damping().method()) {
                case BUDGET -> new FairBudget(now, figures.damping(), window, worths);
                case THROTTLE -> new AdaptiveThrottle(now, figures.damping(), window, random);
                case GAP -> new RateGap(now, figures.damping());
                case SPREAD -> null;
            };
        }

        /** Whether redials are held back now; begins the ramp where a storm has just ended. */
        boolean holds(long now, boolean storm) {
            if (storm && !stormy && damper != null) {
                damper.began(now, through.perSecond(now));
            }
            if (!storm && stormy) {
                ramp.begin(now);
            }
            stormy = storm;
            return storm || ramp.on(now);
        }

        double share(long now) {
            return stormy ? figures.damping().budgetShare() : ramp.share(now);
        }

        long place(long now) {
            return schedule.waitFor(now, share(now) * through.perSecond(now) + figures.damping().budgetFloor());
        }
    }

    /**
     * A gate that has seen nothing.
     *
     * @param worths of the classes, by their numbers
     * @param listener hears of each beginning and end of a storm
     */
    public StormGate(long now, StormFigures figures, List<Double> worths, RandomGenerator random,
            StormNews.Listener listener) {
        this.figures = figures;
        this.worths = worths.stream().mapToDouble(Double::doubleValue).toArray();
        this.random = random;
        this.listener = listener;
        this.numbers = new NumberMemory(figures.returns());
        this.all = new StormDetector(now, figures.detection());
    }

    /** A destination lies in a region. */
    public void listed(long now, int destination, int region) {
        if (regionOf.size() < figures.returns().mostKeys() || regionOf.containsKey(destination)) {
            regionOf.put(destination, region);
            regions.computeIfAbsent(region, r -> new StormDetector(now, figures.detection()));
        }
    }

    /** A subscriber's call comes in. */
    public Verdict offered(long now, Try tried) {
        NumberMemory.Sign sign = numbers.tried(now, tried.number());
        boolean again = tried.again() || sign != NumberMemory.Sign.NONE;
        Destination known = destination(now, tried.destination());
        tell(now, StormNews.Scope.DESTINATION, tried.destination(), known.detector, known.detector.tried(now, again));
        int region = regionOf.getOrDefault(tried.destination(), NO_REGION);
        StormDetector regional = regions.get(region);
        if (regional != null) {
            tell(now, StormNews.Scope.REGION, region, regional, regional.tried(now, again));
        }
        tell(now, StormNews.Scope.ALL, 0, all, all.tried(now, again));
        boolean holds = known.holds(now, stormy(known, regional));
        Pass pass = new Pass(new Try(tried.destination(), tried.callClass(), tried.number(), again, tried.width()));
        if (known.damper == null) {
            return pass;
        }
        if (!again) {
            known.damper.firstTry(now);
            return pass;
        }
        if (!holds || !known.failing(now)) {
            return pass;
        }
        if (sign == NumberMemory.Sign.EARLY) {
            // Its place in the line stays the one it was told: who comes early gains and costs nothing.
            long told = numbers.told(tried.number());
            numbers.failed(now, tried.number(), told);
            // Guards against a clock that has stepped back: nobody is told more than the longest wait.
            return new TurnedAway(Math.min(told - now, figures.returns().longestWait()), Reason.EARLY);
        }
        known.damper.share(known.share(now));
        if (known.damper.lets(now, tried.callClass(), tried.width())) {
            return pass;
        }
        long wait = known.place(now);
        numbers.failed(now, tried.number(), now + wait);
        return new TurnedAway(wait, Reason.NO_BUDGET);
    }

    private boolean stormy(Destination known, StormDetector regional) {
        return known.detector.storm() || all.storm() || regional != null && regional.storm();
    }

    /** A try that was let pass came to stand. */
    public void gotThrough(long now, Try seen) {
        Destination known = destination(now, seen.destination());
        if (!seen.again()) {
            known.through.add(now, 1);
        }
        known.stood.add(now, 1);
        if (known.damper != null) {
            known.damper.gotThrough(now, seen.again());
        }
        numbers.stood(seen.number());
    }

    /**
     * The module refuses a try that was let pass.
     *
     * @param advised the wait that the module names, 0 for none
     * @return the wait to tell the caller: never less than the module's
     */
    public long refused(long now, Try seen, long advised) {
        Destination known = destination(now, seen.destination());
        known.failed.add(now, 1);
        long wait = advised;
        if (figures.returns().spreadRefusals() && known.stormy) {
            wait = Math.max(advised, known.place(now));
        }
        numbers.failed(now, seen.number(), wait > 0 ? now + wait : 0);
        return wait;
    }

    /** A try that was let pass failed or was given up, and its caller was told nothing. */
    public void failed(long now, Try seen) {
        destination(now, seen.destination()).failed.add(now, 1);
        numbers.failed(now, seen.number(), 0);
    }

    /** A destination has come back: load toward it goes up along a ramp. */
    public void cameBack(long now, int destination) {
        destination(now, destination).ramp.begin(now);
    }

    /** Circuits that work toward a destination, NaN where not told; a jump upward is a return. */
    public void circuits(long now, int destination, double working) {
        if (Double.isNaN(working)) {
            return;
        }
        Destination known = destination(now, destination);
        if (working >= CAME_BACK * known.circuits) {
            known.ramp.begin(now);
        }
        known.circuits = working;
    }

    /** Time has passed: storms that have blown over end. */
    public void look(long now) {
        tell(now, StormNews.Scope.ALL, 0, all, all.look(now));
        regions.forEach((region, detector) ->
                tell(now, StormNews.Scope.REGION, region, detector, detector.look(now)));
        destinations.forEach((number, known) -> {
            tell(now, StormNews.Scope.DESTINATION, number, known.detector, known.detector.look(now));
            known.holds(now, stormy(known, regions.get(regionOf.getOrDefault(number, NO_REGION))));
        });
    }

    /** Whether there is a storm anywhere, so that looks are wanted. */
    public boolean stormy() {
        return storms > 0;
    }

    /** Destinations that are known, at most as many as the figures say. */
    int known() {
        return destinations.size();
    }

    private Destination destination(long now, int number) {
        Destination known = destinations.get(number);
        if (known == null) {
            if (destinations.size() >= figures.returns().mostKeys()) {
                Iterator<Destination> oldest = destinations.values().iterator();
                storms -= oldest.next().detector.storm() ? 1 : 0;
                oldest.remove();
            }
            known = new Destination(now);
            destinations.put(number, known);
        }
        return known;
    }

    private void tell(long now, StormNews.Scope scope, int number, StormDetector detector,
            StormDetector.Change change) {
        if (change != StormDetector.Change.NONE) {
            storms += change == StormDetector.Change.BEGAN ? 1 : -1;
            listener.heard(new StormNews(scope, number, change == StormDetector.Change.BEGAN,
                    detector.redialsPerSecond(now), detector.firstTriesPerSecond(now), detector.usualRatio(now)));
        }
    }
}
