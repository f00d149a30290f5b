package wingspread.lab.scenario;

import java.util.List;

/**
 * One draw from a scenario: what both variants of a replication meet. Times in microseconds; shares from 0 to 1.
 *
 * @param length how long callers call
 * @param recorded the calls, where they are recorded ones; null where they are drawn
 * @param tick softswitches act at multiples of this; 0 for at once
 */
public record Day(long length, long tick, Fleet fleet, Load load, Net net, Work work, Cold cold, Callers callers,
        News news, Reports reports, Rules rules, Goal goal, List<ClassOfCall> classes, List<Trouble> troubles,
        RecordedTraffic recorded) {

    /**
     * The exchanges and the circuits between them.
     *
     * @param erlangs circuits that one exchange's calls keep busy at load 1
     * @param spare circuits of a group beyond its planned load, in square roots of that
     * @param pairSpread variation coefficient of the planned load from pair to pair
     * @param missed variation coefficient of the traffic against the plan
     * @param local traffic inside a region over that between regions
     */
    public record Fleet(int exchanges, List<String> regions, double erlangs, double spare, double pairSpread,
            double missed, double local) { }

    /**
     * How much is called.
     *
     * @param swing the load's rise and fall over the run, as a share
     * @param driftSpread variation coefficient of where calls go, drawn anew every {@code driftTime}
     */
    public record Load(double level, String shape, double swing, double driftSpread, long driftTime) { }

    /** One-way delays; jitter is the most that is added, as a share. */
    public record Net(long withinRegion, long betweenRegions, double jitter, long groupReport) { }

    /**
     * What the processors do, in set-ups.
     *
     * @param use how busy a processor is at load 1 if all calls go direct
     * @param refuseAfter the wait past which set-ups are refused
     * @param cancelDrops a set-up that was given up is not worked on
     * @param faults share of set-ups that end in a signalling fault
     */
    public record Work(double use, double look, double refuse, double follow, long refuseAfter,
            boolean answersFirst, boolean cancelDrops, double faults) { }

    /** A start: its first share of the capacity, and the time until it has all. */
    public record Cold(double from, long time) { }

    /**
     * What callers do.
     *
     * @param redials tries after the first; a fraction is the share of callers that try once more
     * @param patience how long a try waits, as a share of the class's deadline
     * @param honour share that keeps to a wait it is told
     * @param impatient share that gives a try up before its time
     * @param again share of cut calls that come again
     */
    public record Callers(double redials, double patience, long backoff, boolean doubling, double honour,
            boolean marked, double impatient, double again, long mostWait) { }

    /** How late the directory tells of a start, of an end or a drain; and how unevenly. */
    public record News(long start, long end, long spread) { }

    /** Load reports in answers: how often they are renewed, how late they are, how far they may be off. */
    public record Reports(long period, long delay, double noise) { }

    /** The figures of the platform's rules. */
    public record Rules(long answerGrace, long drainGrace, int maxAttempts, long release, double fallMultiple,
            long fall, double coldShare, long cold) { }

    /** Weights of the result and its deductions. */
    public record Goal(double whole, double worstWindow, double worstClass, double lateFail, double waste) { }

    /** A class of call; its share of calls is told as a part of all parts. */
    public record ClassOfCall(String name, double part, long aim, long deadline, double worth, double lateWorth,
            int width, long holding) { }
}
