package wingspread.lab.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import wingspread.lab.scenario.Day.ClassOfCall;
import wingspread.lab.sim.Streams;
import wingspread.record.Recording;
import wingspread.toml.TomlException;
import wingspread.toml.TomlFile;

/** A scenario: the shipped default scenario with overrides from a file. {@link Day}s are drawn from it. */
public final class Scenario {
    /** Names of the shipped scenarios. */
    public static final List<String> SHIPPED = List.of("usual", "surge-slow-late", "regional-loss",
            "crash-and-return", "rolling-release", "event-day", "crowd-and-late", "overload", "surge-and-slow",
            "crowd-and-slow", "circuits-cut", "large", "vast");
    private static final String RESOURCE_FOLDER = "/wingspread/lab/scenarios/";
    private static final String SCHEMA = "/wingspread/lab/scenario.schema.json";

    private final String name;
    private final ObjectNode tree;
    private final RecordedTraffic recorded;

    private Scenario(String name, ObjectNode tree, RecordedTraffic recorded) {
        this.name = name;
        this.tree = tree;
        this.recorded = recorded;
    }

    /**
     * Returns the shipped scenario of this name, or else reads the file of this name.
     *
     * @throws TomlException if neither exists or the scenario is invalid
     */
    public static Scenario named(String name) {
        if (SHIPPED.contains(name)) {
            return of(name, TomlFile.resource(RESOURCE_FOLDER + name + ".toml", SCHEMA));
        }
        if (!Files.exists(Path.of(name))) {
            throw new TomlException(name + ": neither a file nor one of " + String.join(", ", SHIPPED));
        }
        return of(name, TomlFile.read(Path.of(name), SCHEMA));
    }

    /** Parses a scenario; {@code name} identifies it in error messages. */
    public static Scenario parse(String text, String name) {
        return of(name, TomlFile.parse(text, name, SCHEMA));
    }

    private static Scenario of(String name, ObjectNode top) {
        Scenario scenario = new Scenario(name,
                TomlFile.merge(TomlFile.resource(RESOURCE_FOLDER + "usual.toml", SCHEMA), top), null);
        scenario.validate();
        return scenario;
    }

    /** Returns the text of a shipped scenario. */
    public static String shippedText(String name) {
        return TomlFile.text(RESOURCE_FOLDER + name + ".toml");
    }

    /** Returns this scenario with further overrides, which are validated like a file. */
    public Scenario with(String toml) {
        Scenario scenario = new Scenario(name, TomlFile.merge(tree, TomlFile.parse(toml, name + " with overrides",
                SCHEMA)), recorded);
        scenario.validate();
        return scenario;
    }

    /**
     * Returns this scenario with the fresh calls of recordings in place of drawn ones. Holding times are still drawn.
     *
     * @throws TomlException if the recordings do not match this scenario's exchanges and classes
     */
    public Scenario with(List<Recording> recordings) {
        Day day = day(new Streams(0, 0));
        return new Scenario(name, tree, RecordedTraffic.of(recordings, day.fleet().exchanges(),
                day.classes().stream().map(ClassOfCall::name).toList()));
    }

    /** Checks what the schema cannot express: existing regions, order of ranges, and a single unit per range. */
    private void validate() {
        try {
            Day day = day(new Streams(0, 0));
            if (day.classes().stream().mapToDouble(ClassOfCall::part).sum() == 0) {
                throw new TomlException("class.part: 0 for every class; one above 0 was expected");
            }
            int regions = day.fleet().regions().size();
            for (ScenarioFault trouble : day.troubles()) {
                if (trouble instanceof ScenarioFault.CircuitLoss loss && loss.region() >= regions) {
                    throw new TomlException("trouble.region: " + loss.region() + " of " + regions + " regions");
                }
            }
        } catch (TomlException e) {
            throw new TomlException(name + ": " + e.getMessage());
        }
    }

    public String name() {
        return name;
    }

    /** Returns a description in one line. */
    public String about() {
        return tree.get("about").textValue();
    }

    /** Draws the day of one replication from its random streams. */
    public Day day(Streams streams) {
        ScenarioReader reader = new ScenarioReader(tree, "", streams);
        return new Day(reader.time("length"), reader.time("tick"), fleet(reader.table("fleet")),
                load(reader.table("load")), net(reader.table("net")), work(reader.table("work")),
                new Day.Cold(reader.table("cold").number("from"), reader.table("cold").time("time")),
                callers(reader.table("callers")), news(reader.table("news")),
                new Day.Reports(reader.table("reports").time("period"), reader.table("reports").time("delay"),
                reader.table("reports").number("noise")), rules(reader.table("rules")), goal(reader.table("goal")),
                classes(streams), troubles(streams), recorded);
    }

