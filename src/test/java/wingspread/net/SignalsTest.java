package wingspread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SignalsTest {
    private static void sendSignal(String name) throws Exception {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(ProcessHandle.current().pid())).start();
        assertEquals(0, kill.waitFor());
    }

    /** The default action of SIGWINCH is to ignore it, so a signal without an installed handler would be lost. */
    @Test
    void remembersSignalThatArrivesBeforeItsTask() throws Exception {
        Signals.installHandlers("WINCH");
        sendSignal("WINCH");
        Semaphore runs = new Semaphore(0);
        Signals.on("WINCH", runs::release);
        assertTrue(runs.tryAcquire(10, TimeUnit.SECONDS));
        sendSignal("WINCH");
        assertTrue(runs.tryAcquire(10, TimeUnit.SECONDS));
    }
}
