package wingspread.core;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Status;

/**
 * One line for each change of a call's state, with the call's id first, so that one search follows a call through the
 * logs of all processes. What ends a call otherwise than its caller wished is logged at INFO: each refusal, failure,
 * attempt that came to nothing, and cut. The ordinary states are logged at DEBUG
 * ({@code -Dorg.slf4j.simpleLogger.log.call=debug}). Nothing is formatted for a level that is off.
 */
final class CallLog {
    private static final Logger LOG = LoggerFactory.getLogger("call");

    /** Why a call is refused or fails. */
    enum AnswerReason {
        /** The decision module said so. */
        DECIDED,
        /** As many calls are open as the memory can hold. */
        TOO_MANY_CALLS,
        /** Its id is the id of a call that is open. */
        REPEATED_ID,
        /** The gate against storms of redials turned it away. */
        STORM,
        /** Its deadline came, and the decision module had given no answer. */
        DEADLINE,
        /** The planned end of the program came before its deadline. */
        PLANNED_END,
        /** Its caller gave it up, or closed the connection. */
        CALLER_GAVE_UP
    }

    /** Why a call that stood is over. */
    enum EndReason {
        /** The exchange released it. */
        EXCHANGE_RELEASED,
        /** The caller released it. */
        CALLER_RELEASED,
        /** The exchange's process is down: a connect was refused. */
        EXCHANGE_DOWN,
        /** Nothing was heard of the exchange for several seconds, on fresh connections neither. */
        EXCHANGE_SILENT,
        /** The exchange speaks again after a break, and holds none of the calls that stood on it. */
        EXCHANGE_LOST_CALLS,
        /** The directory lists the exchange no longer. */
        EXCHANGE_REMOVED,
        /** The exchange was started again after the call was set up. */
        EXCHANGE_RESTARTED,
        /** The program ends, and no successor could tell the caller. */
        PLANNED_END
    }

    void taken(Request request, long now) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("{} taken class={} destination={} left-ms={}{}{}", request.id(), request.className(),
                    request.destination(), (request.deadline() - now) / 1_000, request.redial() ? " redial" : "",
                    request.transit() ? " transit" : "");
        }
    }

    void sent(Attempt attempt) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("{} attempt={} sent exchange={}", attempt.request().id(), attempt.index(), attempt.exchange());
        }
    }

    /** An attempt ended without bringing its call to stand; the call may be sent again. */
    void attemptEnded(Attempt attempt, long now, Status status, Cause cause) {
        if (LOG.isInfoEnabled()) {
            LOG.info("{} attempt={} ended exchange={} status={} cause={} after-ms={}", attempt.request().id(),
                    attempt.index(), attempt.exchange(), status, cause, (now - attempt.sentAt()) / 1_000);
        }
    }

    void stood(Attempt attempt, long now) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("{} stands attempt={} exchange={} after-ms={}", attempt.request().id(), attempt.index(),
                    attempt.exchange(), (now - attempt.sentAt()) / 1_000);
        }
    }

    /** A final answer other than that the call stands: {@code answer} is refused, failed or given up. */
    void answered(String call, String answer, AnswerReason reason, int attempts) {
        if (LOG.isInfoEnabled()) {
            LOG.info("{} {} reason={} attempts={}", call, answer, reason, attempts);
        }
    }

    /** A call that stood is over. */
    void over(Attempt attempt, EndReason reason, int cause) {
        if (reason == EndReason.EXCHANGE_RELEASED || reason == EndReason.CALLER_RELEASED) {
            if (LOG.isDebugEnabled()) {
                LOG.debug("{} over reason={} cause={} exchange={}", attempt.request().id(), reason, cause,
                        attempt.exchange());
            }
        } else {
            LOG.info("{} over reason={} cause={} exchange={}", attempt.request().id(), reason, cause,
                    attempt.exchange());
        }
    }

    /** An exchange counts as down; its calls follow, a line each. */
    void exchangeDown(long exchange, EndReason reason, long calls, long silentFor) {
        LOG.warn("exchange={} counts as down reason={} calls={} silent-ms={}", exchange, reason, calls,
                silentFor / 1_000);
    }

    /** An exchange released a call that this program has not set up or does not know any more. */
    void unknownReleased(String call, long exchange, int cause) {
        LOG.info("{} unknown, released by exchange={} cause={}", call, exchange, cause);
    }

    /** An exchange says that a call stands which nobody waits for any more. */
    void crossed(String call, long exchange) {
        LOG.info("{} stands at exchange={} unawaited, is released", call, exchange);
    }
}
