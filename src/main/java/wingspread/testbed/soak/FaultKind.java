package wingspread.testbed.soak;

import java.util.Locale;

/** The faults that a trial can inject into a softswitch and its peers. Each belongs to a group of faults. */
public enum FaultKind {
    /** SIGTERM to a softswitch, SIGKILL at the earliest time that the platform allows, and a restart. */
    RESTART(Group.SHUTDOWN, Target.SOFTSWITCH),
    /** SIGKILL to a softswitch without a preceding SIGTERM, and a restart. */
    KILL(Group.SHUTDOWN, Target.SOFTSWITCH),
    /** A restart as in {@link #RESTART}, amid a series of signals: SIGHUP, SIGTERM, SIGHUP, SIGTERM. */
    SIGNALS(Group.SHUTDOWN, Target.SOFTSWITCH, 1),
    /** Three configurations in quick succession, each with a new address of the directory, and a SIGHUP for each. */
    RELOAD(Group.DISCOVERY, Target.SOFTSWITCH),
    /** The directory does not answer. */
    DIRECTORY_SILENT(Group.DISCOVERY, Target.NONE),
    /** The directory answers {@code size} milliseconds late. */
    DIRECTORY_LATE(Group.DISCOVERY, Target.NONE),
    /** The directory's answers are cut short. */
    DIRECTORY_CUT(Group.DISCOVERY, Target.NONE),
    /** The directory's answers are marked as truncated, and list only the first exchanges. */
    DIRECTORY_TRUNCATED(Group.DISCOVERY, Target.NONE),
    /** The directory answers with an earlier list. */
    DIRECTORY_OLD(Group.DISCOVERY, Target.NONE),
    /** The directory's answers carry an id that does not match the query. */
    DIRECTORY_WRONG_ID(Group.DISCOVERY, Target.NONE),
    /** The directory answers with an error code. */
    DIRECTORY_ERROR(Group.DISCOVERY, Target.NONE),
    /** An exchange drains, and is shut down {@code size} milliseconds later. */
    DRAIN(Group.DISCOVERY, Target.EXCHANGE),
    /**
     * An exchange drains for {@code size} milliseconds, leaves the directory and returns under its id at its address,
     * {@code forMs} later. Its new process may start before softswitches have been told that the earlier one has gone.
     */
    RETURN(Group.DISCOVERY, Target.EXCHANGE, 1),
    /** Callers send malformed requests. */
    GARBAGE(Group.CALLERS, Target.SOFTSWITCH),
    /** Callers open {@code size} connections and never complete a request on them. */
    CROWD(Group.CALLERS, Target.SOFTSWITCH),
    /** Callers offer the id of an open call again. */
    REPEATED_ID(Group.CALLERS, Target.SOFTSWITCH),
    /** Callers abandon their calls early. */
    GIVE_UP(Group.CALLERS, Target.SOFTSWITCH),
    /** An exchange's answers are duplicated, late or corrupted. */
    SPOILT_ANSWER(Group.CALLERS, Target.EXCHANGE),
    /** An exchange's machine fails: its connections are silent, new ones are never established. It restarts later. */
    VANISH(Group.NETWORK, Target.EXCHANGE),
    /** An exchange's machine fails as in {@link #VANISH}, and a new exchange takes over its address. */
    REPLACE(Group.NETWORK, Target.EXCHANGE),
    /** An exchange's process hangs: connections are established, but nothing is answered. */
    HANG(Group.NETWORK, Target.EXCHANGE),
    /** An exchange is cut off from all softswitches, but continues to run. */
    PARTITION(Group.NETWORK, Target.EXCHANGE),
    /** An exchange's process crashes: connections are reset and new ones refused until it is restarted. */
    CRASH(Group.NETWORK, Target.EXCHANGE),
    /** All connections to an exchange are reset. */
    RESET(Group.NETWORK, Target.EXCHANGE),
    /** New connections to an exchange are established late. */
    LATE_CONNECT(Group.NETWORK, Target.EXCHANGE),
    /** New connections to an exchange are closed immediately. */
    CLOSE_EARLY(Group.NETWORK, Target.EXCHANGE),
    /** An exchange closes half of its connections without open set-ups, every 700 ms. */
    CLOSE_IDLE(Group.NETWORK, Target.EXCHANGE, 1),
    /** An exchange forgets half of its connections without open set-ups, every 700 ms: they stay open and silent. */
    FORGET_IDLE(Group.NETWORK, Target.EXCHANGE, 1),
    /** The network loses half of the connections to an exchange: they stay open on both sides and transfer nothing. */
    LOSE_CONNECTIONS(Group.NETWORK, Target.EXCHANGE, 1),
    /** Connections are reset after {@code size} bytes from the exchange. */
    RESET_IN_MESSAGE(Group.PIECES, Target.EXCHANGE),
    /** Data from an exchange arrives in segments of {@code size} bytes. */
    PIECES(Group.PIECES, Target.EXCHANGE),
    /** Callers send their requests in several segments. */
    SLOW_WRITER(Group.PIECES, Target.SOFTSWITCH),
    /** Callers send a request and close their connection right after it. */
    SEND_AND_CLOSE(Group.PIECES, Target.SOFTSWITCH),
    /** {@code size} bad callers send a few hundred requests each at once. */
    BURST(Group.CALLERS, Target.SOFTSWITCH, 2),
    /** Bad callers send requests that would forge messages to exchanges, or whose figures are out of range. */
    FORGERY(Group.CALLERS, Target.SOFTSWITCH, 2),
    /**
     * A softswitch is restarted while its callers have closed their connections and all exchanges hang, through the
     * whole of the shutdown or longer.
     */
    QUIET_RESTART(Group.SHUTDOWN, Target.SOFTSWITCH, 2),
    /** Callers close their connection during a set-up and send it again under the same id on another one. */
    LEAVE_AND_REPEAT(Group.PIECES, Target.SOFTSWITCH, 2),
    /** The directory's lists come without the records of the hosts, and answers about a host's attributes are cut. */
    DIRECTORY_WITHOUT_HOSTS(Group.DISCOVERY, Target.NONE, 3),
    /** The directory answers with an earlier list that is marked as truncated and cut before its serial number. */
    DIRECTORY_OLD_CUT(Group.DISCOVERY, Target.NONE, 3),
    /** The directory answers, under the query's id, that a host has no attributes, with the serial number. */
    DIRECTORY_WRONG_QUESTION(Group.DISCOVERY, Target.NONE, 3),
    /** An exchange returns as in {@link #RETURN} while the directory answers without hosts for a second. */
    RETURN_WITHOUT_HOSTS(Group.DISCOVERY, Target.EXCHANGE, 3);

    /** The group of a fault; a drawn schedule has faults of every group. */
    public enum Group { SHUTDOWN, DISCOVERY, CALLERS, NETWORK, PIECES }

    /** The kind of component that a fault affects; {@code NONE} for the directories of all softswitches. */
    public enum Target { NONE, SOFTSWITCH, EXCHANGE }

    private final Group group;
    private final Target target;
    private final int drawingRound;

    FaultKind(Group group, Target target) {
        this(group, target, 0);
    }

    FaultKind(Group group, Target target, int drawingRound) {
        this.group = group;
        this.target = target;
        this.drawingRound = drawingRound;
    }

    public Group group() {
        return group;
    }

    public Target target() {
        return target;
    }

    /**
     * Returns the round in which faults of this kind are drawn. Every round but the first, 0, has random numbers of its
     * own, so that the faults of earlier rounds of a seed stay the same when a kind is added in a new one.
     */
    int drawingRound() {
        return drawingRound;
    }

    /** Returns the fault's name on the command line, such as {@code directory-silent}. */
    public String option() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the fault with a name on the command line.
     *
     * @throws IllegalArgumentException if there is no such fault
     */
    public static FaultKind ofOption(String option) {
        return valueOf(option.strip().toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
