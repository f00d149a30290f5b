package wingspread.storm;

/** Which redials toward one destination go on to the module while they are held back. */
sealed interface Damper permits FairBudget, AdaptiveThrottle, RateGap {
    /** A redial comes in; whether it may go on. */
    boolean lets(long now, int callClass, double width);

    /** A first try comes in, which always goes on. */
    void firstTry(long now);

    /** A try got through; {@code again} for a redial. */
    void gotThrough(long now, boolean again);

    /** A storm began, when so many first tries a second got through. */
    void began(long now, double throughPerSecond);

    /** How much is let through for each first try that gets through, from here on. */
    void share(double share);
}
