package wingspread.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Figures that have a name, a usual value and bounds, and that a map of names may set otherwise. It decides
 * nothing: what the figures mean and which values are usual lies with the class that holds them.
 */
public abstract class NamedFigures {
    /** What a figure counts in. */
    public enum Unit { NONE, WHOLE, MICROSECONDS }

    /** One figure as it is in force, with its usual value and its bounds, both of which are allowed. */
    public record Figure(String name, Unit unit, double value, double usual, double least, double most) { }

    private final Map<String, Double> given;
    private final List<Figure> all = new ArrayList<>();

    /** Starts with the values that are given in place of usual ones, by name; times in microseconds. */
    NamedFigures(Map<String, Double> given) {
        this.given = Map.copyOf(given);
    }

    /** A figure without a unit. */
    final double number(String name, double usual, double least, double most) {
        return take(name, Unit.NONE, usual, least, most);
    }

    /** A figure that counts whole things. */
    final int whole(String name, int usual, int least, int most) {
        return (int) take(name, Unit.WHOLE, usual, least, most);
    }

    /** A time in microseconds. */
    final long time(String name, long usual, long least, long most) {
        return (long) take(name, Unit.MICROSECONDS, usual, least, most);
    }

    private double take(String name, Unit unit, double usual, double least, double most) {
        double value = given.getOrDefault(name, usual);
        // Written so that NaN, which compares to nothing, is turned away too.
        if (!(value >= least && value <= most)) {
            throw new IllegalArgumentException(name + " = " + value + " lies outside " + least + " to "
                    + most);
        }
        if (unit != Unit.NONE && value != Math.rint(value)) {
            throw new IllegalArgumentException(name + " = " + value + " is not a whole number");
        }
        all.add(new Figure(name, unit, value, usual, least, most));
        return value;
    }

    /**
     * Ends the reading of what was given.
     *
     * @throws IllegalArgumentException where a name was given that no figure has
     */
    final void noOthers() {
        for (String name : given.keySet()) {
            if (all.stream().noneMatch(f -> f.name().equals(name))) {
                throw new IllegalArgumentException("there is no figure '" + name + "'");
            }
        }
    }

    /**
     * Checks a pair of figures of which one bounds the other.
     *
     * @throws IllegalArgumentException where the lower is above the upper
     */
    final void ordered(String lower, String upper) {
        if (value(lower) > value(upper)) {
            throw new IllegalArgumentException(lower + " = " + value(lower) + " is above " + upper + " = "
                    + value(upper));
        }
    }

    private double value(String name) {
        return all.stream().filter(f -> f.name().equals(name)).findFirst().orElseThrow().value();
    }

    /** What was given by name, usual values included; times in microseconds. */
    public final Map<String, Double> given() {
        return given;
    }

    /** All figures in the order in which they are declared. */
    public final List<Figure> all() {
        return List.copyOf(all);
    }
}