    private static Day.Fleet fleet(ScenarioReader reader) {
        return new Day.Fleet(reader.integer("exchanges"), reader.stringList("regions"), reader.number("erlangs"),
                reader.number("spare"), reader.number("pair-spread"), reader.number("missed"), reader.number("local"));
    }

    private static Day.Load load(ScenarioReader reader) {
        return new Day.Load(reader.number("level"), reader.string("shape"), reader.number("swing"),
                reader.number("drift-spread"), reader.time("drift-time"));
    }

    private static Day.Net net(ScenarioReader reader) {
        return new Day.Net(reader.time("within-region"), reader.time("between-regions"), reader.number("jitter"),
                reader.time("group-report"));
    }

    private static Day.Work work(ScenarioReader reader) {
        return new Day.Work(reader.number("use"), reader.number("look"), reader.number("refuse"),
                reader.number("follow"), reader.time("refuse-after"), reader.bool("answers-first"),
                reader.bool("cancel-drops"), reader.number("faults"));
    }

    private static Day.Callers callers(ScenarioReader reader) {
        return new Day.Callers(reader.number("redials"), reader.number("patience"), reader.time("backoff"),
                reader.bool("doubling"), reader.number("honour"), reader.bool("marked"), reader.number("impatient"),
                reader.number("again"), reader.time("most-wait"));
    }

    private static Day.DirectoryDelays news(ScenarioReader reader) {
        return new Day.DirectoryDelays(reader.time("start"), reader.time("end"), reader.time("spread"));
    }

    private static Day.Rules rules(ScenarioReader reader) {
        return new Day.Rules(reader.time("answer-grace"), reader.time("drain-grace"), reader.integer("max-attempts"),
                reader.time("release"), reader.number("fall-multiple"), reader.time("fall"),
                reader.number("cold-share"), reader.time("cold"));
    }

    private static Day.Goal goal(ScenarioReader reader) {
        return new Day.Goal(reader.number("whole"), reader.number("worst-window"), reader.number("worst-class"),
                reader.number("late-fail"), reader.number("waste"));
    }

    private List<ScenarioReader> readersOf(String list, Streams streams) {
        JsonNode nodes = tree.path(list);
        List<ScenarioReader> out = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            out.add(new ScenarioReader(nodes.get(i), list + "." + i + ".", streams));
        }
        return out;
    }

    private List<ClassOfCall> classes(Streams streams) {
        return readersOf("class", streams).stream().map(reader -> new ClassOfCall(reader.string("name"),
                reader.number("part"), reader.time("aim"), reader.time("deadline"), reader.number("worth"),
                reader.number("late-worth"), reader.integer("width"), reader.time("holding"))).toList();
    }

    private List<ScenarioFault> troubles(Streams streams) {
        return readersOf("trouble", streams).stream().map(Scenario::trouble).toList();
    }

    private static ScenarioFault trouble(ScenarioReader reader) {
        long at = reader.time("at");
        long until = at + reader.time("for");
        return switch (reader.string("kind")) {
            case "surge" -> new ScenarioFault.Surge(at, until, reader.number("factor"),
                    Math.min(reader.time("rise"), (until - at) / 2));
            case "hot-caller" -> new ScenarioFault.HotCaller(at, until, reader.integer("exchanges"),
                    reader.number("share"));
            case "hot-number" -> new ScenarioFault.HotNumber(at, until, reader.number("share"),
                    reader.integer("lines"));
            case "circuit-loss" -> new ScenarioFault.CircuitLoss(at, until,
                    reader.has("region") ? reader.integer("region") : ScenarioFault.CircuitLoss.EVERYWHERE,
                    reader.number("keep"));
            case "slow-processors" -> new ScenarioFault.SlowProcessors(at, until, reader.number("share"),
                    reader.number("factor"));
            case "late-reports" -> new ScenarioFault.LateReports(at, until, reader.time("delay"));
            case "crash" -> new ScenarioFault.Crash(at, until, reader.integer("exchanges"));
            case "silence" -> new ScenarioFault.Silence(at, until, reader.integer("exchanges"));
            case "replace" -> new ScenarioFault.Replace(at, until, reader.integer("exchanges"));
            case "drain" -> new ScenarioFault.Drain(at, until, reader.integer("exchanges"));
            default -> throw new TomlException("trouble.kind: unknown '" + reader.string("kind") + "'");
        };
    }
}
