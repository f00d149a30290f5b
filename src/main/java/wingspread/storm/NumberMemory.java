package wingspread.storm;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is remembered of the numbers whose calls failed: a try of one of them soon after is taken for a redial though
 * nobody marked it, and one that comes before the time it was told is early. A number that many call tells nothing:
 * the next try may be anybody's.
 */
final class NumberMemory {
    /** What a try is, as far as its number tells. */
    enum Sign { NONE, REDIAL, EARLY }

    /** One number. */
    private static final class Known {
        /** Tries since it was first heard of, in one chain. */
        int tries;
        int open;
        long lastAt;
        /** When the last of its calls failed; -1 while none has. */
        long failedAt = -1;
        /** When it was told to come back; 0 for not told. */
        long told;
    }

    private final StormFigures.Returns figures;
    /** The one heard of longest ago first. */
    private final Map<Long, Known> numbers = new LinkedHashMap<>(16, 0.75f, true);

    /** Nothing is known. */
    NumberMemory(StormFigures.Returns figures) {
        this.figures = figures;
    }

    /** A try of a number comes in, which counts as open until it is over or failed. */
    Sign tried(long now, long number) {
        if (number == 0 || figures.redialTime() == 0) {
            return Sign.NONE;
        }
        Known known = numbers.get(number);
        if (known == null || now - known.lastAt > figures.redialTime() && known.open == 0) {
            forgetOldest();
            known = new Known();
            numbers.put(number, known);
        }
        // Guards against a number that many call, whose every call would look like another's redial.
        boolean one = known.open == 0 && known.tries <= figures.mostTries();
        boolean redial = one && known.failedAt >= 0 && now - known.failedAt <= figures.redialTime();
        boolean early = redial && now < known.told - figures.early();
        known.tries++;
        known.open++;
        known.lastAt = Math.max(known.lastAt, now);
        known.failedAt = -1;
        return early ? Sign.EARLY : redial ? Sign.REDIAL : Sign.NONE;
    }

    /** When the number was told to come back; 0 for not. */
    long told(long number) {
        Known known = numbers.get(number);
        return known == null ? 0 : known.told;
    }

    /** A try of it came to stand. */
    void stood(long number) {
        Known known = numbers.get(number);
        if (known != null) {
            known.open = Math.max(0, known.open - 1);
            known.told = 0;
        }
    }

    /** A try of it failed, and the caller was told to come back at a time; 0 for no advice. */
    void failed(long now, long number, long comeBackAt) {
        Known known = numbers.get(number);
        if (known != null) {
            known.open = Math.max(0, known.open - 1);
            known.failedAt = now;
            known.told = comeBackAt;
        }
    }

    /** Numbers that are known. */
    int size() {
        return numbers.size();
    }

    private void forgetOldest() {
        if (numbers.size() >= figures.mostNumbers()) {
            Iterator<Long> oldest = numbers.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
