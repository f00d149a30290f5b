package wingspread.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The response to one HTTP request on a connection of its own. */
public record HttpCall(int status, String body) {
    private static final int READ_TIMEOUT_MS = 10_000;

    /** Sends a request without a body and reads until the server closes. */
    public static HttpCall request(int port, String method, String path) throws IOException {
        return send(port, method + " " + path + " HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n\r\n");
    }

    /** Sends the given bytes and reads until the server closes. */
    public static HttpCall send(int port, String bytes) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            return new HttpCall(Integer.parseInt(response.split(" ")[1]),
                    response.substring(response.indexOf("\r\n\r\n") + 4));
        }
    }
}
