package wingspread.control;

import java.util.List;

/**
 * The interface between a softswitch and its call control, which decides where calls go: the settings, the
 * events, the actions and their types.
 *
 * <p>A host creates one control per exchange, passes it events in the order in which they occur and carries
 * out the actions that the control requests through {@link Host}. All times are microseconds on the host's
 * clock and all deadlines are absolute times on it. Addresses, call ids and timer tokens are opaque numbers.
 * A control is confined to one thread.
 */
public interface CallControl {

    /**
     * Handles an incoming call. The control must give the call exactly one final answer
     * ({@link Host#refuse} or {@link Host#fail}), unless an attempt establishes it or it is dropped.
     */
    void onCall(long now, Call call);

    /**
     * Handles the establishment of a call by an attempt. The call keeps its circuits until the attempt's
     * outcome.
     *
     * @param attempt  the number of the attempt within the call, from 0
     * @param exchange the address that the attempt was sent to
     * @param elapsed  the time from sending the set-up to its answer
     */
    void onCallEstablished(long now, long call, int attempt, long exchange, long elapsed);

    /** Handles the result of an attempt; each attempt has exactly one. */
    void onOutcome(long now, Outcome outcome);

    /**
     * Handles a call that needs no final answer any longer, because the caller has abandoned it or the host
     * has answered it at its deadline.
     */
    void onCallDropped(long now, long call);

    /** Handles an update of the list of exchanges, or the failure to obtain it. */
    void onExchangeList(long now, ListKind kind, List<Exchange> entries);

    /**
     * Handles the answer to a probe, or an unsolicited report of the free circuits toward an exchange.
     *
     * @param elapsed the time from the probe to its answer
     */
    void onReport(long now, long exchange, Status status, long elapsed, Report report);

    /** Handles the expiry of a timer, set by {@link Host#setTimer} or {@link Host#setCallTimer}. */
    void onTimer(long now, long token);

    /** Handles a message from another softswitch. */
    void onPeer(long now, int from, byte[] message);

    /** Returns the number of listed exchanges that receive no set-ups, or only one per gap. */
    int avoidedExchanges();

    /** The actions that a control requests of its host. */
    interface Host {
        /**
         * Sends a set-up to the destination or to a tandem.
         *
         * @param exchange the address of the exchange
         * @param deadline the time at which the host abandons the attempt
         */
        void send(long call, long exchange, long deadline);

        /**
         * Gives the final answer 'refused'.
         *
         * @param retryAfter the wait to advise to the caller, 0 for no advice
         */
        void refuse(long call, long retryAfter);

        /** Gives the final answer 'failed'. */
        void fail(long call);

        /** Cancels one attempt. */
        void cancel(long call, int attempt);

        /** Schedules a call of {@link CallControl#onTimer} with the token. */
        void setTimer(long at, long token);

        /**
         * Like {@link #setTimer}, for a timer that concerns one call only. It need not expire once the call
         * has its final answer, so that a host does not keep it for calls that have ended.
         */
        void setCallTimer(long call, long at, long token);

        /** Requests a health report from an exchange. */
        void probe(long exchange);

        /** Closes the idle connections to an exchange. */
        void closeIdle(long exchange);

        /** Sends a message to one softswitch, or to all others with {@link #ALL_PEERS}. */
        void sendToPeer(int peer, byte[] message);

        /** Writes one line to the host's log. */
        void log(String line);

        /** Starts or ends the subscription to the list of exchanges. */
        void subscribe(boolean on);

        /** Requests the complete list of exchanges once. */
        void fetchList();

        /** The peer index that addresses all other softswitches. */
        int ALL_PEERS = 0xffff;
    }

    /**
     * How exchanges are connected: by groups of circuits, or as pools of agents shared by all softswitches.
     */
    enum Layout { NETWORK, SKILLS }

    /** How load reports of a processor are obtained. */
    enum Reports { PIGGYBACK, PULL, SILENT }

    /** Whether a set-up of a class may be repeated. */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** The exchanges that recognize a repeated set-up. */
    enum RepeatGroup { ALL, ZONE, CELL }

    /** Whether an exchange accepts new calls. */
    enum Readiness { READY, DRAINING, GONE }

    /** What an update of the list of exchanges holds. */
    enum ListKind { DELTA, FULL, CACHED, FAILED }

