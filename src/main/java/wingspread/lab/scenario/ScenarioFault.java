package wingspread.lab.scenario;

/** A fault or a surge of traffic during a run. Times are in microseconds from the start of the run. */
public sealed interface ScenarioFault {
    /** Returns the start time. */
    long at();

    /** Returns the end time, or the time of its last event. */
    long until();

    /** All callers offer more traffic; it rises and falls linearly, in {@code rise} each, between start and end. */
    record Surge(long at, long until, double factor, long rise) implements ScenarioFault { }

    /** Some exchanges originate a share of all calls in addition to their own. */
    record HotCaller(long at, long until, int exchanges, double share) implements ScenarioFault { }

    /** A share of all calls goes to a single number, which has {@code lines} lines. */
    record HotNumber(long at, long until, double share, int lines) implements ScenarioFault { }

    /** The trunk groups between one region and the others, or all groups, keep only a share of their circuits. */
    record CircuitLoss(long at, long until, int region, double keep) implements ScenarioFault {
        /** Value of {@code region} that selects all groups. */
        public static final int EVERYWHERE = -1;
    }

    /** A randomly selected share of the processors is slower by a factor. */
    record SlowProcessors(long at, long until, double share, double factor) implements ScenarioFault { }

    /** Load reports are delayed further. */
    record LateReports(long at, long until, long delay) implements ScenarioFault { }

    /** Processors crash, and restart cold at the end time. */
    record Crash(long at, long until, int exchanges) implements ScenarioFault { }

    /** Processors are unresponsive and do no work. */
    record Silence(long at, long until, int exchanges) implements ScenarioFault { }

    /** Machines are replaced one after the other, each by a machine with a new ID that starts cold. */
    record Replace(long at, long until, int exchanges) implements ScenarioFault { }

    /** Exchanges drain until the end time; then each is replaced by a new one that starts cold. */
    record Drain(long at, long until, int exchanges) implements ScenarioFault { }
}
