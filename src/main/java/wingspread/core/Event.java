package wingspread.core;

import java.util.List;
import java.util.Set;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Status;

/**
 * An event that a forwarder posts to a {@link Planner}. Calls are identified by id and exchanges by address; numeric
 * causes are those of Q.850.
 */
public sealed interface Event {
    /** A caller has requested a call. */
    record Offered(Request request, Caller caller) implements Event { }

    /** A caller has abandoned its own set-up; a set-up of another caller with the same call id is not affected. */
    record CallerAbandoned(String call, Caller caller) implements Event { }

    /** A caller has released an established call. */
    record CallerReleased(String call, int cause) implements Event { }

    /** An exchange has answered a set-up: the call is established. */
    record Answered(long exchange, String call, byte[] description) implements Event { }

    /** An exchange has rejected a set-up. */
    record Rejected(long exchange, String call, Status status, Cause cause, Report report)
            implements Event { }

    /**
     * An exchange has released an established call.
     *
     * @param exchange the exchange to whose connection the message belongs
     * @param otherNumbers other numbers of the same exchange: it has left the directory and returned, or its address
     *     has passed from one exchange to another
     */
    record Released(long exchange, Set<Long> otherNumbers, String call, int cause, Report report) implements Event {
        /** Creates the release of a call by an exchange that has one number. */
        public Released(long exchange, String call, int cause, Report report) {
            this(exchange, Set.of(), call, cause, report);
        }

        /** Whether the message comes from the exchange with this number. */
        boolean isFrom(long number) {
            return number == exchange || otherNumbers.contains(number);
        }
    }

    /** A set-up has ended on this side: it was not sent, its connection was lost, or it was cancelled. */
    record AttemptAborted(Attempt attempt, Status status) implements Event { }

    /** The process of an exchange is down: the calls through it are cut. */
    record ExchangeDown(long exchange) implements Event { }

    /**
     * An exchange has reported the free circuits toward it.
     *
     * @param connectedAt when the connection was established on which this is the first message, in microseconds;
     *     {@link #UNSOLICITED} if the exchange reports a change
     */
    record Reported(long exchange, Report report, long connectedAt) implements Event {
        /** Value of {@link #connectedAt} for a report that is not the first message on a connection. */
        public static final long UNSOLICITED = Long.MIN_VALUE;

        /** Creates the report of a change of the free circuits. */
        public Reported(long exchange, Report report) {
            this(exchange, report, UNSOLICITED);
        }
    }

    /** An exchange has sent a message for which there is no other event, which shows that it is alive. */
    record ExchangeAlive(long exchange) implements Event { }

    /** The list of exchanges has been received or updated. */
    record Listed(ListKind kind, List<Exchange> entries) implements Event { }
}
