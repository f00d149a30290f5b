package wingspread.lab.world;

import wingspread.core.Request;
import wingspread.lab.rules.Taken;

/** A call as one softswitch has taken it. It hears the softswitch's answer, and tells the rules of it. */
abstract class Offer {
    final Node at;
    final Request request;
    final Taken taken;
    /** The attempt that was sent last. */
    Leg leg;
    /** The last attempt was refused by a full processor. */
    boolean lastWasFull;
    /** Its caller has been answered, has gone, or was told that the call is over. */
    boolean closed;

    Offer(Node at, Request request, Taken taken) {
        this.at = at;
        this.request = request;
        this.taken = taken;
    }

    final void stands() {
        at.network.rules().answered(taken, at.network.now());
        stood();
    }

    /** Refused or failed; the wait is that of the advice, 0 for none. The look at the call set up nothing. */
    final void refused(long wait) {
        at.network.rules().answered(taken, at.network.now());
        close();
        at.network.tally().wasted(at.network.work(at.network.day().work().look()));
        turnedAway(wait);
    }

    final void over(int cause) {
        close();
        ended(cause);
    }

    private void close() {
        closed = true;
        at.forgetIfDone(this);
    }

    /** The call stands. */
    abstract void stood();

    /** The call was refused or failed; the wait is that of the advice, 0 for none. */
    abstract void turnedAway(long wait);

    /** The call that stood is over. */
    abstract void ended(int cause);
}
