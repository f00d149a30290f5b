package wingspread.lab.world;

import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Status;
import wingspread.core.Request;
import wingspread.lab.rules.Taken;

/** A call in transit at a tandem: what its softswitch answers goes back to the exchange that sent it. */
final class Transit extends Offer {
    private final Leg inward;

    Transit(Leg inward, Request request, Taken taken) {
        super(inward.to, request, taken);
        this.inward = inward;
    }

    @Override
    void stood() {
        at.network.answerBack(inward);
    }

    @Override
    void turnedAway(long wait) {
        at.network.refuseBack(inward, Status.FULL, inward.fullBeyond() ? Cause.BEYOND_FULL : Cause.TANDEM_BLOCKED);
    }

    @Override
    void ended(int cause) {
        at.network.releaseBack(inward, cause);
    }
}
