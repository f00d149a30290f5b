package wingspread.lab.host;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import wingspread.control.CallControl.Status;

/** What a softswitch does, in the order in which it does it. Times are absolute, in the model's microseconds. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
@JsonSubTypes({@JsonSubTypes.Type(value = Effect.Invite.class, name = "invite"),
    @JsonSubTypes.Type(value = Effect.Withdraw.class, name = "withdraw"),
    @JsonSubTypes.Type(value = Effect.Release.class, name = "release"),
    @JsonSubTypes.Type(value = Effect.Stands.class, name = "stands"),
    @JsonSubTypes.Type(value = Effect.Refused.class, name = "refused"),
    @JsonSubTypes.Type(value = Effect.Failed.class, name = "failed"),
    @JsonSubTypes.Type(value = Effect.Over.class, name = "over")})
public sealed interface Effect {
    /** The call that it is about. */
    String call();

    /** A set-up leaves. */
    record Invite(String call, int attempt, long exchange, long deadline) implements Effect { }

    /** An attempt is given up: timed out or cancelled. */
    record Withdraw(String call, int attempt, Status status) implements Effect { }

    /** A call that an exchange holds to stand is released. */
    record Release(String call, long exchange, int cause) implements Effect { }

    /** Answer: the call stands. */
    record Stands(String call) implements Effect { }

    /** Final answer: refused; the wait that is advised in microseconds, or 0. */
    record Refused(String call, long advised) implements Effect { }

    /** Final answer: failed. */
    record Failed(String call) implements Effect { }

    /** The caller of a call that stood is told that it is over. */
    record Over(String call, int cause) implements Effect { }
}
