package wingspread.testbed.soak;

import java.util.Locale;

/** What a trial can do to a softswitch and to those it talks to, by the group of faults that it belongs to. */
public enum FaultKind {
    /** SIGTERM to a softswitch, SIGKILL at the earliest time that the platform allows, and a new start. */
    RESTART(Group.SHUTDOWN, Target.SOFTSWITCH),
    /** SIGKILL without a word, and a new start. */
    KILL(Group.SHUTDOWN, Target.SOFTSWITCH),
    /** Three configurations in quick succession, each with another address of the directory, and SIGHUP for each. */
    RELOAD(Group.DISCOVERY, Target.SOFTSWITCH),
    /** The directory answers nothing. */
    DIRECTORY_SILENT(Group.DISCOVERY, Target.NONE),
    /** The directory answers {@code size} milliseconds late. */
    DIRECTORY_LATE(Group.DISCOVERY, Target.NONE),
    /** The directory's answers end early. */
    DIRECTORY_CUT(Group.DISCOVERY, Target.NONE),
    /** The directory's answers are marked as truncated, and name only the first exchanges. */
    DIRECTORY_TRUNCATED(Group.DISCOVERY, Target.NONE),
    /** The directory answers with an earlier list. */
    DIRECTORY_OLD(Group.DISCOVERY, Target.NONE),
    /** The directory answers under another id. */
    DIRECTORY_WRONG_ID(Group.DISCOVERY, Target.NONE),
    /** The directory answers that it has failed. */
    DIRECTORY_ERROR(Group.DISCOVERY, Target.NONE),
    /** An exchange drains, and goes {@code size} milliseconds later. */
    DRAIN(Group.DISCOVERY, Target.EXCHANGE),
    /** Callers that send what cannot be read. */
    GARBAGE(Group.CALLERS, Target.SOFTSWITCH),
    /** {@code size} connections of callers that never finish a request. */
    CROWD(Group.CALLERS, Target.SOFTSWITCH),
    /** Callers that offer the id of an open call again. */
    REPEATED_ID(Group.CALLERS, Target.SOFTSWITCH),
    /** Callers that give up early. */
    GIVE_UP(Group.CALLERS, Target.SOFTSWITCH),
    /** An exchange's answers come twice, late, or spoilt. */
    SPOILT_ANSWER(Group.CALLERS, Target.EXCHANGE),
    /** An exchange's machine vanishes: its connections are silent, new ones never come up; it returns started anew. */
    VANISH(Group.NETWORK, Target.EXCHANGE),
    /** The same, and a new exchange takes its address. */
    REPLACE(Group.NETWORK, Target.EXCHANGE),
    /** An exchange's process hangs: connections come up, nothing is answered. */
    HANG(Group.NETWORK, Target.EXCHANGE),
    /** An exchange is cut off from all softswitches, and works on. */
    PARTITION(Group.NETWORK, Target.EXCHANGE),
    /** An exchange's process dies: connections are reset and new ones refused; it is started again. */
    CRASH(Group.NETWORK, Target.EXCHANGE),
    /** All connections to an exchange are reset. */
    RESET(Group.NETWORK, Target.EXCHANGE),
    /** New connections to an exchange come up late. */
    LATE_CONNECT(Group.NETWORK, Target.EXCHANGE),
    /** New connections to an exchange are closed at once. */
    CLOSE_EARLY(Group.NETWORK, Target.EXCHANGE),
    /** Connections are reset {@code size} bytes into what the exchange sends. */
    RESET_IN_MESSAGE(Group.PIECES, Target.EXCHANGE),
    /** What an exchange sends comes in pieces of {@code size} bytes. */
    PIECES(Group.PIECES, Target.EXCHANGE),
    /** Callers send their requests in pieces. */
    SLOW_WRITER(Group.PIECES, Target.SOFTSWITCH),
    /** Callers send a request as they close their connection. */
    SEND_AND_CLOSE(Group.PIECES, Target.SOFTSWITCH);

    /** What kind of trouble a fault is. */
    public enum Group { SHUTDOWN, DISCOVERY, CALLERS, NETWORK, PIECES }

    /** Whom a fault strikes. */
    public enum Target { NONE, SOFTSWITCH, EXCHANGE }

    private final Group group;
    private final Target target;

    FaultKind(Group group, Target target) {
        this.group = group;
        this.target = target;
    }

    public Group group() {
        return group;
    }

    public Target target() {
        return target;
    }

    /** Its name on the command line, as in {@code directory-silent}. */
    public String option() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * The fault of a name on the command line.
     *
     * @throws IllegalArgumentException where there is none
     */
    public static FaultKind ofOption(String option) {
        return valueOf(option.strip().toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
