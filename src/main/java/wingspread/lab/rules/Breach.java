package wingspread.lab.rules;

/**
 * A breach of a rule.
 *
 * @param call the id of the call, or {@code "-"} if the breach concerns none
 * @param place the exchange whose softswitch broke the rule
 * @param at time of the breach in microseconds from the start of the run
 * @param what description of the breach
 */
public record Breach(Rule rule, String call, int place, long at, String what) {
    /** The rules of the platform that are checked. */
    public enum Rule { ONE_ANSWER, ONE_ATTEMPT, CLEAN_DRAIN, FAIL_BACK, RELEASE_FIRST, ROUTE, RELEASE_TOLD,
        /** The softswitch process starts in time, stays within its limits, does not crash and leaves nothing behind. */
        PROCESS }

    @Override
    public String toString() {
        return String.format("%s: call %s at exchange %d after %.3f s: %s", rule, call, place, at / 1e6, what);
    }
}
