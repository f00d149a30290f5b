package wingspread.lab.rules;

/**
 * A rule that was broken: which one, on which call, at which exchange's softswitch and when, in microseconds from
 * the start of the run.
 */
public record Breach(Rule rule, String call, int place, long at, String what) {
    /** The rules of the platform that the checker knows. */
    public enum Rule { ONE_ANSWER, ONE_ATTEMPT, CLEAN_DRAIN, FAIL_BACK, RELEASE_FIRST, ROUTE, RELEASE_TOLD,
        /** The softswitch as a process: ready in time, within its limits, no crash, nothing left over. */
        PROCESS }

    @Override
    public String toString() {
        return String.format("%s: call %s at exchange %d after %.3f s: %s", rule, call, place, at / 1e6, what);
    }
}
