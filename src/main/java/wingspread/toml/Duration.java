package wingspread.toml;

import java.util.Map;

/**
 * A duration in a settings file: a number and its unit, as in {@code 250ms}.
 *
 * @param micros the duration in microseconds
 * @param unit the unit that the file gives: us, ms, s or min
 */
public record Duration(long micros, String unit) {
    private static final Map<String, Long> MICROS_PER_UNIT =
            Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L, "min", 60_000_000L);

    /**
     * Parses a text that matches the pattern of the schemas.
     *
     * @throws TomlException if the number is missing or the unit is unknown
     */
    public static Duration parse(String text) {
        int unitStart = 0;
        while (unitStart < text.length()
                && (Character.isDigit(text.charAt(unitStart)) || text.charAt(unitStart) == '.')) {
            unitStart++;
        }
        Long microsPerUnit = MICROS_PER_UNIT.get(text.substring(unitStart));
        if (microsPerUnit == null || unitStart == 0) {
            throw new TomlException("'" + text + "' is not a duration in one of the units us, ms, s, min");
        }
        return new Duration(Math.round(Double.parseDouble(text.substring(0, unitStart)) * microsPerUnit),
                text.substring(unitStart));
    }
}
