package wingspread.core;

/**
 * A call as requested by a caller. Id, class name, number and description are passed on unchanged.
 *
 * @param className name of the class of call
 * @param callClass index of the class of call
 * @param number of the called subscriber; empty for none
 * @param description session description, opaque to the softswitch
 * @param deadline when the caller abandons the set-up, in microseconds on the host's clock
 * @param destination index of the destination exchange
 * @param width circuits that the call takes
 * @param via index of the exchange that a routing centre advises, or that sent a call in transit; -1 for none
 * @param redial whether the caller marks the call as a redial
 * @param transit whether the call is in transit, received from another exchange
 * @param cut whether the caller marks the call as the repetition of one that was cut off
 */
public record Request(
        String id, String className, int callClass, String number, byte[] description, long deadline,
        int destination, double width, int via, boolean redial, boolean transit, boolean cut) {
    /** Returns the size of what the caller chose freely: id, number and description. */
    int sizeBytes() {
        return id.length() + number.length() + description.length;
    }

    /** Returns the same call with a deadline no later than the given one. */
    Request withDeadlineAtMost(long latest) {
        return deadline <= latest ? this : new Request(id, className, callClass, number, description, latest,
                destination, width, via, redial, transit, cut);
    }
}
