package wingspread.directory;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wingspread.config.ConfigException;
import wingspread.config.NodeConfig;
import wingspread.control.CallControl.Readiness;
import wingspread.net.InvalidInputException;

/**
 * The list of exchanges that the configuration keeps under {@code known}: notices, the first of which has the whole
 * list, and later ones what has changed. A field that a later notice leaves out keeps its value.
 *
 * @param serial number of the last event that the list includes
 * @param exchanges the exchanges with all their fields, in the order of their first notice
 * @param faults the exchanges that were left out because a field is missing or invalid, one line each
 */
record CachedList(long serial, List<CachedList.CachedExchange> exchanges, List<String> faults) {
    /** An exchange as the configuration states it. */
    record CachedExchange(String uid, InetSocketAddress endpoint, String zone, HostAttributes attributes,
            Readiness readiness, double weight) { }

    /** Reads the list; an exchange whose fields are not all there has no defaults and is left out. */
    static CachedList parse(Map<?, ?> known) {
        Map<String, Map<Object, Object>> targets = new LinkedHashMap<>();
        if (known.get("notices") instanceof List<?> notices) {
            for (Object notice : notices) {
                if (notice instanceof Map<?, ?> map && map.get("pool") instanceof Map<?, ?> pool) {
                    applyNotice(pool, targets);
                }
            }
        }
        List<CachedExchange> exchanges = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        targets.forEach((uid, fields) -> {
            try {
                exchanges.add(exchange(uid, fields));
            } catch (InvalidInputException | ConfigException e) {
                faults.add(uid + ": " + e.getMessage());
            }
        });
        return new CachedList(known.get("rev") instanceof Double rev ? rev.longValue() : 0, List.copyOf(exchanges),
                List.copyOf(faults));
    }

    private static void applyNotice(Map<?, ?> pool, Map<String, Map<Object, Object>> targets) {
        if (Boolean.TRUE.equals(pool.get("all"))) {
            targets.clear();
        }
        if (pool.get("targets") instanceof List<?> changed) {
            for (Object target : changed) {
                if (target instanceof Map<?, ?> fields) {
                    applyTarget(fields, targets);
                }
            }
        }
    }

    private static void applyTarget(Map<?, ?> fields, Map<String, Map<Object, Object>> targets) {
        String uid = String.valueOf(fields.get("uid")).toLowerCase(Locale.ROOT);
        if ("removed".equals(fields.get("state"))) {
            targets.remove(uid);
        } else {
            targets.computeIfAbsent(uid, key -> new HashMap<>()).putAll(fields);
        }
    }

    private static CachedExchange exchange(String uid, Map<?, ?> fields) throws InvalidInputException {
        text(fields, "uid");
        return new CachedExchange(uid, NodeConfig.address(text(fields, "endpoint"), "known.endpoint"),
                text(fields, "az"), attributes(fields), readiness(text(fields, "state")),
                number(fields, "capacity_hint"));
    }

    private static HostAttributes attributes(Map<?, ?> fields) throws InvalidInputException {
        return new HostAttributes(text(fields, "model"), (int) wholeNumber(fields, "pod_group", Integer.MAX_VALUE),
                wholeNumber(fields, "boot_ms", HostAttributes.MAX_STARTED_MS));
    }

    private static Readiness readiness(String state) throws InvalidInputException {
        return switch (state) {
            case "up" -> Readiness.READY;
            case "draining" -> Readiness.DRAINING;
            default -> throw new InvalidInputException("state is neither up, draining nor removed");
        };
    }

    private static String text(Map<?, ?> fields, String name) throws InvalidInputException {
        if (fields.get(name) instanceof String text) {
            return text;
        }
        throw new InvalidInputException(name + " is missing or not a string");
    }

    private static double number(Map<?, ?> fields, String name) throws InvalidInputException {
        if (fields.get(name) instanceof Double number) {
            return number;
        }
        throw new InvalidInputException(name + " is missing or not a number");
    }

    private static long wholeNumber(Map<?, ?> fields, String name, long max) throws InvalidInputException {
        double number = number(fields, name);
        if (number >= 0 && number <= max && number == Math.rint(number)) {
            return (long) number;
        }
        throw new InvalidInputException(name + " is not a whole number in its range");
    }
}
