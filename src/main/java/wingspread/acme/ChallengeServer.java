package wingspread.acme;

import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** An HTTP server that answers one http-01 challenge (RFC 8555, section 8.3) until it is closed. */
final class ChallengeServer implements Closeable {
    private static final String PATH = "/.well-known/acme-challenge/";

    private final HttpServer server;

    ChallengeServer(InetSocketAddress address, String token, String authorization) throws IOException {
        byte[] body = authorization.getBytes(StandardCharsets.US_ASCII);
        server = HttpServer.create(address, 0);
        server.createContext("/", exchange -> {
            boolean matches = exchange.getRequestURI().getPath().equals(PATH + token);
            exchange.getResponseHeaders().set("Content-Type", "application/octet-stream");
            exchange.sendResponseHeaders(matches ? 200 : 404, matches ? body.length : -1);
            if (matches) {
                exchange.getResponseBody().write(body);
            }
            exchange.close();
        });
    }

    void start() {
        server.start();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
