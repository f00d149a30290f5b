package wingspread.directory;

import java.util.Map;
import wingspread.net.InvalidInputException;

/**
 * The attributes that the directory states for a host in its TXT records.
 *
 * @param kind name of the kind of exchange
 * @param cell number of the exchange's place in the network
 * @param startedMs start time in Unix milliseconds; 0 if the exchange started long ago
 */
record HostAttributes(String kind, int cell, long startedMs) {
    private static final String KIND = "kind";
    private static final String CELL = "cell";
    private static final String STARTED = "started";
    /** Latest start time that can be converted to microseconds. */
    static final long MAX_STARTED_MS = Long.MAX_VALUE / 1_000;

    /**
     * Returns the attributes, or null if one of them is missing: an absent attribute has no default, since the records
     * may have been cut off.
     *
     * @throws InvalidInputException if a number is malformed or out of range
     */
    static HostAttributes from(Map<String, String> attributes) throws InvalidInputException {
        if (!attributes.containsKey(KIND) || !attributes.containsKey(CELL) || !attributes.containsKey(STARTED)) {
            return null;
        }
        return new HostAttributes(attributes.get(KIND), (int) number(attributes, CELL, Integer.MAX_VALUE),
                number(attributes, STARTED, MAX_STARTED_MS));
    }

    private static long number(Map<String, String> attributes, String name, long max) throws InvalidInputException {
        try {
            long value = Long.parseLong(attributes.get(name));
            if (value >= 0 && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new InvalidInputException("DNS: " + name + " is not a number");
        }
        throw new InvalidInputException("DNS: " + name + " is out of range");
    }
}
