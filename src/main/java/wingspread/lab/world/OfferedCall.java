package wingspread.lab.world;

import wingspread.core.Request;
import wingspread.lab.rules.TrackedCall;

/** A call as offered to one softswitch. Receives the softswitch's answer and reports it to the rule checker. */
abstract class OfferedCall {
    final Node node;
    final Request request;
    final TrackedCall trackedCall;
    /** The most recent attempt; null before the first. */
    Leg leg;
    /** Whether the most recent attempt was rejected by a full processor. */
    boolean lastRejectedByFullProcessor;
    /** Whether the call was refused or released, or its caller abandoned it or was notified of its end. */
    boolean closed;

    OfferedCall(Node node, Request request, TrackedCall trackedCall) {
        this.node = node;
        this.request = request;
        this.trackedCall = trackedCall;
    }

    final void established() {
        node.network.rules().answered(trackedCall, node.network.now());
        onEstablished();
    }

    /**
     * Records that the softswitch refused the call or failed to set it up. The work spent on examining the call counts
     * as wasted.
     *
     * @param retryAfter advised wait before a redial in microseconds, 0 for none
     */
    final void refused(long retryAfter) {
        node.network.rules().answered(trackedCall, node.network.now());
        close();
        node.network.tally().addWastedWork(node.network.work(node.network.day().work().look()));
        onRefused(retryAfter);
    }

    final void ended(int cause) {
        close();
        onEnded(cause);
    }

    private void close() {
        closed = true;
        node.removeIfDone(this);
    }

    /** Called when the softswitch has established the call. */
    abstract void onEstablished();

    /** Called when the call was refused or failed; {@code retryAfter} is in microseconds, 0 if no wait is advised. */
    abstract void onRefused(long retryAfter);

    /** Called when an established call has ended, with its Q.850 cause. */
    abstract void onEnded(int cause);
}
