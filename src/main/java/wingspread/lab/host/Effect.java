package wingspread.lab.host;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import wingspread.control.CallControl.Status;

/**
 * An action of a softswitch during a turn, listed in the order of execution. Times are absolute, in microseconds on the
 * model's clock.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
@JsonSubTypes({@JsonSubTypes.Type(value = Effect.Invite.class, name = "invite"),
    @JsonSubTypes.Type(value = Effect.Withdraw.class, name = "withdraw"),
    @JsonSubTypes.Type(value = Effect.Release.class, name = "release"),
    @JsonSubTypes.Type(value = Effect.Established.class, name = "stands"),
    @JsonSubTypes.Type(value = Effect.Refused.class, name = "refused"),
    @JsonSubTypes.Type(value = Effect.Failed.class, name = "failed"),
    @JsonSubTypes.Type(value = Effect.Ended.class, name = "over")})
public sealed interface Effect {
    /** Returns the ID of the call concerned. */
    String call();

    /** Sends a set-up to an exchange. */
    record Invite(String call, int attempt, long exchange, long deadline) implements Effect { }

    /** Withdraws a pending attempt that timed out or was cancelled. */
    record Withdraw(String call, int attempt, Status status) implements Effect { }

    /** Releases a call that an exchange regards as established. */
    record Release(String call, long exchange, int cause) implements Effect { }

    /** Reports to the caller that the call is established. */
    record Established(String call) implements Effect { }

    /**
     * Refuses the call; a final answer.
     *
     * @param advised the wait advised before a redial, in microseconds; 0 for none
     */
    record Refused(String call, long advised) implements Effect { }

    /** Reports to the caller that the call failed; a final answer. */
    record Failed(String call) implements Effect { }

    /** Notifies the caller that an established call has ended. */
    record Ended(String call, int cause) implements Effect { }
}
