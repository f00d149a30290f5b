package wingspread.lab.world;

import wingspread.core.Request;
import wingspread.lab.host.Effect;

/** One attempt in the network, from the sending exchange to the next one and back. */
final class Leg {
    final OfferedCall offer;
    final Effect.Invite attempt;
    final Node from;
    final Node to;
    final CircuitGroup group;
    final int width;
    /** Index among the legs that hold circuits of the group; -1 while this leg holds none. */
    int indexInGroup = -1;
    boolean established;
    /** Processor work spent on the set-up so far, in microseconds of a warm processor. */
    double workSpent;
    /** Whether this leg occupies a line of a hot number. */
    boolean holdsLine;
    /** Whether the sending side has been notified of the end of this leg or has ended it. */
    boolean ended;
    /** The call at the tandem that continues this leg; null until the tandem has accepted it. */
    TransitCall transitCall;

    Leg(OfferedCall offer, Effect.Invite attempt, Node from, Node to, CircuitGroup group) {
        this.offer = offer;
        this.attempt = attempt;
        this.from = from;
        this.to = to;
        this.group = group;
        this.width = (int) Math.max(1, Math.round(offer.request.width()));
    }

    String call() {
        return offer.request.id();
    }

    Request request() {
        return offer.request;
    }

    /** Whether the tandem rejected the call because the processor beyond it was full. */
    boolean farProcessorWasFull() {
        return transitCall != null && transitCall.lastRejectedByFullProcessor;
    }
}
