package wingspread.lab.world;

import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Status;
import wingspread.core.Request;
import wingspread.lab.rules.TrackedCall;

/** A call in transit at a tandem; the softswitch's answer is returned to the exchange that sent the set-up. */
final class TransitCall extends OfferedCall {
    private final Leg inboundLeg;

    TransitCall(Leg inboundLeg, Request request, TrackedCall trackedCall) {
        super(inboundLeg.to, request, trackedCall);
        this.inboundLeg = inboundLeg;
    }

    @Override
    void onEstablished() {
        node.network.sendAnswerBack(inboundLeg);
    }

    @Override
    void onRefused(long retryAfter) {
        node.network.sendRejectionBack(inboundLeg, Status.FULL,
                inboundLeg.farProcessorWasFull() ? Cause.BEYOND_FULL : Cause.TANDEM_BLOCKED);
    }

    @Override
    void onEnded(int cause) {
        node.network.sendReleaseBack(inboundLeg, cause);
    }
}
