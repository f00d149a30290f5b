package wingspread.front.jsonl;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import wingspread.control.CallControl.CallClass;
import wingspread.core.Request;

/**
 * Turns the set-up message of a caller into a request, and accepts only what the platform's protocol page allows: calls
 * are named by 16 hex digits, numbers are hex, and the figures are in the range of the settings. What a caller sends is
 * passed on to exchanges, so that any other text could forge messages there, and a figure that is wrong could change
 * what happens to the calls of others. Free of I/O.
 */
final class OfferParser {
    private static final Pattern CALL_ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Pattern NUMBER = Pattern.compile("[0-9a-fA-F]{0,16}");
    /** Places are numbered with 16 bits on the simulator's wire. */
    private static final int MAX_PLACE = 0xffff;
    private static final int NO_PLACE = -1;
    /** Maximum remaining time taken from an offer; a larger value could overflow the deadline. */
    private static final double MAX_REMAINING_MS = 86_400_000;
    private static final long MICROS_PER_MS = 1_000;

    private final List<CallClass> classes;

    /**
     * Creates a parser.
     *
     * @param classes the call classes; the position of a class is its index
     */
    OfferParser(List<CallClass> classes) {
        this.classes = classes;
    }

    /** A set-up that the protocol page does not allow. */
    static final class InvalidOfferException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidOfferException(String problem) {
            super(problem);
        }
    }

    /**
     * Parses a set-up message that was received at {@code now}, in microseconds.
     *
     * @throws InvalidOfferException if a field is missing, malformed or out of range
     */
    Request parse(Map<?, ?> message, long now) throws InvalidOfferException {
        Map<?, ?> fields = message.get("with") instanceof Map<?, ?> map ? map : Map.of();
        Map<String, String> extras = extras(text(fields, "extras"));
        String className = text(fields, "class");
        int classIndex = classIndex(className);
        double remainingMs = finite("left", text(fields, "left"));
        require(remainingMs >= 0, "left is negative");
        // The id must be a string: a JSON number of 16 digits is not exact, and two ids could become one.
        String id = message.get("call") instanceof String text ? text : "";
        require(CALL_ID.matcher(id).matches(), "call is not of the form " + CALL_ID);
        String number = text(fields, "key");
        require(NUMBER.matcher(number).matches(), "key is not of the form " + NUMBER);
        return new Request(id, className, classIndex, number,
                text(message, "desc").getBytes(StandardCharsets.ISO_8859_1),
                now + (long) (Math.min(remainingMs, MAX_REMAINING_MS) * MICROS_PER_MS),
                wholeNumber("dest", extras.get("dest"), 0), width(extras.get("width"), classes.get(classIndex)),
                extras.containsKey("via") ? wholeNumber("via", extras.get("via"), NO_PLACE) : NO_PLACE,
                !text(fields, "retry").isEmpty(), isSet(extras, "transit"), isSet(extras, "again"));
    }

    private int classIndex(String name) throws InvalidOfferException {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(name)) {
                return i;
            }
        }
        throw new InvalidOfferException("unknown class");
    }

    /** The number of circuits follows from the class; a caller that names another one is mistaken about its call. */
    private static double width(String text, CallClass callClass) throws InvalidOfferException {
        require(text == null || finite("width", text) == callClass.width(), "width is not that of the class");
        return callClass.width();
    }

    private static int wholeNumber(String name, String text, int minimum) throws InvalidOfferException {
        double value = finite(name, text);
        require(value == Math.rint(value) && value >= minimum && value <= MAX_PLACE, name + " is out of range");
        return (int) value;
    }

    private static boolean isSet(Map<String, String> extras, String name) throws InvalidOfferException {
        return extras.containsKey(name) && finite(name, extras.get(name)) > 0;
    }

    /** Returns a finite number: any other value would corrupt the control module's arithmetic for good. */
    private static double finite(String name, String text) throws InvalidOfferException {
        try {
            double value = Double.parseDouble(text == null ? "" : text);
            require(Double.isFinite(value), name + " is not finite");
            return value;
        } catch (NumberFormatException e) {
            throw new InvalidOfferException(name + " is not a number");
        }
    }

    private static Map<String, String> extras(String text) throws InvalidOfferException {
        Map<String, String> out = new HashMap<>();
        for (String part : text.split(";")) {
            int colon = part.indexOf(':');
            if (colon >= 0) {
                String previous = out.put(part.substring(0, colon), part.substring(colon + 1));
                require(previous == null, "a figure is given twice");
            }
        }
        return out;
    }

    private static void require(boolean condition, String problem) throws InvalidOfferException {
        if (!condition) {
            throw new InvalidOfferException(problem);
        }
    }

    /** Returns a string or numeric field as text; empty if it is missing or of another type. */
    static String text(Map<?, ?> map, String name) {
        Object value = map.get(name);
        if (value instanceof Double d) {
            return d == Math.rint(d) ? Long.toString(d.longValue()) : d.toString();
        }
        return value instanceof String s ? s : "";
    }
}
