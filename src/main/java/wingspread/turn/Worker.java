package wingspread.turn;

/** A component driven by an event loop; each turn is one iteration of the loop. */
public interface Worker {
    /** Processes the events queued since the last turn and the deadlines that are due. */
    void turn();

    /** Returns when the next turn is due if no event arrives before, {@link Long#MAX_VALUE} for never. */
    long nextDue();
}
