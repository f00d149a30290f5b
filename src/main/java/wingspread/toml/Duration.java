package wingspread.toml;

import java.util.Map;

/** A time as files of settings write it: a number and its unit, as in {@code 250ms}. */
public record Duration(long micros, String unit) {
    private static final Map<String, Long> UNITS = Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L, "min", 60_000_000L);

    /** Reads what the schemas' pattern lets through. */
    public static Duration parse(String text) {
        int end = 0;
        while (end < text.length() && (Character.isDigit(text.charAt(end)) || text.charAt(end) == '.')) {
            end++;
        }
        Long unit = UNITS.get(text.substring(end));
        if (unit == null || end == 0) {
            throw new TomlException("'" + text + "' is no time with one of the units us, ms, s, min");
        }
        return new Duration(Math.round(Double.parseDouble(text.substring(0, end)) * unit), text.substring(end));
    }
}
