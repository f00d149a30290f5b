package wingspread.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wingspread.control.CallControl.CallClass;
import wingspread.control.CallControl.Effect;
import wingspread.control.CallControl.Layout;
import wingspread.control.CallControl.Obligations;
import wingspread.control.CallControl.RepeatGroup;
import wingspread.control.CallControl.Reports;
import wingspread.control.CallControl.Settings;

/** Parses the settings of a softswitch, given as path=value pairs, one per line. Unknown paths are ignored. */
public final class SettingsParser {
    private final Map<String, String> pairs;

    private SettingsParser(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    private static Map<String, String> pairs(String text) {
        Map<String, String> pairs = new HashMap<>();
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                pairs.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
        return pairs;
    }

    /**
     * The parsed settings.
     *
     * @param settings the settings of the call control
     * @param reportFields the names of the fields of a load report, in their order
     * @param zones the names of the zones
     * @param kinds the names of the kinds of exchange
     * @param connectTimeoutMicros the timeout of a connect to an exchange; 0 if not set
     */
    public record Parsed(Settings settings, List<String> reportFields, List<String> zones, List<String> kinds,
            long connectTimeoutMicros) { }

    /**
     * Parses lines of path=value pairs.
     *
     * @throws ConfigException if a required setting is missing or a value is invalid
     */
    public static Parsed parse(String text) {
        return parse(pairs(text));
    }

    /**
     * Parses settings given as a map of paths to values.
     *
     * @throws ConfigException if a required setting is missing or a value is invalid
     */
    public static Parsed parse(Map<String, String> pairs) {
        SettingsParser parser = new SettingsParser(pairs);
        return new Parsed(parser.settings(), parser.list("telemetry.fields"), parser.list("zones"),
                parser.list("kinds"), parser.time("limits.connect-timeout"));
    }

    private Settings settings() {
        Obligations obligations = new Obligations(
                time("obligations.grace-to-answer"), requiredTime("obligations.stop-sending-within"),
                time("obligations.ask-within"), number("obligations.cold-share"), time("obligations.cold"),
                number("obligations.fall-multiple"), time("obligations.fall"));
        return new Settings(
                choice("family-info.layout", Layout.class), integer("family-info.this-node", -1),
                integer("az", 0), integer("rank", 0), integer("balancers", 1), classes(),
                "subscribe".equals(pairs.get("discovery")), reports(), flag("limits.probes"),
                flag("limits.peers"), flag("limits.may-cancel"), flag("limits.may-duplicate"),
                flag("family-info.route-advice"), flag("limits.retry-after"), time("limits.max-retry-after"),
                (int) requiredTime("limits.max-attempts"), requiredTime("family-info.release"),
                time("family-info.resend"), obligations);
    }

    private List<CallClass> classes() {
        int count = (int) requiredTime("services.count");
        List<String> widths = list("family-info.class-width");
        List<String> holdingTimes = list("family-info.holding");
        List<CallClass> classes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String prefix = "services." + i + ".";
            classes.add(new CallClass(
                    pairs.getOrDefault(prefix + "name", Integer.toString(i)), requiredTime(prefix + "aim"),
                    requiredTime(prefix + "deadline"), number(prefix + "value"), number(prefix + "late-worth"),
                    i < widths.size() ? parse(widths.get(i), "family-info.class-width") : 1,
                    i < holdingTimes.size() ? (long) parse(holdingTimes.get(i), "family-info.holding") : 0,
                    choice(prefix + "effect", Effect.class), repeatGroup(prefix + "group"), time(prefix + "window"),
                    pools(i)));
        }
        return List.copyOf(classes);
    }

    /**
     * Returns the pools of a call class: the values listed under the class's index, as one value separated by commas,
     * as indexed paths, or both.
     */
    private List<Integer> pools(int callClass) {
        String path = "family-info.skilled-pools." + callClass;
        List<String> values = new ArrayList<>(list(path));
        int count = integer(path + ".count", 0);
        for (int i = 0; i < count; i++) {
            values.add(required(path + "." + i));
        }
        List<Integer> pools = new ArrayList<>();
        for (String value : values) {
            pools.add((int) parse(value, path));
        }
        return List.copyOf(pools);
    }

    /** Returns the exchanges that recognise a repeated set-up; by default only the same exchange does. */
    private RepeatGroup repeatGroup(String key) {
        return pairs.containsKey(key) ? choice(key, RepeatGroup.class) : RepeatGroup.CELL;
    }

    private Reports reports() {
        return pairs.containsKey("telemetry.via") ? choice("telemetry.via", Reports.class) : Reports.SILENT;
    }

    private String required(String key) {
        String value = pairs.get(key);
        if (value == null) {
            throw new ConfigException("missing setting '" + key + "'");
        }
        return value;
    }

    private <E extends Enum<E>> E choice(String key, Class<E> type) {
        String value = required(key);
        for (E constant : type.getEnumConstants()) {
            if (constant.name().equalsIgnoreCase(value)) {
                return constant;
            }
        }
        throw new ConfigException("setting '" + key + "' has an invalid value: '" + value + "'");
    }

    private long requiredTime(String key) {
        return (long) parse(required(key), key);
    }

    private long time(String key) {
        return (long) number(key);
    }

    private int integer(String key, int defaultValue) {
        return pairs.containsKey(key) ? (int) parse(pairs.get(key), key) : defaultValue;
    }

    private double number(String key) {
        return pairs.containsKey(key) ? parse(pairs.get(key), key) : 0;
    }

    private static double parse(String value, String key) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigException("setting '" + key + "' is not a number: '" + value + "'");
        }
    }

    private boolean flag(String key) {
        return "true".equals(pairs.get(key));
    }

    private List<String> list(String key) {
        String value = pairs.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }
}
