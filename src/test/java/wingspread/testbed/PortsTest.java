package wingspread.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Tests the search for free ports. */
class PortsTest {
    private static final int PORTS = 2_000;

    @Test
    void foundPortCanBeBoundWhileProcessesAreStarted() {
        AtomicBoolean finished = new AtomicBoolean();
        CompletableFuture<Void> starts = CompletableFuture.runAsync(() -> startProcessesUntil(finished));
        List<String> failures = new ArrayList<>();
        for (int i = 0; i < PORTS; i++) {
            try (ServerSocket owner = new ServerSocket(Ports.findFreePort(), 1, InetAddress.getLoopbackAddress())) {
                assertEquals(InetAddress.getLoopbackAddress(), owner.getInetAddress());
            } catch (IOException e) {
                failures.add(e.getMessage());
            }
        }
        finished.set(true);
        starts.join();
        assertEquals(List.of(), failures);
    }

    private static void startProcessesUntil(AtomicBoolean finished) {
        while (!finished.get()) {
            try {
                new ProcessBuilder("true").start().waitFor();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
