package wingspread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SignalsTest {
    private static void raise(String name) throws Exception {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(ProcessHandle.current().pid())).start();
        assertEquals(0, kill.waitFor());
    }

    /** The default of SIGWINCH is to do nothing: one that is not kept would be lost. */
    @Test
    void aSignalThatComesBeforeItsTaskIsKeptForIt() throws Exception {
        Signals.keep("WINCH");
        raise("WINCH");
        Semaphore heard = new Semaphore(0);
        Signals.on("WINCH", heard::release);
        assertTrue(heard.tryAcquire(10, TimeUnit.SECONDS));
        raise("WINCH");
        assertTrue(heard.tryAcquire(10, TimeUnit.SECONDS));
    }
}
