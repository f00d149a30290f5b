package wingspread.link;

import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Status;
import wingspread.core.Attempt;
import wingspread.sip.SipMessage;

/**
 * The platform's SIP toward exchanges: the requests that are sent, and what the answers mean. Free of state, but for
 * the number that makes the branches of an exchange's later requests differ. Source: the platform's protocol page.
 */
final class ExchangeMessages {
    /** Number of the CSeq of a BYE: above that of any INVITE of its call. */
    private static final long BYE_CSEQ = 1_000;
    private static final int NORMAL = 16;

    private long branches;

    /** A set-up, {@code left} microseconds before it is given up. */
    SipMessage invite(Attempt attempt, long left) {
        return ofAttempt("INVITE", attempt).with("X-Tier", attempt.request().className())
                .with("X-Deadline", Long.toString(Math.max(1, left / 1_000)))
                .withBody(attempt.request().description());
    }

    /** The set-up is given up. */
    SipMessage cancel(Attempt attempt) {
        return ofAttempt("CANCEL", attempt);
    }

    /** A call that stands is released. */
    SipMessage bye(String call, int cause) {
        return request("BYE", "call", call, BYE_CSEQ, "z9hG4bK" + call + "-bye" + branches++)
                .with("Reason", "Q.850;cause=" + cause);
    }

    /** The answer to an INVITE is acknowledged; {@code attempt} is null where it is not known any more. */
    SipMessage ack(SipMessage answer, Attempt attempt) {
        String call = answer.callId();
        return request("ACK", attempt == null ? "call" : attempt.request().number(), call, answer.cseq(),
                attempt == null ? "z9hG4bK" + call + "-ack" + branches++ : branch(attempt));
    }

    private static SipMessage ofAttempt(String method, Attempt attempt) {
        return request(method, attempt.request().number(), attempt.request().id(), attempt.index() + 1L,
                branch(attempt));
    }

    private static String branch(Attempt attempt) {
        return "z9hG4bK" + attempt.request().id() + "-" + attempt.index();
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

    /** Why a call was released; normal clearing where the message does not say. */
    static int releaseCause(SipMessage bye) {
        String cause = SipMessage.parameter(bye.header("Reason"), "cause");
        return cause == null ? NORMAL : (int) Math.max(0, SipMessage.number(cause));
    }

    /** How an attempt ended with a final answer of this code. */
    static Status status(int code) {
        return switch (code) {
            case 503 -> Status.FULL;
            case 480 -> Status.MOOT;
            case 504 -> Status.RESET;
            case 487 -> Status.CANCELLED;
            default -> Status.ERROR;
        };
    }

    /** What the header X-Outcome says of a refusal. */
    static Cause outcome(String note) {
        return switch (note) {
            case "blocked" -> Cause.NO_CIRCUIT;
            case "bounced" -> Cause.TANDEM_BLOCKED;
            case "far_swamped" -> Cause.BEYOND_FULL;
            case "swamped" -> Cause.PROCESSOR_FULL;
            case "occupied" -> Cause.LINES_BUSY;
            default -> Cause.NONE;
        };
    }
}
