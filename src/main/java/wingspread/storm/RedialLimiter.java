package wingspread.storm;

/** Limits the redials toward one destination that are passed on while a storm is active or its ramp is running. */
sealed interface RedialLimiter permits FairBudget, AdaptiveThrottle, RateGap {
    /**
     * Decides whether a redial is passed on, and charges it if so.
     *
     * @param width circuits that the call takes, above 0
     */
    boolean tryAcquire(long now, int callClass, double width);

    /** Records the offer of a fresh call, which is always passed on. */
    void onFreshCall(long now);

    /** Records that a passed call was established. */
    void onCallEstablished(long now, boolean redial);

    /**
     * Records the beginning of a storm.
     *
     * @param establishedPerSecond rate of established fresh calls at that time
     */
    void onStormBegan(long now, double establishedPerSecond);

    /** Sets how many redials are admitted per established fresh call from now on. */
    void setShare(double share);
}
