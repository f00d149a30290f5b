package wingspread.storm;

/**
 * A storm began or ended.
 *
 * @param number of the destination or region; 0 for all
 * @param usualRatio redials for each first try as they were before the storm
 */
public record StormNews(Scope scope, int number, boolean began, double redialsPerSecond, double firstTriesPerSecond,
        double usualRatio) {
    /** What a storm is over. */
    public enum Scope { DESTINATION, REGION, ALL }

    /** Who is told. */
    public interface Listener {
        /** Hears of one beginning or end. */
        void heard(StormNews news);
    }
}