    /** How an attempt or a probe ended. */
    enum Status { OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT }

    /** Why a set-up was rejected. */
    enum Cause { NONE, NO_CIRCUIT, TANDEM_BLOCKED, BEYOND_FULL, PROCESSOR_FULL, LINES_BUSY }

    /**
     * The configuration of the site; times in microseconds, 0 where the site does not state a value.
     *
     * @param ownPlace      the place of the own exchange in the network, -1 where there is none
     * @param softswitches  the number of softswitches
     * @param askForList    whether the control subscribes to the list of exchanges
     * @param cancel        whether attempts may be cancelled
     * @param retryAfter    whether refusals may advise a wait
     * @param maxRetryAfter the longest wait that a refusal may advise
     * @param maxAttempts   the maximum number of attempts per call
     * @param release       the wait after a time-out, reset or cancellation before the next attempt of the
     *                      call, in which its release takes effect
     * @param resend        the interval after which an unanswered set-up is sent again, 0 for never
     */
    record Settings(
            Layout layout, int ownPlace, int ownZone, int rank, int softswitches, List<CallClass> classes,
            boolean askForList, Reports reports, boolean probes, boolean peers, boolean cancel,
            boolean secondCopies, boolean advice, boolean retryAfter, long maxRetryAfter, int maxAttempts,
            long release, long resend, Obligations obligations) { }

    /**
     * The limits set by the rules of the platform; times in microseconds.
     *
     * @param coldShare    the share of its full capacity that an exchange has when it starts
     * @param cold         how long after its start an exchange counts as cold
     * @param fallMultiple the multiple of its capacity up to which a cold exchange bears load
     * @param fall         the window over which that load is measured
     */
    record Obligations(
            long answerGrace, long drainGrace, long askWithin, double coldShare, long cold,
            double fallMultiple, long fall) { }

    /**
     * A class of call; times in microseconds.
     *
     * @param aim          the set-up time to aim for, counted from the first offer of the call
     * @param deadline     the time that a caller waits for the final answer
     * @param worth        the value of a call that is established within its aim
     * @param lateWorth    the value of a call that is established later
     * @param width        the number of circuits that a call occupies
     * @param holding      the mean holding time
     * @param repeatWindow how long a set-up may be repeated, for {@link Effect#KEYED}
     * @param pools        the pools with the skill of the class, empty where all pools have it
     */
    record CallClass(
            String name, long aim, long deadline, double worth, double lateWorth, double width, long holding,
            Effect effect, RepeatGroup group, long repeatWindow, List<Integer> pools) { }

    /**
     * One entry of the list of exchanges.
     *
     * @param place   the number of the exchange in the network, kept by a successor at another address
     * @param upSince the start time of the exchange, 0 where it started long ago
     */
    record Exchange(
            long address, int zone, int kind, int place, Readiness readiness, double weight,
            long upSince) { }

    /**
     * A call that a caller or an exchange offers.
     *
     * @param number      the number dialled, 0 where it is unknown
     * @param deadline    the time by which the call must have its final answer
     * @param destination the place of the destination exchange
     * @param width       the number of circuits that the call occupies
     * @param via         the place that a control centre advises as the tandem, or that a call in transit
     *                    came from; -1 for none
     * @param redial      whether the caller has dialled the number before
     * @param transit     whether the call comes from another exchange, which uses this one as a tandem
     */
    record Call(
            long id, int callClass, long number, long deadline, int destination, double width, int via,
            boolean redial, boolean transit, boolean cut) { }

    /**
     * The result of an attempt.
     *
     * @param attempt    the number of the attempt within the call, from 0
     * @param closed     whether the call has its final answer
     * @param elapsed    the time since the set-up was sent, in microseconds
     * @param retryAfter the wait that an overloaded processor requested, in microseconds, else 0
     */
    record Outcome(
            long call, int attempt, boolean closed, long exchange, long elapsed, Status status, Cause cause,
            long retryAfter, Report report) { }

    /**
     * A report of an exchange and of the group of circuits toward it. A value that was not reported is NaN.
     * Rates are per second, waits in milliseconds.
     */
    record Report(
            double free, double circuits, double outstanding, double backlog, double utilization,
            double waitMs, double maxRate, double reduce) {
        /** A report without any value. */
        public static final Report EMPTY = new Report(
                Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN,
                Double.NaN);
    }
}
