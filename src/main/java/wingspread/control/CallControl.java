package wingspread.control;

import java.util.List;

/**
 * The interface between a softswitch and the decisions of its call control: settings, events, actions and
 * types.
 *
 * <p>A host creates one control per exchange, feeds it events in the order in which they happen and carries
 * out the actions that the control asks of it. All times are microseconds on the host's clock;
 * deadlines are absolute on it. Addresses, call ids and timer tokens are opaque numbers. A control is
 * confined to one thread.
 */
public interface CallControl {

    /** A call has come in. The control now owes exactly one final answer, or a set-up that stands. */
    void onCall(long now, Call call);

    /** The attempt has brought the call to stand; it keeps its circuits until its outcome. */
    void onStood(long now, long call, int attempt, long exchange, long took);

    /** The result of an attempt; each attempt gets one. */
    void onOutcome(long now, Outcome outcome);

    /** The caller has gone, or the answer is overdue: no answer is owed any longer. */
    void onDropped(long now, long call);

    /** News of the exchanges. */
    void onExchangeList(long now, ListKind kind, List<Exchange> entries);

    /** The answer to a probe, or unasked news of the free circuits toward an exchange. */
    void onReport(long now, long exchange, Status status, long took, Report report);

    /** A timer set through {@link Host#timer} has fallen due. */
    void onTimer(long now, long token);

    /** A message from another softswitch. */
    void onPeer(long now, int from, byte[] message);

    /** What a control asks of its host. */
    interface Host {
        /** Starts a set-up to the destination itself or a tandem, to be given up at a deadline. */
        void send(long call, long exchange, long deadline);

        /** Final answer: refused; {@code retryAfter} of 0 gives no guidance. */
        void refuse(long call, long retryAfter);

        /** Final answer: failed. */
        void fail(long call);

        /** Stops waiting for one attempt. */
        void cancel(long call, int attempt);

        /** Asks for {@link CallControl#onTimer} at a time. */
        void timer(long at, long token);

        /** Asks an exchange for its health. */
        void probe(long exchange);

        /** Closes the idle connections to an exchange. */
        void closeIdle(long exchange);

        /** Sends a message to one softswitch, or to all with {@link #ALL_PEERS}. */
        void tell(int peer, byte[] message);

        /** Writes one line for the people on call. */
        void log(String line);

        /** Subscribes to the list of exchanges, or ends the subscription. */
        void subscribe(boolean on);

        /** Asks once for the complete list of exchanges. */
        void fetchList();

        /** The peer index that stands for every other softswitch. */
        int ALL_PEERS = 0xffff;
    }

    /** How exchanges are joined: by groups of circuits, or as pools of agents that all softswitches share. */
    enum Layout { NETWORK, SKILLS }

    /** Where figures of a processor come from. */
    enum Reports { PIGGYBACK, PULL, SILENT }

    /** What a repeated set-up of a class may do. */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** The exchanges that recognise a repeat. */
    enum RepeatGroup { ALL, ZONE, CELL }

    /** Whether an exchange takes work. */
    enum Readiness { READY, DRAINING, GONE }

    /** What a list of exchanges holds. */
    enum ListKind { DELTA, FULL, CACHED, FAILED }

    /** How an attempt or a probe ended. */
    enum Status { OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT }

    /** Why a set-up was turned back. */
    enum Cause { NONE, NO_CIRCUIT, TANDEM_BLOCKED, BEYOND_FULL, PROCESSOR_FULL, LINES_BUSY }

    /** What the site states at the start; times in microseconds, 0 where the site says nothing. */
    record Settings(
            Layout layout, int ownPlace, int ownZone, int rank, int softswitches, List<CallClass> classes,
            boolean askForList, Reports reports, boolean probes, boolean peers, boolean cancel,
            boolean secondCopies, boolean advice, boolean retryAfter, long maxRetryAfter, int maxAttempts,
            long release, long resend, Obligations obligations) { }

    /** The figures of the rules. */
    record Obligations(
            long answerGrace, long drainGrace, long askWithin, double coldShare, long cold,
            double fallMultiple, long fall) { }

    /** A class of call; {@code pools} are those with its skill, empty where all have it. */
    record CallClass(
            String name, long aim, long deadline, double worth, double lateWorth, double width, long holding,
            Effect effect, RepeatGroup group, long repeatWindow, List<Integer> pools) { }

    /** One line of the list of exchanges; {@code upSince} of 0 is long past. */
    record Exchange(
            long address, int zone, int kind, int place, Readiness readiness, double weight,
            long upSince) { }

    /**
     * A call; {@code via} is the place that a centre advises, or of the exchange that sent a call in transit,
     * -1 for none.
     */
    record Call(
            long id, int callClass, long number, long deadline, int destination, double width, int via,
            boolean redial, boolean transit, boolean cut) { }

    /** The result of an attempt; {@code waitNamed} is the wait that a full processor named, else 0. */
    record Outcome(
            long call, int attempt, boolean closed, long exchange, long took, Status status, Cause cause,
            long waitNamed, Report report) { }

    /** Figures toward and of an exchange; NaN where not told. Rates per second, waits in milliseconds. */
    record Report(
            double free, double circuits, double outstanding, double backlog, double utilization,
            double waitMs, double maxRate, double reduce) {
        /** A report that tells nothing. */
        public static final Report NOTHING = new Report(
                Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN,
                Double.NaN);
    }
}
