package wingspread.lab.host;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Status;
import wingspread.core.Request;

/**
 * What the model tells a softswitch: {@code core.Event} without references, so that it can cross to another process.
 * The names of types and fields are the interface between versions; see {@link Wire}.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
@JsonSubTypes({@JsonSubTypes.Type(value = Happening.Offered.class, name = "offered"),
    @JsonSubTypes.Type(value = Happening.CallerAbandoned.class, name = "given-up"),
    @JsonSubTypes.Type(value = Happening.CallerReleased.class, name = "caller-ended"),
    @JsonSubTypes.Type(value = Happening.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = Happening.Rejected.class, name = "rejected"),
    @JsonSubTypes.Type(value = Happening.Released.class, name = "released"),
    @JsonSubTypes.Type(value = Happening.AttemptAborted.class, name = "broken"),
    @JsonSubTypes.Type(value = Happening.Reported.class, name = "reported"),
    @JsonSubTypes.Type(value = Happening.Listed.class, name = "listed")})
public sealed interface Happening {
    /** A call has come in. */
    record Offered(Request request) implements Happening { }

    /** A caller waits no longer. */
    record CallerAbandoned(String call) implements Happening { }

    /** A caller released a call that stands. */
    record CallerReleased(String call, int cause) implements Happening { }

    /** An exchange says that the call stands. */
    record Answered(long exchange, String call) implements Happening { }

    /** An exchange turned a set-up away. */
    record Rejected(long exchange, String call, Status status, Cause cause, Report report) implements Happening { }

    /** An exchange released a call that stood. */
    record Released(long exchange, String call, int cause, Report report) implements Happening { }

    /** The call's attempt of this number ended on this side. */
    record AttemptAborted(String call, int attempt, Status status) implements Happening { }

    /** The free circuits toward an exchange have changed. */
    record Reported(long exchange, Report report) implements Happening { }

    /** News of the list of exchanges. */
    record Listed(ListKind kind, List<Exchange> entries) implements Happening { }
}
