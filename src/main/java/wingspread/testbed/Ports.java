package wingspread.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Free ports of the loopback, found by the kernel. */
public final class Ports {
    private Ports() { }

    /** One that nothing listens at now. */
    public static int free() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }
}
