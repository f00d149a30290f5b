package wingspread.lab.world;

import java.util.HashMap;
import java.util.Map;

/** The free lines of hot numbers, whose lines are limited; other numbers are never busy. */
final class HotNumberLines {
    private final Map<String, Integer> freeLines = new HashMap<>();

    /** Limits a number to this many lines. */
    void add(String number, int lines) {
        freeLines.put(number, lines);
    }

    /** Seizes a line of the called number; returns false if the number is hot and all its lines are busy. */
    boolean seize(Leg leg) {
        Integer free = freeLines.get(leg.request().number());
        if (free == null) {
            return true;
        }
        if (free > 0) {
            freeLines.put(leg.request().number(), free - 1);
            leg.holdsLine = true;
        }
        return free > 0;
    }

    /** Frees the line that a set-up or call occupies, if any. */
    void release(Leg leg) {
        if (leg.holdsLine) {
            leg.holdsLine = false;
            freeLines.merge(leg.request().number(), 1, Integer::sum);
        }
    }
}
