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
 * Softswitches of another built jar of this program, run as a process of its own. The model of the network stays
 * here, so that two versions meet the same one.
 */
public final class RemoteSoftswitches implements Softswitches {
    /** A host that says nothing for so long is ended; far beyond the longest turn of the largest fleet. */
    private static final long LONGEST_SILENCE_SECONDS = 60;
    private static final int BUFFER = 1 << 16;
    private static final ScheduledExecutorService WATCH = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "host-watch");
        thread.setDaemon(true);
        return thread;
    });

    private final String name;
    private final Map<String, Double> figures;
    private final Runnable kill;
    private final ObjectMapper mapper = Wire.mapper();
    private final OutputStream out;
    private final MappingIterator<Wire.Answer> answers;
    private volatile boolean killed;

    /** Speaks with a host at the other end of two streams; {@code kill} ends it. */
    RemoteSoftswitches(String name, ControlParameters figures, InputStream in, OutputStream out, Runnable kill) {
        this.name = name;
        this.kill = kill;
        this.out = out;
        // What was given is sent, and all of it: another version may lack a figure, or have another usual value.
        this.figures = figures.overrides();
        try {
            JsonParser parser = Wire.reading(mapper, in);
            Wire.Hello hello = watched(() -> parser.readValueAs(Wire.Hello.class));
            if (hello == null || hello.version() != Wire.VERSION) {
                close();
                throw new HostException(name + " speaks version " + (hello == null ? "none" : hello.version())
                        + " of the lab's interface; " + Wire.VERSION + " was expected");
            }
            answers = mapper.readerFor(Wire.Answer.class).readValues(parser);
        } catch (IOException e) {
            close();
            throw new HostException(name + " is no host of softswitches: " + oneLine(e));
        }
    }

    /**
     * Starts a host.
     *
     * @throws HostException where the jar is missing, or speaks another version of the interface
     */
    public static RemoteSoftswitches start(Path jar, ControlParameters figures) {
        if (!Files.isRegularFile(jar)) {
            throw new HostException(jar + " is no jar of this program");
        }
        try {
            Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UseSerialGC", "-jar", jar.toString(), "lab", "host")
                    .redirectError(ProcessBuilder.Redirect.DISCARD).start();
            return new RemoteSoftswitches(jar.toString(), figures,
                    new BufferedInputStream(process.getInputStream(), BUFFER),
                    new BufferedOutputStream(process.getOutputStream(), BUFFER), process::destroyForcibly);
        } catch (IOException e) {
            throw new HostException(jar + " cannot be started: " + oneLine(e));
        }
    }

    @Override
    public void begin(long now, List<Start> starts) {
        ask(new Wire.Begin(now, figures, starts));
    }

    @Override
    public List<Output> turn(long now, List<Input> inputs) {
        return ask(new Wire.Turn(now, inputs)).outputs();
    }

    private Wire.Answer ask(Wire.Order order) {
        try {
            Wire.write(mapper, out, order);
            Wire.Answer answer = watched(() -> answers.hasNextValue() ? answers.nextValue() : null);
            if (answer == null) {
                throw new HostException(name + (killed ? " said nothing for " + LONGEST_SILENCE_SECONDS + " s"
                        : " ended in the middle of a run"));
            }
            if (answer.error() != null) {
                close();
                throw new HostException(name + ": " + answer.error());
            }
            return answer;
        } catch (IOException e) {
            close();
            throw new HostException(name + " broke off: " + oneLine(e));
        }
    }

    /** Something that waits for the host. */
    @FunctionalInterface
    private interface Waiting<T> {
        T get() throws IOException;
    }

    /** Guards against a host that hangs: the read has no end of its own. */
    private <T> T watched(Waiting<T> waiting) throws IOException {
        ScheduledFuture<?> watch = WATCH.schedule(() -> {
            killed = true;
            kill.run();
        }, LONGEST_SILENCE_SECONDS, TimeUnit.SECONDS);
        try {
            return waiting.get();
        } finally {
            watch.cancel(false);
        }
    }

    private static String oneLine(IOException e) {
        return String.valueOf(e.getMessage()).replaceAll("\\s*\\R\\s*", " ");
    }

    @Override
    public void close() {
        kill.run();
    }
}
