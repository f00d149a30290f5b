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
 * An event that the model delivers to a softswitch: the counterpart of {@code core.Event} without object references, so
 * that it can be sent to another process. The JSON type names and the fields are the interface between program
 * versions; see {@link Wire}.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
@JsonSubTypes({@JsonSubTypes.Type(value = SoftswitchEvent.Offered.class, name = "offered"),
    @JsonSubTypes.Type(value = SoftswitchEvent.CallerAbandoned.class, name = "given-up"),
    @JsonSubTypes.Type(value = SoftswitchEvent.CallerReleased.class, name = "caller-ended"),
    @JsonSubTypes.Type(value = SoftswitchEvent.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = SoftswitchEvent.Rejected.class, name = "rejected"),
    @JsonSubTypes.Type(value = SoftswitchEvent.Released.class, name = "released"),
    @JsonSubTypes.Type(value = SoftswitchEvent.AttemptAborted.class, name = "broken"),
    @JsonSubTypes.Type(value = SoftswitchEvent.Reported.class, name = "reported"),
    @JsonSubTypes.Type(value = SoftswitchEvent.Listed.class, name = "listed")})
public sealed interface SoftswitchEvent {
    /** A call was offered. */
    record Offered(Request request) implements SoftswitchEvent { }

    /** The caller abandoned the call before its final answer. */
    record CallerAbandoned(String call) implements SoftswitchEvent { }

    /** The caller released an established call. */
    record CallerReleased(String call, int cause) implements SoftswitchEvent { }

    /** An exchange answered: the call is established. */
    record Answered(long exchange, String call) implements SoftswitchEvent { }

    /** An exchange rejected a set-up. */
    record Rejected(long exchange, String call, Status status, Cause cause, Report report)
            implements SoftswitchEvent { }

    /** An exchange released an established call. */
    record Released(long exchange, String call, int cause, Report report) implements SoftswitchEvent { }

    /** The attempt with this index was aborted locally, without an answer from the exchange. */
    record AttemptAborted(String call, int attempt, Status status) implements SoftswitchEvent { }

    /** The free circuits toward an exchange have changed. */
    record Reported(long exchange, Report report) implements SoftswitchEvent { }

    /** The directory sent an update of the list of exchanges. */
    record Listed(ListKind kind, List<Exchange> entries) implements SoftswitchEvent { }
}
