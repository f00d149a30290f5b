package wingspread.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import wingspread.control.CallControl.CallClass;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Settings;

/** A real softswitch in a process of its own, with its configuration and its log in a folder. */
public final class SoftswitchProcess {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long CONNECT_TIMEOUT = 500_000;
    private static final int LONGEST_END = 6;
    private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData");

    private final Path folder;
    private final Launch launch;
    private Process process;

    /**
     * How it is started.
     *
     * @param heapMb megabytes of the JVM's heap
     * @param sockets descriptors, as its configuration states them
     * @param build the program's jars and folders of classes; those of this program where it is empty
     * @param jvmArguments further arguments of the JVM
     */
    public record Launch(int heapMb, int sockets, List<Path> build, List<String> jvmArguments) {
        /** This program, with what is ample for a run of the laboratory's model. */
        static final Launch AMPLE = new Launch(96, 8_192, List.of(), List.of());
    }

    /**
     * A softswitch that is not started yet.
     *
     * @param storm what stands in its {@code deploy/storm.toml}; null for no such file
     * @throws IOException where its folder cannot be written
     */
    public SoftswitchProcess(Path folder, String storm, Launch launch) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.launch = launch;
        if (storm != null) {
            Files.writeString(Files.createDirectories(folder.resolve("deploy")).resolve("storm.toml"), storm);
        }
    }

    /** Writes what the platform would tell it; {@code rev} is the number of the event that {@code known} holds. */
    public void configure(Settings settings, long seed, int port, int namesPort, Collection<NameServer.Named> known,
            int rev) throws IOException {
        ObjectNode out = JSON.createObjectNode().put("name", "n" + settings.ownPlace())
                .put("listen", "127.0.0.1:" + port).put("seed", Long.toHexString(seed))
                .put("names", "127.0.0.1:" + namesPort);
        out.putObject("limits").put("sockets", launch.sockets());
        out.set("settings", settings(settings, known));
        ArrayNode targets = out.putObject("known").put("rev", rev).putArray("notices").addObject().put("rev", 1)
                .putObject("pool").put("all", true).putArray("targets");
        for (NameServer.Named one : known) {
            targets.addObject().put("uid", one.uid()).put("endpoint", "127.0.0.1:" + one.port()).put("az", one.zone())
                    .put("model", "std").put("pod_group", one.place())
                    .put("state", one.readiness() == Readiness.READY ? "up" : "draining").put("capacity_hint", 1)
                    .put("boot_ms", one.startedMs());
        }
        JSON.writeValue(folder.resolve("config.json").toFile(), out);
    }

    private static ObjectNode settings(Settings s, Collection<NameServer.Named> known) {
        ObjectNode out = JSON.createObjectNode().put("az", s.ownZone()).put("balancers", s.softswitches())
                .put("rank", s.rank()).put("discovery", "automatic");
        ArrayNode zones = out.putArray("zones");
        known.stream().map(NameServer.Named::zone).distinct().sorted().forEach(zones::add);
        out.putArray("kinds").add("std");
        ObjectNode family = out.putObject("family-info").put("layout", "network").put("this-node", s.ownPlace())
                .put("release", s.release());
        ArrayNode widths = family.putArray("class-width");
        ArrayNode holding = family.putArray("holding");
        ArrayNode services = out.putArray("services");
        for (CallClass one : s.classes()) {
            widths.add(one.width());
            holding.add(one.holding());
            services.addObject().put("name", one.name()).put("aim", one.aim()).put("deadline", one.deadline())
                    .put("effect", one.effect().name().toLowerCase(Locale.ROOT))
                    .put("group", one.group().name().toLowerCase(Locale.ROOT)).put("value", one.worth())
                    .put("late-worth", one.lateWorth());
        }
        out.putObject("limits").put("max-attempts", s.maxAttempts()).put("may-cancel", s.cancel())
                .put("connect-timeout", CONNECT_TIMEOUT).put("retry-after", s.retryAfter())
                .put("max-retry-after", s.maxRetryAfter());
        out.putObject("obligations").put("stop-sending-within", s.obligations().drainGrace())
                .put("cold", s.obligations().cold()).put("cold-share", s.obligations().coldShare())
                .put("fall", s.obligations().fall()).put("fall-multiple", s.obligations().fallMultiple())
                .put("grace-to-answer", s.obligations().answerGrace());
        out.putObject("telemetry").put("via", "piggyback").putArray("fields").add("idle").add("circuits")
                .add("backlog").add("max_rate");
        return out;
    }

    /** The class path of this program. */
    public static List<Path> ownBuild() {
        return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator)).map(Path::of).toList();
    }

    /** Starts it. */
    public void start() throws IOException {
        Stream<Path> build = launch.build().isEmpty() ? ownBuild().stream() : launch.build().stream();
        String path = build.map(part -> part.toAbsolutePath().toString())
                .collect(Collectors.joining(File.pathSeparator));
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.add("-Xmx" + launch.heapMb() + "m");
        command.addAll(launch.jvmArguments());
        command.addAll(List.of("-cp", path, "wingspread.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).directory(folder.toFile());
        builder.environment().put("LB_CONFIG", folder.resolve("config.json").toString());
        builder.environment().remove("LB_NAME");
        builder.environment().remove("LB_LISTEN");
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile())).start();
    }

    /** Where its output goes; it is appended to at each start. */
    public Path log() {
        return folder.resolve("softswitch.log");
    }

    /** Whether it runs. */
    public boolean alive() {
        return process != null && process.isAlive();
    }

    /** The process that was started last; null before the first start. */
    public Process process() {
        return process;
    }

    /** Ends it without a word to anybody. */
    public void kill() {
        process.destroyForcibly();
    }

    /** Asks it to end in good order, all softswitches at once; {@link #awaitEnd} waits. */
    public void end() {
        if (process != null) {
            process.destroy();
        }
    }

    /** Waits for its end, and forces it after some seconds. */
    public void awaitEnd() throws InterruptedException {
        if (process != null && !process.waitFor(LONGEST_END, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
    }

    /** The lines of its log. */
    public List<String> lines() throws IOException {
        return Files.exists(log()) ? Files.readAllLines(log()) : List.of();
    }
}
