package wingspread.record;

/**
 * A call offer as received by the softswitch.
 *
 * @param at time of arrival in microseconds since the start of the recording
 * @param callClass index of the class in the recording's list of classes
 * @param destination index of the called exchange
 * @param width number of circuits that the call occupies
 * @param left how long the caller waits, in microseconds
 * @param redial whether the offer is marked as a redial
 * @param transit whether the call is in transit, received from another exchange
 * @param cut whether the call repeats one that was cut
 * @param number the called number's keyed hash; 0 for none
 */
public record RecordedCall(long at, int callClass, int destination, double width, long left, boolean redial,
        boolean transit, boolean cut, long number) { }
