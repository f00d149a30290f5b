package wingspread.storm;

/**
 * The beginning or the end of a storm.
 *
 * @param number of the destination or region; 0 for {@link Scope#ALL}
 * @param began true for the beginning, false for the end
 * @param freshCallsPerSecond current rate of fresh calls
 * @param baselineRatio redials per fresh call outside of storms
 */
public record StormEvent(Scope scope, int number, boolean began, double redialsPerSecond, double freshCallsPerSecond,
        double baselineRatio) {
    /** The part of the network in which a storm was detected. */
    public enum Scope { DESTINATION, REGION, ALL }

    /** Receives the beginning and the end of storms. */
    public interface Listener {
        void onStormEvent(StormEvent event);
    }
}
