package wingspread.acme;

import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** Answers one http-01 challenge (RFC 8555, 8.3) for as long as it is open. */
final class ChallengeServer implements Closeable {
    private static final String PATH = "/.well-known/acme-challenge/";

    private final HttpServer server;

    ChallengeServer(InetSocketAddress address, String token, String authorization) throws IOException {
        byte[] body = authorization.getBytes(StandardCharsets.US_ASCII);
        server = HttpServer.create(address, 0);
        server.createContext("/", exchange -> {
            boolean asked = exchange.getRequestURI().getPath().equals(PATH + token);
            exchange.getResponseHeaders().set("Content-Type", "application/octet-stream");
            exchange.sendResponseHeaders(asked ? 200 : 404, asked ? body.length : -1);
            if (asked) {
                exchange.getResponseBody().write(body);
            }
            exchange.close();
        });
    }

    /** Starts to answer. */
    void start() {
        server.start();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
