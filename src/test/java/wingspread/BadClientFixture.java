package wingspread;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;

/** Starts the program with the heap of the deploy file and with room for hundreds of clients. */
abstract class BadClientFixture extends ServeFixture {
    @Override
    List<String> javaCommand() {
        List<String> command = new ArrayList<>(super.javaCommand());
        command.add(maxHeapOption());
        command.add("-XX:+ExitOnOutOfMemoryError");
        return command;
    }

    @Override
    int maxSockets() {
        return 1_024;
    }

    private static String maxHeapOption() {
        try {
            Matcher option = Pattern.compile("-Xmx\\w+").matcher(Files.readString(Path.of("deploy/balancer.toml")));
            assertTrue(option.find(), "no maximum heap in the deploy file");
            return option.group();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads the log, since the program would wait for a pipe that is full. */
    @BeforeEach
    void discardLog() {
        Thread reader = new Thread(() -> {
            try {
                process.getInputStream().transferTo(OutputStream.nullOutputStream());
            } catch (IOException e) {
                // The process has ended.
                return;
            }
        }, "log");
        reader.setDaemon(true);
        reader.start();
    }

    /** An offer for a place that no exchange has, which is refused at once. */
    static String refusedOffer(String id, String remainingMs, String description) {
        return "{\"op\":\"offer\",\"call\":\"" + id + "\",\"with\":{\"class\":\"plain\",\"left\":\"" + remainingMs
                + "\",\"key\":\"00FF\",\"extras\":\"dest:9999;width:1;via:-1\"},\"desc\":\"" + description + "\"}\n";
    }
}
