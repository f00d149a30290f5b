package wingspread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import wingspread.json.LineDecoder;
import wingspread.net.InvalidInputException;
import wingspread.sip.SipDecoder;
import wingspread.sip.SipMessage;
import wingspread.testbed.Ports;
import wingspread.testing.Wire;

/** Starts the program in a separate process, between a stand-in caller and a stand-in exchange on the loopback. */
abstract class ServeFixture {
    private static final String SETTINGS = """
            {"az":0,"balancers":3,"rank":0,"discovery":"automatic","zones":["here"],"kinds":["std"],
             "family-info":{"layout":"network","this-node":0,"release":200000,"class-width":[1],"holding":[9000000]},
             "limits":{"max-attempts":6,"may-cancel":true,"connect-timeout":500000,"retry-after":true,
                       "max-retry-after":2000000},
             "obligations":{"stop-sending-within":500000,"cold":14000000,"cold-share":0.3,"fall":1000000,
                            "fall-multiple":2.0,"grace-to-answer":20000},
             "services":[{"name":"plain","aim":1500000,"deadline":9000000,"effect":"safe","group":"all","value":1.0}],
             "telemetry":{"fields":["idle","circuits","backlog","max_rate"],"via":"piggyback"}}""";
    static final String CALL_ID = "9b1f03aa5c7e2d41";

    @TempDir
    Path folder;

    final BlockingQueue<Wire<SipMessage>> exchangeConnections = new LinkedBlockingQueue<>();
    ServerSocket exchangeListener;
    Wire<SipMessage> exchange;
    Wire<Map<?, ?>> caller;
    Process process;
    private int port;
    Path config;

    /** Returns the command that starts the JVM of the program, with its options. */
    List<String> javaCommand() {
        return List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC");
    }

    /** Returns the limit of file descriptors that the program is told. */
    int maxSockets() {
        return 64;
    }

    /** Returns the environment variables of the program beside that of its configuration. */
    Map<String, String> environment() {
        return Map.of();
    }

    @BeforeEach
    void start() throws Exception {
        exchangeListener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        acceptExchangeConnections();
        port = Ports.findFreePort();
        config = folder.resolve("config.json");
        configure("127.0.0.1:1");
        process = serve(config.toString());
        exchange = nextExchangeConnection();
        caller = connect();
        awaitTestResult(caller, 1);
    }

    /** Writes a configuration with this address of the directory server. */
    void configure(String directoryAddress) throws IOException {
        Files.writeString(config, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\","
                + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + maxSockets() + "},\"settings\":" + SETTINGS
                + ",\"known\":{\"rev\":1,\"notices\":[{\"rev\":1,\"pool\":{\"all\":true,\"targets\":["
                + "{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:" + exchangeListener.getLocalPort() + "\","
                + "\"az\":\"here\",\"model\":\"std\",\"pod_group\":1,\"state\":\"up\",\"capacity_hint\":1,"
                + "\"boot_ms\":0}]}}]},\"names\":\"" + directoryAddress + "\"}");
    }

    /** Sends test messages until one is answered with this result; the read timeout bounds the wait for each answer. */
    static void awaitTestResult(Wire<Map<?, ?>> wire, int expected) throws IOException, InvalidInputException {
        do {
            wire.send("{\"op\":\"test\",\"call\":\"0000000000000001\",\"with\":{},\"why\":0}\n");
        } while (((Double) wire.next().get("why")).intValue() != expected);
    }

    Process serve(String config) throws IOException {
        List<String> command = new ArrayList<>(javaCommand());
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "wingspread.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LB_CONFIG", config);
        builder.environment().putAll(environment());
        builder.directory(folder.toFile());
        return builder.redirectErrorStream(true).start();
    }

    /** Accepts connections to the exchange and sends a load report on each, as an exchange does. */
    private void acceptExchangeConnections() {
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    Wire<SipMessage> connection = new Wire<>(exchangeListener.accept(), new SipDecoder());
                    connection.send(SipMessage.request("NOTIFY", "sip:group@net").with("X-Gauges",
                            "idle:15;circuits:20").encode());
                    exchangeConnections.add(connection);
                }
            } catch (IOException e) {
                // The listener is closed.
                return;
            }
        }, "stand-in exchange");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Waits for the next connection to the exchange. */
    Wire<SipMessage> nextExchangeConnection() throws InterruptedException {
        Wire<SipMessage> next = exchangeConnections.poll(10, TimeUnit.SECONDS);
        assertNotNull(next, "no connection to the exchange");
        return next;
    }

    /** Connects as a caller. Retries refused connects for up to ten seconds, until the program is listening. */
    Wire<Map<?, ?>> connect() throws IOException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (true) {
            try {
                return new Wire<>(new Socket(InetAddress.getLoopbackAddress(), port), new LineDecoder());
            } catch (IOException e) {
                if (System.nanoTime() > deadline) {
                    throw e;
                }
            }
        }
    }

    @AfterEach
    void stop() throws IOException {
        process.destroyForcibly();
        exchangeListener.close();
        caller.close();
    }

    void offer(String id) throws IOException {
        caller.send("{\"op\":\"offer\",\"call\":\"" + id + "\",\"with\":{\"class\":\"plain\",\"left\":\"1500\","
                + "\"key\":\"00FF\",\"extras\":\"dest:1;width:1;via:-1\"},\"desc\":\"v=0\\r\\n\u00e9\\u00e9\"}\n");
    }

    SipMessage expectRequest(String method) throws IOException, InvalidInputException {
        SipMessage message = exchange.next();
        assertEquals(method, message.method());
        return message;
    }

    void answer(SipMessage invite, int status) throws IOException {
        exchange.send(SipMessage.response(status, "x").with("Call-ID", invite.callId()).with("CSeq", "1 INVITE")
                .withBody(new byte[] {'o', '=', 0x22, (byte) 0xc3, 0}).encode());
    }

    Map<?, ?> expectMessage(String op) throws IOException, InvalidInputException {
        Map<?, ?> message = caller.next();
        assertEquals(op, message.get("op"), message::toString);
        return message;
    }

    SipMessage bye(String id, int cause) {
        return SipMessage.request("BYE", "sip:x@net").with("Call-ID", id).with("CSeq", "1 BYE")
                .with("Reason", "Q.850;cause=" + cause);
    }

    void establishCall(String id) throws IOException, InvalidInputException {
        offer(id);
        answer(expectRequest("INVITE"), 200);
        expectRequest("ACK");
        expectMessage("accept");
    }
}
