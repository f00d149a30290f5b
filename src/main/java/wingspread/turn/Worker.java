package wingspread.turn;

/** Work that is done in turns. */
public interface Worker {
    /** Plays all that has been gathered and has come due. */
    void turn();

    /** When the next turn is due if nothing comes in before; {@link Long#MAX_VALUE} for never. */
    long nextDue();
}
