package wingspread.lab.world;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import wingspread.lab.scenario.Day;
import wingspread.lab.scenario.RecordedTraffic;
import wingspread.lab.scenario.Trouble;
import wingspread.lab.sim.Streams;

/**
 * Who calls whom, when and for how long: a Poisson stream whose rate follows the load, thinned (Lewis and Shedler
 * 1979), so that each candidate draws the same numbers whatever the rate is.
 */
final class Traffic {
    /** Exchanges that get a share of all calls beside their own. */
    record Crowd(int[] places, double share) { }

    /** A number that a share of all calls goes to. */
    record HotNumber(int destination, String number, double share) { }

    private final Network network;
    private final Day day;
    private final Streams streams;
    private final UniformRandomProvider draws;
    private final ZigguratSampler.Exponential exponential;
    private final double[][] planned;
    private final double[][] usual;
    private final double[][] now;
    /** Running sums of the classes' shares of calls. */
    private final double[] classes;
    private final double baseRate;
    /** The most planned rates that the day can come to, which thinning needs. */
    private final double mostTimes;
    private final int n;
    private double surge = 1;
    /** Crowds and hot numbers that are on; several at once share the draw between them. */
    private final List<Crowd> crowds = new ArrayList<>();
    private final List<HotNumber> hotNumbers = new ArrayList<>();
    private Consumer<RecordedTraffic.Call> heard = call -> { };
    private long arrivals;

    Traffic(Network network, Streams streams) {
        this.network = network;
        this.day = network.day();
        this.streams = streams;
        this.draws = streams.stream("calls");
        this.exponential = ZigguratSampler.Exponential.of(draws);
        this.n = day.fleet().exchanges();
        this.planned = new double[n][n];
        this.usual = new double[n][n];
        this.now = new double[n][n];
        double[] parts = day.classes().stream().mapToDouble(Day.ClassOfCall::part).toArray();
        normalise(parts);
        Arrays.parallelPrefix(parts, Double::sum);
        this.classes = parts;
        this.baseRate = day.load().level() * n * day.fleet().erlangs() / circuitTime(day.classes());
        this.mostTimes = mostTimes(day);
        plan();
        drift(0);
    }

    /** Mean circuits times holding time of a call, in microseconds. */
    static double circuitTime(List<Day.ClassOfCall> classes) {
        double parts = classes.stream().mapToDouble(Day.ClassOfCall::part).sum();
        return classes.stream().mapToDouble(c -> c.part() / parts * c.width() * c.holding()).sum();
    }

    private static double mostTimes(Day day) {
        double most = 1 + day.load().swing();
        for (Trouble trouble : day.troubles()) {
            most *= trouble instanceof Trouble.Surge surge ? Math.max(1, surge.factor()) : 1;
        }
        return most;
    }

    private void plan() {
        UniformRandomProvider random = streams.stream("plan");
        Day.Fleet fleet = day.fleet();
        for (int a = 0; a < n; a++) {
            for (int b = 0; b < n; b++) {
                boolean local = network.nodes().get(a).region == network.nodes().get(b).region;
                double plan = a == b ? 0 : (local ? fleet.local() : 1) * spread(random, fleet.pairSpread());
                planned[a][b] = plan;
                usual[a][b] = plan * spread(random, fleet.missed());
            }
        }
        for (int a = 0; a < n; a++) {
            normalise(planned[a]);
            normalise(usual[a]);
        }
    }

    /** A factor of mean 1 with a variation coefficient, lognormal. */
    private static double spread(UniformRandomProvider random, double cv) {
        double variance = Math.log1p(cv * cv);
        double normal = ZigguratSampler.NormalizedGaussian.of(random).sample();
        return Math.exp(Math.sqrt(variance) * normal - variance / 2);
    }

    private static void normalise(double[] row) {
        double sum = 0;
        for (double value : row) {
            sum += value;
        }
        for (int i = 0; i < row.length; i++) {
            row[i] = sum > 0 ? row[i] / sum : 0;
        }
    }

    /** Sizes the groups for the plan. */
    void buildGroups() {
        for (int a = 0; a < n; a++) {
            for (int b = a + 1; b < n; b++) {
                double load = day.fleet().erlangs() * (planned[a][b] + planned[b][a]);
                int size = (int) Math.ceil(load + day.fleet().spare() * Math.sqrt(load));
                network.join(a, b, new Group(Math.max(1, size)));
            }
        }
    }

