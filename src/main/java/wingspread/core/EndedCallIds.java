package wingspread.core;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The ids of the calls that ended most recently and that an exchange may have run. The oldest are removed at a maximum
 * number or total length of ids.
 */
final class EndedCallIds {
    private static final int MAX_IDS = 8_192;
    /** Several times the length of {@value #MAX_IDS} ids of 16 digits; a caller may use longer ones. */
    private static final int MAX_TOTAL_CHARS = 1 << 20;

    private final Set<String> ids = new LinkedHashSet<>();
    private int totalChars;

    /** Adds an id, and returns false if it was present already. */
    boolean add(String id) {
        if (!ids.add(id)) {
            return false;
        }
        totalChars += id.length();
        Iterator<String> oldest = ids.iterator();
        while (ids.size() > MAX_IDS || totalChars > MAX_TOTAL_CHARS) {
            totalChars -= oldest.next().length();
            oldest.remove();
        }
        return true;
    }

    /** Whether the id is present. */
    boolean contains(String id) {
        return ids.contains(id);
    }

    /** Returns the number of ids. */
    int size() {
        return ids.size();
    }
}
