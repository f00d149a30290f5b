package wingspread.acme;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.KeyPair;
import java.security.MessageDigest;
import java.security.PublicKey;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Date;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.cert.X509CertificateHolder;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.bouncycastle.pkcs.PKCS10CertificationRequest;
import org.jose4j.jwk.JsonWebKey;
import org.jose4j.jws.JsonWebSignature;
import org.jose4j.lang.JoseException;
import wingspread.json.Json;
import wingspread.net.InvalidInputException;

/**
 * A certificate authority for tests (RFC 8555), on the loopback interface. It handles one order at a time, and checks
 * signatures, nonces and the http-01 challenge.
 */
final class StandInAuthority implements Closeable {
    private final HttpServer server;
    private final InstantSource clock;
    private final Duration lifetime;
    private final int challengePort;
    private final KeyPair root = CertificateStore.newKey();
    private final Set<String> nonces = new HashSet<>();
    private int nextNonce;
    private JsonWebKey account;
    private String chain;
    private String orderStatus = "pending";
    private String authorization = "pending";
    /** The actions performed so far. */
    final List<String> actions = new ArrayList<>();
    /** The number of further requests whose nonce is rejected. */
    int badNonces;
    /** Whether challenges fail validation. */
    boolean refuseChallenge;
    /** Whether every request is answered with an error. */
    boolean down;

    StandInAuthority(InstantSource clock, Duration lifetime, int challengePort) throws IOException {
        this.clock = clock;
        this.lifetime = lifetime;
        this.challengePort = challengePort;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
    }

    String url(String path) {
        return "http://127.0.0.1:" + server.getAddress().getPort() + path;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        try {
            String nonce = "nonce" + nextNonce++;
            nonces.add(nonce);
            exchange.getResponseHeaders().set("Replay-Nonce", nonce);
            if (down) {
                problem(exchange, 503, "serverInternal");
            } else if (path.equals("/directory")) {
                reply(exchange, 200, "{\"newNonce\":\"" + url("/nonce") + "\",\"newAccount\":\"" + url("/account")
                        + "\",\"newOrder\":\"" + url("/order") + "\",\"revokeCert\":\"" + url("/revoke")
                        + "\",\"keyChange\":\"" + url("/key") + "\"}");
            } else if (path.equals("/nonce")) {
                exchange.sendResponseHeaders(200, -1);
            } else {
                signed(exchange, path);
            }
        } catch (JoseException | InvalidInputException | ReflectiveOperationException | InterruptedException e) {
            throw new IOException(e);
        } finally {
            exchange.close();
        }
    }

    private void signed(HttpExchange exchange, String path) throws IOException, JoseException, InvalidInputException,
            ReflectiveOperationException, InterruptedException {
        Map<?, ?> body = (Map<?, ?>) Json.parse(exchange.getRequestBody().readAllBytes());
        JsonWebSignature jws = new JsonWebSignature();
        jws.setCompactSerialization(body.get("protected") + "." + body.get("payload") + "." + body.get("signature"));
        if (path.equals("/account")) {
            account = JsonWebKey.Factory.newJwk(
                    ((Map<?, ?>) Json.parse(jws.getHeaders().getFullHeaderAsJsonString()
                            .getBytes(StandardCharsets.UTF_8))).get("jwk") instanceof Map<?, ?> jwk ? json(jwk) : "");
        }
        jws.setKey(account.getKey());
        if (!jws.verifySignature() || !nonces.remove(jws.getHeader("nonce")) || badNonces > 0) {
            badNonces--;
            actions.add("bad nonce");
            problem(exchange, 400, "badNonce");
            return;
        }
        String payload = jws.getPayload();
        switch (path) {
            case "/account" -> {
                exchange.getResponseHeaders().set("Location", url("/account/1"));
                reply(exchange, 201, "{\"status\":\"valid\"}");
            }
            case "/order" -> {
                actions.add("order");
                orderStatus = "pending";
                authorization = "pending";
                exchange.getResponseHeaders().set("Location", url("/order/1"));
                reply(exchange, 201, order());
            }
            case "/order/1" -> reply(exchange, 200, order());
            case "/authz/1" -> reply(exchange, 200, authz());
            case "/challenge/1" -> {
                validate();
                reply(exchange, 200, challenge());
            }
            case "/finalize" -> {
                actions.add("finalize");
                issue((String) ((Map<?, ?>) Json.parse(payload.getBytes(StandardCharsets.UTF_8))).get("csr"));
                orderStatus = "valid";
                reply(exchange, 200, order());
            }
            case "/certificate" -> {
                exchange.getResponseHeaders().set("Content-Type", "application/pem-certificate-chain");
                exchange.sendResponseHeaders(200, chain.length());
                exchange.getResponseBody().write(chain.getBytes(StandardCharsets.US_ASCII));
            }
            default -> problem(exchange, 404, "malformed");
        }
    }

