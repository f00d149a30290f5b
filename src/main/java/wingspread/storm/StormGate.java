package wingspread.storm;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Turns redials away while callers dial a destination again in a storm, as far as its budget does not cover them. A
 * first try is never turned away here, and one destination's storm touches no other's calls. Whoever is turned away
 * is to be answered at once, with the wait that this gate names.
 */
public final class StormGate {
    /** What becomes of a try. */
    public sealed interface Verdict { }

    /** It goes on to the module. */
    public record Pass() implements Verdict { }

    /** It is refused; the caller is told to wait so long, in microseconds. */
    public record TurnedAway(long advised) implements Verdict { }

    private static final Pass PASS = new Pass();

    private final StormFigures figures;
    private final RandomGenerator random;
    private final Consumer<String> log;
    /** By destination, the one heard of longest ago first. */
    private final Map<Integer, Destination> destinations = new LinkedHashMap<>(16, 0.75f, true);

    /** What is known of one destination. */
    private static final class Destination {
        final StormDetector detector;
        final RetryBudget budget;
        final ReturnSchedule schedule;
        final DecayingRate through;

        Destination(long now, StormFigures figures, RandomGenerator random) {
            detector = new StormDetector(now, figures);
            budget = new RetryBudget(now, figures);
            schedule = new ReturnSchedule(now, figures.longestWait(), random);
            through = new DecayingRate(now, figures.window());
        }
    }

    /** A gate that has seen nothing; {@code log} gets one line for each beginning and end of a storm. */
    public StormGate(StormFigures figures, RandomGenerator random, Consumer<String> log) {
        this.figures = figures;
        this.random = random;
        this.log = log;
    }

    /** A subscriber's call comes in; {@code again} for a redial, and for a cut call that comes again. */
    public Verdict offered(long now, int destination, boolean again) {
        Destination known = destination(now, destination);
        tell(now, destination, known, known.detector.tried(now, again));
        if (!again || !known.detector.storm() || known.budget.take(now)) {
            return PASS;
        }
        double free = figures.budgetShare() * known.through.perSecond(now) + figures.budgetFloor();
        return new TurnedAway(known.schedule.waitFor(now, free));
    }

    /** A first try came to stand. */
    public void gotThrough(long now, int destination) {
        Destination known = destination(now, destination);
        known.through.add(now, 1);
        known.budget.gotThrough(now);
    }

    /** Time has passed: storms that have blown over end. */
    public void look(long now) {
        destinations.forEach((number, known) -> tell(now, number, known, known.detector.look(now)));
    }

    /** Destinations that are known, at most as many as the figures say. */
    int known() {
        return destinations.size();
    }

    private Destination destination(long now, int number) {
        Destination known = destinations.get(number);
        if (known == null) {
            if (destinations.size() >= figures.mostKeys()) {
                Iterator<Integer> oldest = destinations.keySet().iterator();
                oldest.next();
                oldest.remove();
            }
            known = new Destination(now, figures, random);
            destinations.put(number, known);
        }
        return known;
    }

    private void tell(long now, int number, Destination known, StormDetector.Change change) {
        if (change != StormDetector.Change.NONE) {
            String what = change == StormDetector.Change.BEGAN ? "begins" : "ends";
            log.accept(String.format(Locale.ROOT,
                    "storm toward exchange %d %s: %.1f redials and %.1f first tries a second", number, what,
                    known.detector.redialsPerSecond(now), known.detector.firstTriesPerSecond(now)));
        }
    }
}
