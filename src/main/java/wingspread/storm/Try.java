package wingspread.storm;

/**
 * A subscriber's try as the gate sees it.
 *
 * @param number of whom it calls; 0 where none is told
 * @param again whether it is marked as a redial, or as a cut call that comes again
 * @param width circuits that it takes, above 0
 */
public record Try(int destination, int callClass, long number, boolean again, double width) { }
