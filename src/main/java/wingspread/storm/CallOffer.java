package wingspread.storm;

/**
 * The offer of a subscriber's call, as the storm gate classifies it.
 *
 * @param destination number of the exchange that serves the called subscriber
 * @param callClass number of the call's class
 * @param calledNumber called number; 0 if not known
 * @param isRedial whether the call is a redial, or the new attempt of a caller whose call was cut off
 * @param width circuits that the call takes, above 0
 */
public record CallOffer(int destination, int callClass, long calledNumber, boolean isRedial, double width) { }
