package wingspread.core;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Status;

/**
 * Logs one line for each change of a call's state. Each line starts with the call id, so that one search finds a call
 * in the logs of all processes. Whatever ends a call other than its caller wished is logged at INFO: refusals,
 * failures, unsuccessful attempts and cut calls. Ordinary changes are logged at DEBUG
 * ({@code -Dorg.slf4j.simpleLogger.log.call=debug}). No text is formatted for a disabled level.
 */
final class CallLog {
    private static final Logger LOG = LoggerFactory.getLogger("call");

    /** Why a call was refused, failed or was abandoned. */
    enum AnswerReason {
        /** The call control decided so. */
        DECIDED,
        /** The maximum number of open calls, or of bytes kept for them, is reached. */
        TOO_MANY_CALLS,
        /** Another call has the same id, which is open or which an exchange may have run. */
        REPEATED_ID,
        /** The storm gate refused the redial. */
        STORM,
        /** The deadline passed without an answer from the call control. */
        DEADLINE,
        /** The process is shutting down: it refuses new calls, and fails open ones that it cannot wait for. */
        PLANNED_END,
        /** The caller cancelled the set-up or closed the connection. */
        CALLER_GAVE_UP
    }

    /** Why an established call ended. */
    enum EndReason {
        /** The exchange released it. */
        EXCHANGE_RELEASED,
        /** The caller released it. */
        CALLER_RELEASED,
        /** The exchange's process is down: a connection to it was refused. */
        EXCHANGE_DOWN,
        /** The exchange sent nothing for several seconds, not even on new connections. */
        EXCHANGE_SILENT,
        /** The exchange is responsive again after an interruption but has lost the calls established on it. */
        EXCHANGE_LOST_CALLS,
        /** The exchange was removed from the directory. */
        EXCHANGE_REMOVED,
        /** The exchange was restarted after the call was set up. */
        EXCHANGE_RESTARTED,
        /** The process is shutting down, and the next one could not notify the caller of a later end. */
        PLANNED_END
    }

    /** Why the release of a call by an exchange ended nothing. */
    enum IgnoredReleaseReason {
        /** The call's last attempt was sent to another exchange. */
        OTHER_EXCHANGE,
        /** The call's last attempt has ended, and the call waits for its next attempt or answer. */
        ATTEMPT_ENDED,
        /** The call has ended before: the exchange repeats the release, or it crossed the end of the call. */
        ALREADY_ENDED
    }

    void received(Request request, long now) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("{} received class={} destination={} left-ms={}{}{}", request.id(), request.className(),
                    request.destination(), (request.deadline() - now) / 1_000, request.redial() ? " redial" : "",
                    request.transit() ? " transit" : "");
        }
    }

    void attemptSent(Attempt attempt) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("{} attempt={} sent exchange={}", attempt.request().id(), attempt.index(), attempt.exchange());
        }
    }

    /** Logs an attempt that ended without establishing its call; another attempt may follow. */
    void attemptEnded(Attempt attempt, long now, Status status, Cause cause) {
        if (LOG.isInfoEnabled()) {
            LOG.info("{} attempt={} ended exchange={} status={} cause={} after-ms={}", attempt.request().id(),
                    attempt.index(), attempt.exchange(), status, cause, (now - attempt.sentAt()) / 1_000);
        }
    }

    void established(Attempt attempt, long now) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("{} established attempt={} exchange={} after-ms={}", attempt.request().id(), attempt.index(),
                    attempt.exchange(), (now - attempt.sentAt()) / 1_000);
        }
    }

    /** Logs a final answer other than success: {@code answer} is refused, failed or abandoned. */
    void answered(String call, String answer, AnswerReason reason, int attempts) {
        if (LOG.isInfoEnabled()) {
            LOG.info("{} {} reason={} attempts={}", call, answer, reason, attempts);
        }
    }

    /** Logs the end of an established call. */
    void callEnded(Attempt attempt, EndReason reason, int cause) {
        if (reason == EndReason.EXCHANGE_RELEASED || reason == EndReason.CALLER_RELEASED) {
            if (LOG.isDebugEnabled()) {
                LOG.debug("{} ended reason={} cause={} exchange={}", attempt.request().id(), reason, cause,
                        attempt.exchange());
            }
        } else {
            LOG.info("{} ended reason={} cause={} exchange={}", attempt.request().id(), reason, cause,
                    attempt.exchange());
        }
    }

    /** Logs that a call on an unresponsive exchange is kept at the exit, because no caller is connected. */
    void leftToNextProcess(String call, long exchange) {
        LOG.info("{} left to the next process: exchange={} is unresponsive, and no caller is connected", call,
                exchange);
    }

    /** Logs that an exchange counts as down; a line for each of its calls follows. */
    void exchangeDown(long exchange, EndReason reason, long calls, long silenceMicros) {
        LOG.warn("exchange={} counts as down reason={} calls={} silent-ms={}", exchange, reason, calls,
                silenceMicros / 1_000);
    }

    /** Logs the release of a call that this process has not set up or no longer knows. */
    void unknownCallReleased(String call, long exchange, int cause) {
        LOG.info("{} unknown call, released by exchange={} cause={}", call, exchange, cause);
    }

    /**
     * Logs a release that ends nothing. Repeated releases are ordinary, as exchanges send them on new connections too.
     */
    void releaseIgnored(String call, long exchange, int cause, IgnoredReleaseReason reason) {
        if (reason != IgnoredReleaseReason.ALREADY_ENDED) {
            LOG.info("{} release ignored reason={} exchange={} cause={}", call, reason, exchange, cause);
        } else if (LOG.isDebugEnabled()) {
            LOG.debug("{} release ignored reason={} exchange={} cause={}", call, reason, exchange, cause);
        }
    }

    /** Logs an exchange's answer to a set-up that is no longer pending. */
    void lateAnswer(String call, long exchange) {
        LOG.info("{} answered too late by exchange={}, releasing it", call, exchange);
    }
}
