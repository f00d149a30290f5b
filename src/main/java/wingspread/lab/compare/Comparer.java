package wingspread.lab.compare;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import wingspread.lab.Experiment;
import wingspread.lab.host.SoftswitchPool;
import wingspread.lab.measure.Service;
import wingspread.lab.world.Model;

/** Runs two variants on the same days, in pairs, until the difference is known with the requested precision. */
public final class Comparer {
    private static final double CONFIDENCE = 0.95;
    private static final int MAX_BREACHES = 20;

    /**
     * A variant under comparison.
     *
     * @param family 0 to give its softswitches the random streams of the day, else a family of separate ones
     */
    public record Variant(String name, SoftswitchPool softswitches, int family) { }

    private record Pair(Model.Run a, Model.Run b) { }

    private final Experiment experiment;
    private final Sampling sampling;
    private final Runnable progress;
    private final BiConsumer<Model.Run, Model.Run> each;

    /** Creates a comparer; {@code progress} is called after each pair, on the thread that ran it. */
    public Comparer(Experiment experiment, Sampling sampling, Runnable progress) {
        this(experiment, sampling, progress, (runA, runB) -> { });
    }

    /** Creates a comparer that also passes every pair of runs to {@code each}, in the order of the days. */
    public Comparer(Experiment experiment, Sampling sampling, Runnable progress,
            BiConsumer<Model.Run, Model.Run> each) {
        this.each = each;
        this.experiment = experiment;
        this.sampling = sampling;
        this.progress = progress;
    }

    /**
     * Compares two variants.
     *
     * @param firstReplication number of the first day, so that comparisons can be repeated on other days
     */
    public Comparison compare(Variant a, Variant b, int firstReplication) {
        List<Pair> pairs = new ArrayList<>();
        Sampling.Step step = sampling.first();
        int stages = 0;
        while (step instanceof Sampling.Play play) {
            pairs.addAll(experiment.mapInParallel(firstReplication + pairs.size(), play.more(), n -> {
                Pair pair = new Pair(play(a, n), play(b, n));
                progress.run();
                return pair;
            }));
            Interval intervalSoFar = difference(pairs, Service::result, CONFIDENCE);
            step = sampling.next(++stages, intervalSoFar);
        }
        pairs.forEach(pair -> each.accept(pair.a(), pair.b()));
        boolean narrow = step instanceof Sampling.Stop stop && stop.narrow();
        return new Comparison(a.name(), b.name(), experiment.scenario().name(), experiment.seed(),
                difference(pairs, Service::result, CONFIDENCE), mean(pairs, Pair::a, Service::result),
                mean(pairs, Pair::b, Service::result), parts(pairs), narrow, stages,
                pairs.stream().mapToLong(pair -> pair.a().calls() + pair.b().calls()).sum(), breaches(pairs));
    }

    private Model.Run play(Variant variant, int replication) {
        return variant.softswitches().with(s -> experiment.runReplication(replication, s, variant.family()));
    }

    private static Interval difference(List<Pair> pairs, ToDoubleFunction<Service> part, double confidence) {
        // A class without calls on a day has no service value for that day, for either variant.
        return Interval.of(pairs.stream().mapToDouble(
                pair -> part.applyAsDouble(pair.b().service()) - part.applyAsDouble(pair.a().service()))
                .filter(value -> !Double.isNaN(value)).toArray(), confidence);
    }

    private static double mean(List<Pair> pairs, Function<Pair, Model.Run> side,
            ToDoubleFunction<Service> part) {
        return pairs.stream().mapToDouble(pair -> part.applyAsDouble(side.apply(pair).service()))
                .filter(value -> !Double.isNaN(value)).average().orElse(Double.NaN);
    }

    /** Computes the parts' differences, with a Bonferroni correction for the joint confidence of all parts. */
    private static List<Comparison.Part> parts(List<Pair> pairs) {
        List<String> names = new ArrayList<>(List.of("whole run", "worst 10 s", "worst class", "late failures",
                "wasted work"));
        List<ToDoubleFunction<Service>> parts = new ArrayList<>(List.of(Service::whole, Service::worstWindow,
                Service::worstClass, s -> -s.lateFail(), s -> -s.waste()));
        List<Service.ByClass> classes = pairs.get(0).a().service().classes();
        IntStream.range(0, classes.size()).forEach(i -> {
            names.add(classes.get(i).name());
            parts.add(service -> service.classes().get(i).service());
        });
        double confidence = 1 - (1 - CONFIDENCE) / parts.size();
        return IntStream.range(0, parts.size()).mapToObj(i -> new Comparison.Part(names.get(i),
                mean(pairs, Pair::a, parts.get(i)), mean(pairs, Pair::b, parts.get(i)),
                difference(pairs, parts.get(i), confidence))).toList();
    }

    private static List<String> breaches(List<Pair> pairs) {
        List<String> out = new ArrayList<>();
        for (int i = 0; i < pairs.size() && out.size() < MAX_BREACHES; i++) {
            int day = i;
            pairs.get(i).a().breaches().forEach(breach -> out.add("A on day " + day + ", " + breach));
            pairs.get(i).b().breaches().forEach(breach -> out.add("B on day " + day + ", " + breach));
        }
        return out.subList(0, Math.min(out.size(), MAX_BREACHES));
    }
}
