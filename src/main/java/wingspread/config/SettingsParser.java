package wingspread.config;

import wingspread.control.CallControl.CallClass;
import wingspread.control.CallControl.Effect;
import wingspread.control.CallControl.Layout;
import wingspread.control.CallControl.Obligations;
import wingspread.control.CallControl.RepeatGroup;
import wingspread.control.CallControl.Reports;
import wingspread.control.CallControl.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the settings of an instance: path=value pairs, one per line. Unknown paths are ignored. */
public final class SettingsParser {
    private final Map<String, String> pairs;

    private SettingsParser(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    private static Map<String, String> pairs(String text) {
        Map<String, String> pairs = new HashMap<>();
        for (String line : text.split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                pairs.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
            }
        }
        return pairs;
    }

    /** The settings; the names of the report's fields in their order; the names of zones and machine kinds. */
    public record Parsed(Settings settings, List<String> reportFields, List<String> zones, List<String> kinds,
            long connectTimeout) { }

    public static Parsed parse(String text) {
        return parse(pairs(text));
    }

    /** Reads settings that are already paths with their values. */
    public static Parsed parse(Map<String, String> pairs) {
        SettingsParser p = new SettingsParser(pairs);
        return new Parsed(p.settings(), p.list("telemetry.fields"), p.list("zones"), p.list("kinds"),
                p.time("limits.connect-timeout"));
    }

    private Settings settings() {
        Obligations rules = new Obligations(
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
                time("family-info.resend"), rules);
    }

    private List<CallClass> classes() {
        int n = (int) requiredTime("services.count");
        List<String> widths = list("family-info.class-width");
        List<String> holding = list("family-info.holding");
        List<CallClass> out = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            String at = "services." + i + ".";
            out.add(new CallClass(
                    pairs.getOrDefault(at + "name", Integer.toString(i)), requiredTime(at + "aim"),
                    requiredTime(at + "deadline"), number(at + "value"), number(at + "late-worth"),
                    i < widths.size() ? parse(widths.get(i), "family-info.class-width") : 1,
                    i < holding.size() ? (long) parse(holding.get(i), "family-info.holding") : 0,
                    choice(at + "effect", Effect.class), group(at + "group"), time(at + "window"), pools(i)));
        }
        return List.copyOf(out);
    }

    /** The pools of a class: a flat list under the class's number, with or without a path of its own. */
    private List<Integer> pools(int callClass) {
        String at = "family-info.skilled-pools." + callClass;
        List<String> values = new ArrayList<>(list(at));
        int n = integer(at + ".count", 0);
        for (int i = 0; i < n; i++) {
            values.add(required(at + "." + i));
        }
        List<Integer> out = new ArrayList<>();
        for (String value : values) {
            out.add((int) parse(value, at));
        }
        return List.copyOf(out);
    }

    /** Without a statement only the same exchange knows a repeat. */
    private RepeatGroup group(String key) {
        return pairs.containsKey(key) ? choice(key, RepeatGroup.class) : RepeatGroup.CELL;
    }

    private Reports reports() {
        return pairs.containsKey("telemetry.via") ? choice("telemetry.via", Reports.class) : Reports.SILENT;
    }

    private String required(String key) {
        String value = pairs.get(key);
        if (value == null) {
            throw new ConfigException("settings lack '" + key + "'");
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
        throw new ConfigException("setting '" + key + "' is unreadable: '" + value + "'");
    }

    private long requiredTime(String key) {
        return (long) parse(required(key), key);
    }

    private long time(String key) {
        return (long) number(key);
    }

    private int integer(String key, int absent) {
        return pairs.containsKey(key) ? (int) parse(pairs.get(key), key) : absent;
    }

    private double number(String key) {
        return pairs.containsKey(key) ? parse(pairs.get(key), key) : 0;
    }

    private static double parse(String value, String key) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigException("setting '" + key + "' is unreadable: '" + value + "'");
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
