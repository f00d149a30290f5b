package wingspread.lab.world;

import java.util.HashMap;
import java.util.Map;

/** The lines of numbers that have few of them; all other numbers have enough. */
final class HotLines {
    private final Map<String, Integer> free = new HashMap<>();

    /** A number has so many lines. */
    void add(String number, int lines) {
        free.put(number, lines);
    }

    /** Whether the number that a set-up calls has a line free; it is taken. */
    boolean takes(Leg leg) {
        Integer left = free.get(leg.request().number());
        if (left == null) {
            return true;
        }
        if (left > 0) {
            free.put(leg.request().number(), left - 1);
            leg.holdsLine = true;
        }
        return left > 0;
    }

    /** A set-up or call is over; its line is free. */
    void leaves(Leg leg) {
        if (leg.holdsLine) {
            leg.holdsLine = false;
            free.merge(leg.request().number(), 1, Integer::sum);
        }
    }
}
