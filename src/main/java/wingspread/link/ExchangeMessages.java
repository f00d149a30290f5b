package wingspread.link;

import java.util.OptionalInt;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Status;
import wingspread.core.Attempt;
import wingspread.sip.SipMessage;

/**
 * Builds the SIP requests to an exchange and interprets its responses. Its only state is a counter that makes the Via
 * branches of requests outside an attempt unique per exchange. Source: the platform's protocol page.
 */
final class ExchangeMessages {
    /** CSeq number of each BYE; higher than that of any INVITE of the same call. */
    private static final long BYE_CSEQ = 1_000;
    /** Q.850 cause 16, normal call clearing. */
    private static final int NORMAL_CLEARING = 16;

    private long branchCounter;

    /** Returns the INVITE of an attempt that times out after {@code remainingMicros}. */
    SipMessage invite(Attempt attempt, long remainingMicros) {
        return ofAttempt("INVITE", attempt).with("X-Tier", attempt.request().className())
                .with("X-Deadline", Long.toString(Math.max(1, remainingMicros / 1_000)))
                .withBody(attempt.request().description());
    }

    /** Returns the CANCEL of an attempt. */
    SipMessage cancel(Attempt attempt) {
        return ofAttempt("CANCEL", attempt);
    }

    /** Returns the BYE that releases an established call with a Q.850 cause. */
    SipMessage bye(String call, int cause) {
        return request("BYE", "call", call, BYE_CSEQ, "z9hG4bK" + call + "-bye" + branchCounter++)
                .with("Reason", "Q.850;cause=" + cause);
    }

    /** Returns the ACK of a final response to an INVITE; {@code attempt} is null if it is no longer known. */
    SipMessage ack(SipMessage response, Attempt attempt) {
        String call = response.callId();
        return request("ACK", attempt == null ? "call" : attempt.request().number(), call, response.cseq(),
                attempt == null ? "z9hG4bK" + call + "-ack" + branchCounter++ : branch(attempt));
    }

    private static SipMessage ofAttempt(String method, Attempt attempt) {
        return request(method, attempt.request().number(), attempt.request().id(), attempt.index() + 1L,
                branch(attempt));
    }

    private static String branch(Attempt attempt) {
        return branchPrefix(attempt.request().id()) + attempt.index();
    }

    private static String branchPrefix(String call) {
        return "z9hG4bK" + call + "-";
    }

    /**
     * Returns the index of the attempt that a response names by its Via branch, or by a CSeq number above the first.
     * Exchanges need not return either: the result is empty if the response could be one to any attempt of the call.
     */
    static OptionalInt attemptIndex(SipMessage response) {
        String branch = SipMessage.parameter(response.header("Via"), "branch");
        String prefix = branchPrefix(response.callId());
        long index = branch != null && branch.startsWith(prefix)
                ? SipMessage.number(branch.substring(prefix.length())) : -1;
        if (index < 0 && response.cseq() > 1) {
            index = response.cseq() - 1;
        }
        return index < 0 || index > Integer.MAX_VALUE ? OptionalInt.empty() : OptionalInt.of((int) index);
    }

    private static SipMessage request(String method, String called, String call, long cseq, String branch) {
        return SipMessage.request(method, "sip:" + called + "@net")
                .with("Via", "SIP/2.0/TCP wingspread;branch=" + branch)
                .with("Max-Forwards", "70")
                .with("From", "<sip:wingspread@net>;tag=" + call)
                .with("To", "<sip:" + called + "@net>")
                .with("Call-ID", call)
                .with("CSeq", cseq + " " + method);
    }

    /** Returns the Q.850 cause of a release; normal call clearing if the message carries none. */
    static int releaseCause(SipMessage bye) {
        String cause = SipMessage.parameter(bye.header("Reason"), "cause");
        return cause == null ? NORMAL_CLEARING : (int) Math.max(0, SipMessage.number(cause));
    }

    /** Returns the status of an attempt that ended with this final response code. */
    static Status status(int code) {
        return switch (code) {
            case 503 -> Status.FULL;
            case 480 -> Status.MOOT;
            case 504 -> Status.RESET;
            case 487 -> Status.CANCELLED;
            default -> Status.ERROR;
        };
    }

    /** Returns the cause of a refusal as given by the X-Outcome header. */
    static Cause cause(String outcome) {
        return switch (outcome) {
            case "blocked" -> Cause.NO_CIRCUIT;
            case "bounced" -> Cause.TANDEM_BLOCKED;
            case "far_swamped" -> Cause.BEYOND_FULL;
            case "swamped" -> Cause.PROCESSOR_FULL;
            case "occupied" -> Cause.LINES_BUSY;
            default -> Cause.NONE;
        };
    }
}
