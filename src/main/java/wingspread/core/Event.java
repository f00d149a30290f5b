package wingspread.core;

import java.util.List;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Status;

/** What the forwarders tell a planner. */
public sealed interface Event {
    /** A call has come in. */
    record Offered(Request request, Caller caller) implements Event { }

    /** A caller waits no longer for the answer to its set-up; a set-up of another caller is not meant. */
    record GivenUp(String call, Caller caller) implements Event { }

    /** A caller released a call that stands. */
    record CallerEnded(String call, int cause) implements Event { }

    /** An exchange says that the call stands. */
    record Answered(long exchange, String call, byte[] description) implements Event { }

    /** An exchange turned a set-up away. */
    record Rejected(long exchange, String call, Status status, Cause cause, Report report)
            implements Event { }

    /** An exchange released a call that stood. */
    record Released(long exchange, String call, int cause, Report report) implements Event { }

    /** A set-up ended on this side: not sent, its connection lost, or cancelled. */
    record Broken(Attempt attempt, Status status) implements Event { }

    /** The processor of an exchange has died: the calls through it are cut. */
    record Died(long exchange) implements Event { }

    /**
     * The free circuits toward an exchange.
     *
     * @param openedAt when the connection came up whose first message this is, in microseconds; {@link #UNSOLICITED}
     *     where the exchange tells of a change
     */
    record Reported(long exchange, Report report, long openedAt) implements Event {
        /** No first message of a connection. */
        public static final long UNSOLICITED = Long.MIN_VALUE;

        /** The free circuits have changed. */
        public Reported(long exchange, Report report) {
            this(exchange, report, UNSOLICITED);
        }
    }

    /** An exchange has sent something that no other event tells of: it lives. */
    record Heard(long exchange) implements Event { }

    /** News of the list of exchanges. */
    record Listed(ListKind kind, List<Exchange> entries) implements Event { }
}
