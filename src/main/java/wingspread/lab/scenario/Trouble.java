package wingspread.lab.scenario;

/** Something that goes wrong at a time. Times in microseconds from the start of the run. */
public sealed interface Trouble {
    /** When it begins. */
    long at();

    /** When it ends, or when the last of it has happened. */
    long until();

    /** All callers call more; the rise and the fall are straight lines within the time. */
    record Surge(long at, long until, double factor, long rise) implements Trouble { }

    /** So many exchanges get a share of all calls beside their own. */
    record HotCaller(long at, long until, int exchanges, double share) implements Trouble { }

    /** A share of all calls goes to one number, of which so many lines can be busy at once. */
    record HotNumber(long at, long until, double share, int lines) implements Trouble { }

    /** The groups between one region and the others, or all groups, keep a share of their circuits. */
    record CircuitLoss(long at, long until, int region, double keep) implements Trouble {
        /** In place of a region: all groups. */
        public static final int EVERYWHERE = -1;
    }

    /** A share of the processors, drawn, is slower by a factor. */
    record SlowProcessors(long at, long until, double share, double factor) implements Trouble { }

    /** Load reports are later by so much. */
    record LateReports(long at, long until, long delay) implements Trouble { }

    /** Processors die and start anew, cold, when the time is over. */
    record Crash(long at, long until, int exchanges) implements Trouble { }

    /** Processors say and do nothing for a time. */
    record Silence(long at, long until, int exchanges) implements Trouble { }

    /** Machines are replaced one after the other, each by one with a new id that starts cold. */
    record Replace(long at, long until, int exchanges) implements Trouble { }

    /** Exchanges drain until the time is over; then each is replaced by a new one that starts cold. */
    record Drain(long at, long until, int exchanges) implements Trouble { }
}