    private static String json(Map<?, ?> map) {
        StringBuilder out = new StringBuilder("{");
        map.forEach((key, value) -> {
            out.append(out.length() > 1 ? "," : "");
            Json.quote(out, key.toString());
            out.append(':');
            Json.quote(out, value.toString());
        });
        return out.append('}').toString();
    }

    /** Fetches the key authorization of the challenge and compares it with the thumbprint of the account key. */
    private void validate() throws IOException, InterruptedException, ReflectiveOperationException, JoseException {
        HttpResponse<String> response = HttpClient.newHttpClient().send(HttpRequest.newBuilder(URI.create(
                "http://127.0.0.1:" + challengePort + "/.well-known/acme-challenge/token1")).build(),
                HttpResponse.BodyHandlers.ofString());
        String thumbprint = account.calculateBase64urlEncodedThumbprint("SHA-256");
        boolean matches = response.statusCode() == 200 && MessageDigest.isEqual(
                response.body().getBytes(StandardCharsets.US_ASCII),
                ("token1." + thumbprint).getBytes(StandardCharsets.US_ASCII));
        actions.add(matches ? "challenge passed" : "challenge failed");
        authorization = matches && !refuseChallenge ? "valid" : "invalid";
        orderStatus = authorization.equals("valid") ? "ready" : "invalid";
    }

    private void issue(String csr) throws IOException {
        try {
            PKCS10CertificationRequest request = new PKCS10CertificationRequest(Base64.getUrlDecoder().decode(csr));
            Instant now = clock.instant();
            X509CertificateHolder certificate = new X509v3CertificateBuilder(new X500Name("CN=stand-in"),
                    BigInteger.valueOf(now.toEpochMilli()), Date.from(now), Date.from(now.plus(lifetime)),
                    new X500Name("CN=sip.test"), request.getSubjectPublicKeyInfo())
                    .build(new JcaContentSignerBuilder("SHA256withECDSA").build(root.getPrivate()));
            StringWriter text = new StringWriter();
            try (JcaPEMWriter writer = new JcaPEMWriter(text)) {
                writer.writeObject(certificate);
            }
            chain = text.toString();
        } catch (org.bouncycastle.operator.OperatorCreationException e) {
            throw new IOException(e);
        }
    }

    PublicKey rootKey() {
        return root.getPublic();
    }

    private String order() {
        return "{\"status\":\"" + orderStatus + "\",\"identifiers\":[{\"type\":\"dns\",\"value\":\"sip.test\"}],"
                + "\"authorizations\":[\"" + url("/authz/1") + "\"],\"finalize\":\"" + url("/finalize") + "\""
                + (orderStatus.equals("valid") ? ",\"certificate\":\"" + url("/certificate") + "\"" : "") + "}";
    }

    private String authz() {
        return "{\"status\":\"" + authorization + "\",\"identifier\":{\"type\":\"dns\",\"value\":\"sip.test\"},"
                + "\"challenges\":[" + challenge() + "]}";
    }

    private String challenge() {
        return "{\"type\":\"http-01\",\"url\":\"" + url("/challenge/1") + "\",\"token\":\"token1\",\"status\":\""
                + (authorization.equals("pending") ? "pending" : authorization) + "\"}";
    }

    private static void problem(HttpExchange exchange, int status, String type) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/problem+json");
        write(exchange, status, "{\"type\":\"urn:ietf:params:acme:error:" + type + "\",\"detail\":\"stand-in\"}");
    }

    private static void reply(HttpExchange exchange, int status, String body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        write(exchange, status, body);
    }

    private static void write(HttpExchange exchange, int status, String body) throws IOException {
        exchange.sendResponseHeaders(status, body.length());
        exchange.getResponseBody().write(body.getBytes(StandardCharsets.US_ASCII));
    }
}
