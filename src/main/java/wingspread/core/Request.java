package wingspread.core;

/**
 * A call as a caller asks for it. Id, class, number and description go on unchanged; {@code deadline} is the
 * point in time at which the caller gives up.
 */
public record Request(
        String id, String className, int callClass, String number, byte[] description, long deadline,
        int destination, double width, int via, boolean redial, boolean transit, boolean cut) {
    /** The same call, given up at this time if not before. */
    Request by(long latest) {
        return deadline <= latest ? this : new Request(id, className, callClass, number, description, latest,
                destination, width, via, redial, transit, cut);
    }
}
