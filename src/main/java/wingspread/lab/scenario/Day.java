package wingspread.lab.scenario;

import java.util.List;

/**
 * One realization of a scenario, the same for both variants of a replication. Times are in microseconds; shares are
 * from 0 to 1.
 *
 * @param length duration of the offered traffic
 * @param tick softswitches run their turns at multiples of this; 0 for without delay
 * @param recorded recorded calls to play; null if the calls are drawn
 */
public record Day(long length, long tick, Fleet fleet, Load load, Net net, Work work, Cold cold, Callers callers,
        DirectoryDelays news, Reports reports, Rules rules, Goal goal, List<ClassOfCall> classes,
        List<ScenarioFault> troubles, RecordedTraffic recorded) {

    /**
     * The exchanges and the circuits between them.
     *
     * @param erlangs traffic of one exchange at load 1, in erlangs (mean number of busy circuits)
     * @param spare circuits of a group in excess of its planned load, in multiples of the square root of that load
     * @param pairSpread coefficient of variation of the planned load across pairs of exchanges
     * @param trafficSpread coefficient of variation of the actual traffic relative to the plan
     * @param local ratio of the traffic within a region to that between regions
     */
    public record Fleet(int exchanges, List<String> regions, double erlangs, double spare, double pairSpread,
            double trafficSpread, double local) { }

    /**
     * The offered load.
     *
     * @param level mean load; 1 is the planned load
     * @param shape shape of the load over the run: {@code wave} or {@code ramp}
     * @param swing amplitude of the load's variation over the run, as a share
     * @param driftSpread coefficient of variation of the traffic by destination, redrawn every {@code driftTime}
     * @param driftTime interval of redrawing; 0 for never
     */
    public record Load(double level, String shape, double swing, double driftSpread, long driftTime) { }

    /**
     * One-way network delays.
     *
     * @param jitter max additional delay, as a share
     * @param groupReport changes of a trunk group within this time are reported together
     */
    public record Net(long withinRegion, long betweenRegions, double jitter, long groupReport) { }

    /**
     * Work of the exchanges' processors; costs are relative to that of a set-up.
     *
     * @param use processor utilization at load 1 if all calls take the direct route
     * @param look cost of processing a call at the exchange from which a set-up is sent on
     * @param refuse cost of refusing a set-up
     * @param follow cost of processing an answer or a release
     * @param refuseAfter queueing time after which set-ups are refused
     * @param answersFirst whether answers are processed before set-ups
     * @param cancelDrops whether a cancelled set-up is dropped without being processed
     * @param faults share of set-ups that end in a signalling fault
     */
    public record Work(double use, double look, double refuse, double follow, long refuseAfter,
            boolean answersFirst, boolean cancelDrops, double faults) { }

    /**
     * A cold start.
     *
     * @param from initial share of the capacity
     * @param time duration until the full capacity is available
     */
    public record Cold(double from, long time) { }

    /**
     * Behaviour of callers.
     *
     * @param redials max redials after the fresh call; the fraction is the share of callers that redial once more
     * @param patience how long a caller waits for an answer, as a share of the class's deadline
     * @param backoff delay before a redial
     * @param doubling whether the delay doubles with each redial
     * @param honour share of callers that observe an advised wait
     * @param marked whether redials are marked as such
     * @param impatient share of offers that the caller abandons early
     * @param again share of cut calls that are offered again
     * @param maxAdvisedWait max advised wait that callers observe; a longer one is shortened to this
     */
    public record Callers(double redials, double patience, long backoff, boolean doubling, double honour,
            boolean marked, double impatient, double again, long maxAdvisedWait) { }

    /**
     * Delays of notifications from the directory.
     *
     * @param start delay of the notification of a start
     * @param end delay of the notification of an end or a drain
     * @param spread max additional random delay for each softswitch
     */
    public record DirectoryDelays(long start, long end, long spread) { }

    /**
     * Load reports in answers.
     *
     * @param period interval at which reports are renewed
     * @param delay delay of the reported values
     * @param noise relative error of the reported values
     */
    public record Reports(long period, long delay, double noise) { }

    /**
     * Limits set by the platform's rules.
     *
     * @param answerGrace time after the deadline within which a call must still be answered
     * @param drainGrace time after the notification of a drain until which set-ups may still be sent
     * @param maxAttempts max number of attempts per call
     * @param release wait after a time-out, reset or cancellation until the release of the attempt takes effect
     * @param fallMultiple multiple of its capacity up to which a cold exchange bears load
     * @param fall window over which that load is measured
     * @param coldShare initial share of the capacity of a cold exchange
     * @param cold duration after a start for which an exchange counts as cold
     */
    public record Rules(long answerGrace, long drainGrace, int maxAttempts, long release, double fallMultiple,
            long fall, double coldShare, long cold) { }

    /**
     * Weights of the components of the result.
     *
     * @param whole weight of the service over the whole run
     * @param worstWindow weight of the service in the worst time window
     * @param worstClass weight of the service of the worst class
     * @param lateFail deduction for calls that fail late
     * @param waste deduction for wasted work of processors
     */
    public record Goal(double whole, double worstWindow, double worstClass, double lateFail, double waste) { }

    /**
     * A class of calls.
     *
     * @param part weight of the class; its share of the calls is this divided by the sum over all classes
     * @param aim set-up time within which a call has its full value
     * @param worth value of a call established within {@code aim}
     * @param lateWorth share of the value left for a call established later
     * @param width number of circuits that a call occupies
     * @param holding mean holding time
     */
    public record ClassOfCall(String name, double part, long aim, long deadline, double worth, double lateWorth,
            int width, long holding) { }
}
