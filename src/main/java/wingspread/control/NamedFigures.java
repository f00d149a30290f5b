package wingspread.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A set of named parameters with defaults and bounds, which a map by name may override. The meaning of the
 * parameters and their defaults are defined by the subclass.
 */
public abstract class NamedFigures {
    /** The unit of a parameter. */
    public enum Unit { NONE, WHOLE, MICROSECONDS }

    /**
     * A parameter.
     *
     * @param value the value in force
     * @param usual the default
     * @param least the minimum, inclusive
     * @param most  the maximum, inclusive
     */
    public record Figure(
            String name, Unit unit, double value, double usual, double least, double most) { }

    private final Map<String, Double> given;
    private final List<Figure> all = new ArrayList<>();

    /**
     * Creates a set without parameters, which the subclass adds.
     *
     * @param given the values that override defaults, by name; times in microseconds
     */
    NamedFigures(Map<String, Double> given) {
        this.given = Map.copyOf(given);
    }

    /** Adds a parameter without a unit and returns its value. */
    final double number(String name, double usual, double least, double most) {
        return add(name, Unit.NONE, usual, least, most);
    }

    /** Adds a parameter with integer values and returns its value. */
    final int integer(String name, int usual, int least, int most) {
        return (int) add(name, Unit.WHOLE, usual, least, most);
    }

    /** Adds a time in microseconds and returns its value. */
    final long time(String name, long usual, long least, long most) {
        return (long) add(name, Unit.MICROSECONDS, usual, least, most);
    }

    private double add(String name, Unit unit, double usual, double least, double most) {
        double value = given.getOrDefault(name, usual);
        // The negated form also rejects NaN, for which every comparison is false.
        if (!(value >= least && value <= most)) {
            throw new IllegalArgumentException(name + " = " + value + " is outside the range " + least
                    + " to " + most);
        }
        if (unit != Unit.NONE && value != Math.rint(value)) {
            throw new IllegalArgumentException(name + " = " + value + " is not a whole number");
        }
        all.add(new Figure(name, unit, value, usual, least, most));
        return value;
    }

    /**
     * Checks that each given name is the name of a parameter; called after all parameters were added.
     *
     * @throws IllegalArgumentException if a name is unknown
     */
    final void rejectUnknownNames() {
        for (String name : given.keySet()) {
            if (all.stream().noneMatch(f -> f.name().equals(name))) {
                throw new IllegalArgumentException("there is no figure '" + name + "'");
            }
        }
    }

    /**
     * Checks a pair of parameters of which one bounds the other.
     *
     * @throws IllegalArgumentException if the lower one is above the upper one
     */
    final void requireOrdered(String lower, String upper) {
        if (value(lower) > value(upper)) {
            throw new IllegalArgumentException(lower + " = " + value(lower) + " is above " + upper + " = "
                    + value(upper));
        }
    }

    private double value(String name) {
        return all.stream().filter(f -> f.name().equals(name)).findFirst().orElseThrow().value();
    }

    /** Returns the given values by name, also those that equal the default; times in microseconds. */
    public final Map<String, Double> given() {
        return given;
    }

    /** Returns all parameters in the order in which they are declared. */
    public final List<Figure> all() {
        return List.copyOf(all);
    }
}
