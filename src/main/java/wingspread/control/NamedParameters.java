package wingspread.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A set of named parameters with defaults and bounds, which a map by name may override. The meaning of the
 * parameters and their defaults are defined by the subclass.
 */
public abstract class NamedParameters {
    /** The unit of a parameter. */
    public enum Unit { NONE, WHOLE, MICROSECONDS }

    /**
     * A parameter.
     *
     * @param value the value in force
     * @param defaultValue the default
     * @param min the minimum, inclusive
     * @param max  the maximum, inclusive
     */
    public record Parameter(
            String name, Unit unit, double value, double defaultValue, double min, double max) { }

    private final Map<String, Double> overrides;
    private final List<Parameter> all = new ArrayList<>();

    /**
     * Creates a set without parameters, which the subclass adds.
     *
     * @param overrides the values that override defaults, by name; times in microseconds
     */
    NamedParameters(Map<String, Double> overrides) {
        this.overrides = Map.copyOf(overrides);
    }

    /** Adds a parameter without a unit and returns its value. */
    final double number(String name, double defaultValue, double min, double max) {
        return add(name, Unit.NONE, defaultValue, min, max);
    }

    /** Adds a parameter with integer values and returns its value. */
    final int integer(String name, int defaultValue, int min, int max) {
        return (int) add(name, Unit.WHOLE, defaultValue, min, max);
    }

    /** Adds a time in microseconds and returns its value. */
    final long time(String name, long defaultValue, long min, long max) {
        return (long) add(name, Unit.MICROSECONDS, defaultValue, min, max);
    }

    private double add(String name, Unit unit, double defaultValue, double min, double max) {
        double value = overrides.getOrDefault(name, defaultValue);
        // The negated form also rejects NaN, for which every comparison is false.
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException(name + " = " + value + " is outside the range " + min
                    + " to " + max);
        }
        if (unit != Unit.NONE && value != Math.rint(value)) {
            throw new IllegalArgumentException(name + " = " + value + " is not a whole number");
        }
        all.add(new Parameter(name, unit, value, defaultValue, min, max));
        return value;
    }

    /**
     * Checks that each given name is the name of a parameter; called after all parameters were added.
     *
     * @throws IllegalArgumentException if a name is unknown
     */
    final void rejectUnknownNames() {
        for (String name : overrides.keySet()) {
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
    public final Map<String, Double> overrides() {
        return overrides;
    }

    /** Returns all parameters in the order in which they are declared. */
    public final List<Parameter> all() {
        return List.copyOf(all);
    }
}
