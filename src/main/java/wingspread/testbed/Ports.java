package wingspread.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free ports of the loopback interface for stand-ins and softswitches. The ports lie below the range from which
 * kernels choose the ports of outgoing connections, so that no such connection takes a port before its owner binds it.
 * A port is not returned a second time until all others have been tried.
 */
public final class Ports {
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 20_000;
    /** Next offset to try. It starts at a value derived from the pid, so that parallel runs try different ports. */
    private static final AtomicInteger NEXT_OFFSET = new AtomicInteger(
            (int) (ProcessHandle.current().pid() * 1_009 % PORT_COUNT));

    private Ports() { }

    /**
     * Returns a port on which nothing listens at present.
     *
     * @throws IOException if no port is free
     */
    public static int findFreePort() throws IOException {
        for (int checked = 0; checked < PORT_COUNT; checked++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no free port between " + FIRST_PORT + " and " + (FIRST_PORT + PORT_COUNT)
                + " on the loopback interface");
    }

    /**
     * Whether the port can be bound. The check does not listen: a process that another thread starts holds a copy
     * of each open socket for some milliseconds, and a copy of a listening socket would keep the port's owner from
     * binding.
     */
    private static boolean isFree(int port) {
        try (Socket socket = new Socket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
