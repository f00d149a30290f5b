package wingspread.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Free ports of the loopback for stand-ins and softswitches. They lie below the range from which kernels take the ports
 * of outgoing connections, so that none of these takes one away before it is listened at; and none is given out twice
 * before all others were.
 */
public final class Ports {
    private static final int FIRST = 10_000;
    private static final int COUNT = 20_000;
    /** Where the search goes on; other programs of this kind begin elsewhere. */
    private static final AtomicInteger NEXT = new AtomicInteger(
            (int) (ProcessHandle.current().pid() * 1_009 % COUNT));

    private Ports() { }

    /**
     * One that nothing listens at now.
     *
     * @throws IOException where there is none
     */
    public static int free() throws IOException {
        for (int tried = 0; tried < COUNT; tried++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no port between " + FIRST + " and " + (FIRST + COUNT) + " is free");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
