package wingspread.lab.world;

import wingspread.core.Request;
import wingspread.lab.host.Effect;

/** One attempt as the network carries it: from the exchange that sends it to the next one, and back. */
final class Leg {
    final Offer offer;
    final Effect.Invite attempt;
    final Node from;
    final Node to;
    final Group group;
    final int width;
    /** Its place among the group's holders; -1 while it holds no circuit. */
    int placeInGroup = -1;
    boolean standing;
    /** Work that processors have spent on its set-up, in microseconds of a warm one. */
    double spent;
    /** It keeps one of the busy lines of the hot number. */
    boolean holdsLine;
    /** The sending side has heard or decided its end. */
    boolean over;
    /** The call at the tandem that this leg goes on as, once it was taken there. */
    Transit onward;

    Leg(Offer offer, Effect.Invite attempt, Node from, Node to, Group group) {
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

    /** The tandem turned it back because the processor beyond was full. */
    boolean fullBeyond() {
        return onward != null && onward.lastWasFull;
    }
}
