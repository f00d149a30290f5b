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

/** A softswitch that runs as a separate process, with its configuration and its log in one directory. */
public final class SoftswitchProcess {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long CONNECT_TIMEOUT_MICROS = 500_000;
    private static final int TERMINATION_TIMEOUT_SECONDS = 6;
    private static final List<String> JVM_FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData");

    private final Path folder;
    private final Launch launch;
    private Process process;

    /**
     * Resources and program of a process.
     *
     * @param heapMb maximum heap of the JVM in megabytes
     * @param sockets limit of file descriptors in its configuration
     * @param classPath jars and class directories of the program; if empty, those of this program
     * @param jvmArguments additional arguments of the JVM
     */
    public record Launch(int heapMb, int sockets, List<Path> classPath, List<String> jvmArguments) {
        /** This program, with resources that are sufficient for a run of the model. */
        static final Launch DEFAULT = new Launch(96, 8_192, List.of(), List.of());
    }

    /**
     * Prepares a softswitch without starting it.
     *
     * @param folder directory for its configuration and log; created if missing
     * @param storm text of its {@code deploy/storm.toml}; null for no such file
     * @throws IOException if the directory cannot be written
     */
    public SoftswitchProcess(Path folder, String storm, Launch launch) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.launch = launch;
        if (storm != null) {
            Files.writeString(Files.createDirectories(folder.resolve("deploy")).resolve("storm.toml"), storm);
        }
    }

    /**
     * Writes the configuration that the platform would provide.
     *
     * @param port port on which the softswitch accepts callers
     * @param nameServerPort port of the name server of its directory
     * @param known cached list of exchanges
     * @param revision revision of the cached list
     */
    public void configure(Settings settings, long seed, int port, int nameServerPort,
            Collection<NameServer.ListedExchange> known, int revision) throws IOException {
        ObjectNode out = JSON.createObjectNode().put("name", "n" + settings.ownPlace())
                .put("listen", "127.0.0.1:" + port).put("seed", Long.toHexString(seed))
                .put("names", "127.0.0.1:" + nameServerPort);
        out.putObject("limits").put("sockets", launch.sockets());
        out.set("settings", encodeSettings(settings, known));
        ArrayNode targets = out.putObject("known").put("rev", revision).putArray("notices").addObject().put("rev", 1)
                .putObject("pool").put("all", true).putArray("targets");
        for (NameServer.ListedExchange exchange : known) {
            targets.addObject().put("uid", exchange.uid()).put("endpoint", "127.0.0.1:" + exchange.port())
                    .put("az", exchange.zone())
                    .put("model", "std").put("pod_group", exchange.place())
                    .put("state", exchange.readiness() == Readiness.READY ? "up" : "draining").put("capacity_hint", 1)
                    .put("boot_ms", exchange.startedMs());
        }
        JSON.writeValue(folder.resolve("config.json").toFile(), out);
    }

    private static ObjectNode encodeSettings(Settings settings, Collection<NameServer.ListedExchange> known) {
        ObjectNode out = JSON.createObjectNode().put("az", settings.ownZone()).put("balancers", settings.softswitches())
                .put("rank", settings.rank()).put("discovery", "automatic");
        ArrayNode zones = out.putArray("zones");
        known.stream().map(NameServer.ListedExchange::zone).distinct().sorted().forEach(zones::add);
        out.putArray("kinds").add("std");
        ObjectNode family = out.putObject("family-info").put("layout", "network")
                .put("this-node", settings.ownPlace()).put("release", settings.release());
        ArrayNode widths = family.putArray("class-width");
        ArrayNode holding = family.putArray("holding");
        ArrayNode services = out.putArray("services");
        for (CallClass callClass : settings.classes()) {
            widths.add(callClass.width());
            holding.add(callClass.holding());
            services.addObject().put("name", callClass.name()).put("aim", callClass.aim())
                    .put("deadline", callClass.deadline())
                    .put("effect", callClass.effect().name().toLowerCase(Locale.ROOT))
                    .put("group", callClass.group().name().toLowerCase(Locale.ROOT))
                    .put("value", callClass.worth()).put("late-worth", callClass.lateWorth());
        }
        out.putObject("limits").put("max-attempts", settings.maxAttempts()).put("may-cancel", settings.cancel())
                .put("connect-timeout", CONNECT_TIMEOUT_MICROS).put("retry-after", settings.retryAfter())
                .put("max-retry-after", settings.maxRetryAfter());
        out.putObject("obligations").put("stop-sending-within", settings.obligations().drainGrace())
                .put("cold", settings.obligations().cold()).put("cold-share", settings.obligations().coldShare())
                .put("fall", settings.obligations().fall()).put("fall-multiple", settings.obligations().fallMultiple())
                .put("grace-to-answer", settings.obligations().answerGrace());
        out.putObject("telemetry").put("via", "piggyback").putArray("fields").add("idle").add("circuits")
                .add("backlog").add("max_rate");
        return out;
    }

    /** Returns the class path of this program. */
    public static List<Path> currentClassPath() {
        return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator)).map(Path::of).toList();
    }

    /** Starts the process; its output is appended to the log. */
    public void start() throws IOException {
        Stream<Path> parts = launch.classPath().isEmpty() ? currentClassPath().stream() : launch.classPath().stream();
        String classPath = parts.map(part -> part.toAbsolutePath().toString())
                .collect(Collectors.joining(File.pathSeparator));
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        command.add("-Xmx" + launch.heapMb() + "m");
        command.addAll(launch.jvmArguments());
        command.addAll(List.of("-cp", classPath, "wingspread.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).directory(folder.toFile());
        builder.environment().put("LB_CONFIG", folder.resolve("config.json").toString());
        builder.environment().remove("LB_NAME");
        builder.environment().remove("LB_LISTEN");
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile())).start();
    }

    /** Returns the file of its output; each start appends to it. */
    public Path logFile() {
        return folder.resolve("softswitch.log");
    }

    /** Whether the process is running. */
    public boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** Returns the process that was started last; null before the first start. */
    public Process process() {
        return process;
    }

    /** Terminates the process with SIGKILL, so that it cannot notify anybody. */
    public void kill() {
        process.destroyForcibly();
    }

    /**
     * Requests a graceful shutdown with SIGTERM. It does not wait, so that all softswitches can shut down at the same
     * time; {@link #awaitTermination} does.
     */
    public void terminate() {
        if (process != null) {
            process.destroy();
        }
    }

    /** Waits until the process has ended, and terminates it with SIGKILL when the timeout has passed. */
    public void awaitTermination() throws InterruptedException {
        if (process != null && !process.waitFor(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Returns the lines of its log; empty before the first start. */
    public List<String> logLines() throws IOException {
        return Files.exists(logFile()) ? Files.readAllLines(logFile()) : List.of();
    }
}
