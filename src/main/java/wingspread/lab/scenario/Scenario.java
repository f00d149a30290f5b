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

/** A scenario: the shipped usual one with what a file lays over it. Days are drawn from it. */
public final class Scenario {
    /** The scenarios that are shipped. */
    public static final List<String> SHIPPED = List.of("usual", "surge-slow-late", "regional-loss",
            "crash-and-return", "rolling-release", "event-day", "crowd-and-late", "overload", "surge-and-slow",
            "crowd-and-slow", "circuits-cut", "large", "vast");
    private static final String FOLDER = "/wingspread/lab/scenarios/";
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
     * A shipped scenario by its name, else one from a file.
     *
     * @throws TomlException where there is neither, or it cannot be taken
     */
    public static Scenario named(String name) {
        if (SHIPPED.contains(name)) {
            return of(name, TomlFile.resource(FOLDER + name + ".toml", SCHEMA));
        }
        if (!Files.exists(Path.of(name))) {
            throw new TomlException(name + ": neither a file nor one of " + String.join(", ", SHIPPED));
        }
        return of(name, TomlFile.read(Path.of(name), SCHEMA));
    }

    /** A scenario from text, under a name for its errors. */
    public static Scenario parse(String text, String name) {
        return of(name, TomlFile.parse(text, name, SCHEMA));
    }

    private static Scenario of(String name, ObjectNode top) {
        Scenario scenario = new Scenario(name,
                TomlFile.over(TomlFile.resource(FOLDER + "usual.toml", SCHEMA), top), null);
        scenario.check();
        return scenario;
    }

    /** The text of a shipped scenario. */
    public static String shippedText(String name) {
        return TomlFile.text(FOLDER + name + ".toml");
    }

    /** This scenario with more laid over it; what is laid over is checked like a file. */
    public Scenario with(String toml) {
        Scenario scenario = new Scenario(name, TomlFile.over(tree, TomlFile.parse(toml, name + " and more", SCHEMA)),
                recorded);
        scenario.check();
        return scenario;
    }

    /**
     * This scenario with the first tries of recordings in place of drawn ones. Lengths of calls are drawn still.
     *
     * @throws TomlException where the recordings do not fit its exchanges and classes
     */
    public Scenario with(List<Recording> recordings) {
        Day day = day(new Streams(0, 0));
        return new Scenario(name, tree, RecordedTraffic.of(recordings, day.fleet().exchanges(),
                day.classes().stream().map(ClassOfCall::name).toList()));
    }

    /** What a schema cannot say: places that exist, ranges in order, times in one unit. */
    private void check() {
        try {
            Day day = day(new Streams(0, 0));
            if (day.classes().stream().mapToDouble(ClassOfCall::part).sum() == 0) {
                throw new TomlException("class.part: 0 for every class; one above 0 was expected");
            }
            int regions = day.fleet().regions().size();
            for (Trouble trouble : day.troubles()) {
                if (trouble instanceof Trouble.CircuitLoss loss && loss.region() >= regions) {
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

    /** One line that says what it is for. */
    public String about() {
        return tree.get("about").textValue();
    }

    /** Draws the day of one replication. */
    public Day day(Streams streams) {
        Draws d = new Draws(tree, "", streams);
        return new Day(d.time("length"), d.time("tick"), fleet(d.table("fleet")), load(d.table("load")),
                net(d.table("net")), work(d.table("work")),
                new Day.Cold(d.table("cold").number("from"), d.table("cold").time("time")),
                callers(d.table("callers")), news(d.table("news")),
                new Day.Reports(d.table("reports").time("period"), d.table("reports").time("delay"),
                        d.table("reports").number("noise")),
                rules(d.table("rules")), goal(d.table("goal")), classes(streams), troubles(streams),
                recorded);
    }

    private static Day.Fleet fleet(Draws d) {
        return new Day.Fleet(d.whole("exchanges"), d.texts("regions"), d.number("erlangs"), d.number("spare"),
                d.number("pair-spread"), d.number("missed"), d.number("local"));
    }

    private static Day.Load load(Draws d) {
        return new Day.Load(d.number("level"), d.text("shape"), d.number("swing"), d.number("drift-spread"),
                d.time("drift-time"));
    }

    private static Day.Net net(Draws d) {
        return new Day.Net(d.time("within-region"), d.time("between-regions"), d.number("jitter"),
                d.time("group-report"));
    }

    private static Day.Work work(Draws d) {
        return new Day.Work(d.number("use"), d.number("look"), d.number("refuse"), d.number("follow"),
                d.time("refuse-after"), d.flag("answers-first"), d.flag("cancel-drops"), d.number("faults"));
    }

    private static Day.Callers callers(Draws d) {
        return new Day.Callers(d.number("redials"), d.number("patience"), d.time("backoff"), d.flag("doubling"),
                d.number("honour"), d.flag("marked"), d.number("impatient"), d.number("again"), d.time("most-wait"));
    }

    private static Day.News news(Draws d) {
        return new Day.News(d.time("start"), d.time("end"), d.time("spread"));
    }

    private static Day.Rules rules(Draws d) {
        return new Day.Rules(d.time("answer-grace"), d.time("drain-grace"), d.whole("max-attempts"),
                d.time("release"), d.number("fall-multiple"), d.time("fall"), d.number("cold-share"), d.time("cold"));
    }

    private static Day.Goal goal(Draws d) {
        return new Day.Goal(d.number("whole"), d.number("worst-window"), d.number("worst-class"),
                d.number("late-fail"), d.number("waste"));
    }

    private List<Draws> each(String list, Streams streams) {
        JsonNode nodes = tree.path(list);
        List<Draws> out = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            out.add(new Draws(nodes.get(i), list + "." + i + ".", streams));
        }
        return out;
    }

    private List<ClassOfCall> classes(Streams streams) {
        return each("class", streams).stream().map(d -> new ClassOfCall(d.text("name"), d.number("part"),
                d.time("aim"), d.time("deadline"), d.number("worth"), d.number("late-worth"), d.whole("width"),
                d.time("holding"))).toList();
    }

    private List<Trouble> troubles(Streams streams) {
        return each("trouble", streams).stream().map(Scenario::trouble).toList();
    }

    private static Trouble trouble(Draws d) {
        long at = d.time("at");
        long until = at + d.time("for");
        return switch (d.text("kind")) {
            case "surge" -> new Trouble.Surge(at, until, d.number("factor"),
                    Math.min(d.time("rise"), (until - at) / 2));
            case "hot-caller" -> new Trouble.HotCaller(at, until, d.whole("exchanges"), d.number("share"));
            case "hot-number" -> new Trouble.HotNumber(at, until, d.number("share"), d.whole("lines"));
            case "circuit-loss" -> new Trouble.CircuitLoss(at, until,
                    d.has("region") ? d.whole("region") : Trouble.CircuitLoss.EVERYWHERE, d.number("keep"));
            case "slow-processors" -> new Trouble.SlowProcessors(at, until, d.number("share"), d.number("factor"));
            case "late-reports" -> new Trouble.LateReports(at, until, d.time("delay"));
            case "crash" -> new Trouble.Crash(at, until, d.whole("exchanges"));
            case "silence" -> new Trouble.Silence(at, until, d.whole("exchanges"));
            case "replace" -> new Trouble.Replace(at, until, d.whole("exchanges"));
            case "drain" -> new Trouble.Drain(at, until, d.whole("exchanges"));
            default -> throw new TomlException("trouble.kind: unknown '" + d.text("kind") + "'");
        };
    }
}
