package wingspread.lab.host;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import wingspread.control.ControlParameters;

/**
 * Softswitches of another built jar of this program, run in a separate process. The network model stays in this
 * process, so that two versions are compared on the same model.
 */
public final class RemoteSoftswitches implements Softswitches {
    /** Time-out after which an unresponsive host is ended; far longer than the longest turn of the largest fleet. */
    private static final long REPLY_TIMEOUT_SECONDS = 60;
    private static final int BUFFER_BYTES = 1 << 16;
    private static final ScheduledExecutorService TIMEOUTS = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "host-watch");
        thread.setDaemon(true);
        return thread;
    });

    private final String name;
    private final Map<String, Double> parameters;
    private final Runnable kill;
    private final ObjectMapper mapper = Wire.mapper();
    private final OutputStream out;
    private final MappingIterator<Wire.Reply> replies;
    private volatile boolean timedOut;

    /**
     * Connects to a host over a pair of streams and reads its greeting.
     *
     * @param kill ends the host
     * @throws HostException if the peer is not a host or uses another version of the interface
     */
    RemoteSoftswitches(String name, ControlParameters parameters, InputStream in, OutputStream out, Runnable kill) {
        this.name = name;
        this.kill = kill;
        this.out = out;
        // Sends every override, also one equal to the default here: another version may lack the parameter or have
        // another default.
        this.parameters = parameters.overrides();
        try {
            JsonParser parser = Wire.newParser(mapper, in);
            Wire.Hello hello = readWithTimeout(() -> parser.readValueAs(Wire.Hello.class));
            if (hello == null || hello.version() != Wire.VERSION) {
                close();
                throw new HostException(name + " uses version " + (hello == null ? "none" : hello.version())
                        + " of the lab's interface; " + Wire.VERSION + " was expected");
            }
            replies = mapper.readerFor(Wire.Reply.class).readValues(parser);
        } catch (IOException e) {
            close();
            throw new HostException(name + " is not a softswitch host: " + singleLineMessage(e));
        }
    }

    /**
     * Starts a host process.
     *
     * @throws HostException if the jar is missing, cannot be started or uses another version of the interface
     */
    public static RemoteSoftswitches start(Path jar, ControlParameters parameters) {
        if (!Files.isRegularFile(jar)) {
            throw new HostException(jar + " is not a jar of this program");
        }
        try {
            Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UseSerialGC", "-jar", jar.toString(), "lab", "host")
                    .redirectError(ProcessBuilder.Redirect.DISCARD).start();
            return new RemoteSoftswitches(jar.toString(), parameters,
                    new BufferedInputStream(process.getInputStream(), BUFFER_BYTES),
                    new BufferedOutputStream(process.getOutputStream(), BUFFER_BYTES), process::destroyForcibly);
        } catch (IOException e) {
            throw new HostException(jar + " cannot be started: " + singleLineMessage(e));
        }
    }

    @Override
    public void begin(long now, List<Start> starts) {
        execute(new Wire.Begin(now, parameters, starts));
    }

    @Override
    public List<Output> turn(long now, List<Input> inputs) {
        return execute(new Wire.Turn(now, inputs)).outputs();
    }

    private Wire.Reply execute(Wire.Command command) {
        try {
            Wire.write(mapper, out, command);
            Wire.Reply reply = readWithTimeout(() -> replies.hasNextValue() ? replies.nextValue() : null);
            if (reply == null) {
                throw new HostException(name + (timedOut ? " did not answer within " + REPLY_TIMEOUT_SECONDS + " s"
                        : " ended during a run"));
            }
            if (reply.error() != null) {
                close();
                throw new HostException(name + ": " + reply.error());
            }
            return reply;
        } catch (IOException e) {
            close();
            throw new HostException(name + ": connection to the host failed: " + singleLineMessage(e));
        }
    }

    /** A read that blocks until the host answers. */
    @FunctionalInterface
    private interface BlockingRead<T> {
        T get() throws IOException;
    }

    /** Performs a blocking read and kills the host on time-out, as the read itself has none. */
    private <T> T readWithTimeout(BlockingRead<T> blockingRead) throws IOException {
        ScheduledFuture<?> timeout = TIMEOUTS.schedule(() -> {
            timedOut = true;
            kill.run();
        }, REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        try {
            return blockingRead.get();
        } finally {
            timeout.cancel(false);
        }
    }

    private static String singleLineMessage(IOException e) {
        return String.valueOf(e.getMessage()).replaceAll("\\s*\\R\\s*", " ");
    }

    @Override
    public void close() {
        kill.run();
    }
}
