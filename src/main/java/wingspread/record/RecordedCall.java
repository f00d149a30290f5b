package wingspread.record;

/**
 * A try to call as it came in.
 *
 * @param at microseconds since the start of the recording
 * @param callClass the class's index among the recording's classes
 * @param destination the place that is called
 * @param left how long the caller waits, in microseconds
 * @param number the number called under the recording's keyed hash; 0 for none
 */
public record RecordedCall(long at, int callClass, int destination, double width, long left, boolean redial,
        boolean transit, boolean cut, long number) { }
