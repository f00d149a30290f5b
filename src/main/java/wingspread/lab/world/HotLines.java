package wingspread.lab.world;

/** The lines of the one number that everybody calls, while there is one. */
final class HotLines {
    private String number = "";
    private int lines;
    private int busy;

    /** From now on this number has so many lines. */
    void of(String hot, int howMany) {
        number = hot;
        lines = howMany;
    }

    /** Whether the number that a set-up calls has a line free; it is taken. Other numbers have enough. */
    boolean takes(Leg leg) {
        if (!leg.request().number().equals(number)) {
            return true;
        }
        if (busy >= lines) {
            return false;
        }
        busy++;
        leg.holdsLine = true;
        return true;
    }

    /** A set-up or call is over; its line is free. */
    void leaves(Leg leg) {
        if (leg.holdsLine) {
            leg.holdsLine = false;
            busy--;
        }
    }
}