    private void drift(int epoch) {
        UniformRandomProvider random = streams.stream("drift", epoch);
        for (int a = 0; a < n; a++) {
            double sum = 0;
            for (int b = 0; b < n; b++) {
                sum += usual[a][b] * (epoch == 0 ? 1 : spread(random, day.load().driftSpread()));
                now[a][b] = sum;
            }
            for (int b = 0; b < n; b++) {
                now[a][b] /= sum;
            }
        }
        if (day.load().driftTime() > 0) {
            network.time().at(network.start() + (epoch + 1) * day.load().driftTime(), () -> drift(epoch + 1));
        }
    }

    /** Starts calling; {@code heard} is told of each first try. */
    void begin(Consumer<RecordedTraffic.Call> whoHears) {
        heard = whoHears;
        if (day.recorded() == null) {
            next();
        } else {
            replay(0);
        }
    }

    /** The next recorded call. How long it lasts, and what its caller does, is drawn as ever. */
    private void replay(int which) {
        if (which < day.recorded().calls().size()) {
            RecordedTraffic.Call call = day.recorded().calls().get(which);
            if (call.at() < day.length()) {
                network.time().at(network.start() + call.at(), () -> {
                    offer(call.origin(), call.callClass(), call.destination(),
                            HexFormat.of().toHexDigits(call.number()), exponential.sample(), draws.nextLong());
                    replay(which + 1);
                });
            }
        }
    }

    private void offer(int origin, int callClass, int destination, String number, double holding, long seed) {
        arrivals++;
        heard.accept(new RecordedTraffic.Call(network.now() - network.start(), origin, callClass, destination,
                Long.parseUnsignedLong(number, 16)));
        new Subscriber(network, network.nodes().get(origin), callClass, destination, number,
                Math.round(holding * day.classes().get(callClass).holding()),
                RandomSource.SPLIT_MIX_64.create(seed)).dial(false);
    }

    private void next() {
        // Compared before it is added: where nobody calls, the wait is infinite.
        double wait = Math.max(1, exponential.sample() / (baseRate * mostTimes));
        if (wait < network.start() + day.length() - network.now()) {
            network.time().in((long) wait, this::candidate);
        }
    }

    /** Whether it calls or not, a candidate takes the same number of draws. */
    private void candidate() {
        boolean calls = draws.nextDouble() < rate() / mostTimes;
        double fromHot = draws.nextDouble();
        int origin = draws.nextInt(n);
        int hot = draws.nextInt(Integer.MAX_VALUE);
        double whichClass = draws.nextDouble();
        double where = draws.nextDouble();
        double toHotNumber = draws.nextDouble();
        long number = draws.nextLong();
        double holding = exponential.sample();
        long seed = draws.nextLong();
        if (calls) {
            Crowd crowd = drawn(crowds, Crowd::share, fromHot);
            if (crowd != null) {
                origin = crowd.places[hot % crowd.places.length];
            }
            HotNumber called = drawn(hotNumbers, HotNumber::share, toHotNumber);
            boolean toHot = called != null && origin != called.destination;
            offer(origin, pick(classes, whichClass), toHot ? called.destination : destination(origin, where),
                    toHot ? called.number : HexFormat.of().toHexDigits(number), holding, seed);
        }
        next();
    }

    /** The rate now, in planned rates. */
    private double rate() {
        double along = (network.now() - network.start()) / (double) day.length();
        double swing = day.load().swing();
        double shape = day.load().shape().equals("ramp") ? 1 - swing + 2 * swing * along
                : 1 + swing * Math.sin(2 * Math.PI * along);
        return shape * surge;
    }

    /** The one whose share a number below 1 falls into; null for none. */
    private static <T> T drawn(List<T> all, ToDoubleFunction<T> share, double u) {
        double sum = 0;
        for (T one : all) {
            sum += share.applyAsDouble(one);
            if (u < sum) {
                return one;
            }
        }
        return null;
    }

    /** Guards against the last rounding of a running sum, by which an exchange would call itself. */
    private int destination(int origin, double u) {
        int picked = pick(now[origin], u);
        return picked == origin ? (origin + 1) % n : picked;
    }

    /** The first whose running sum lies above a number below 1. */
    private static int pick(double[] sums, double u) {
        int low = 0;
        int high = sums.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (sums[middle] > u) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    void surge(double factor) {
        surge = factor;
    }

    List<Crowd> crowds() {
        return crowds;
    }

    List<HotNumber> hotNumbers() {
        return hotNumbers;
    }

    /** Calls that have come in for the first time. */
    long arrivals() {
        return arrivals;
    }
}
