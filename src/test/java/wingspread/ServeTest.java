package wingspread;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wingspread.json.LineDecoder;
import wingspread.net.InvalidInputException;
import wingspread.sip.SipDecoder;
import wingspread.sip.SipMessage;
import wingspread.record.Recording;
import wingspread.testing.Wire;

/** The whole program in a process of its own, between a stand-in caller and a stand-in exchange on the loopback. */
class ServeTest {
    private static final String SETTINGS = """
            {"az":0,"balancers":3,"rank":0,"discovery":"automatic","zones":["here"],"kinds":["std"],
             "family-info":{"layout":"network","this-node":0,"release":200000,"class-width":[1],"holding":[9000000]},
             "limits":{"max-attempts":6,"may-cancel":true,"connect-timeout":500000,"retry-after":true,
                       "max-retry-after":2000000},
             "obligations":{"stop-sending-within":500000,"cold":14000000,"cold-share":0.3,"fall":1000000,
                            "fall-multiple":2.0,"grace-to-answer":20000},
             "services":[{"name":"plain","aim":1500000,"deadline":9000000,"effect":"safe","group":"all","value":1.0}],
             "telemetry":{"fields":["idle","circuits","backlog","max_rate"],"via":"piggyback"}}""";
    private static final String ID = "9b1f03aa5c7e2d41";

    @TempDir
    Path folder;

    private final BlockingQueue<Wire<SipMessage>> accepted = new LinkedBlockingQueue<>();
    private ServerSocket exchangeListener;
    private Wire<SipMessage> exchange;
    private Wire<Map<?, ?>> caller;
    private Process process;
    private int port;
    private Path config;

    @BeforeEach
    void start() throws Exception {
        exchangeListener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        greetAll();
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        config = folder.resolve("config.json");
        configure("127.0.0.1:1");
        process = serve(config.toString());
        exchange = accept();
        caller = connect();
        asksUntil(caller, 1);
    }

    /** Writes the configuration, in which the directory has this address. */
    private void configure(String names) throws IOException {
        Files.writeString(config, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\","
                + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":64},\"settings\":" + SETTINGS
                + ",\"known\":{\"rev\":1,\"notices\":[{\"rev\":1,\"pool\":{\"all\":true,\"targets\":["
                + "{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:" + exchangeListener.getLocalPort() + "\","
                + "\"az\":\"here\",\"model\":\"std\",\"pod_group\":1,\"state\":\"up\",\"capacity_hint\":1,"
                + "\"boot_ms\":0}]}}]},\"names\":\"" + names + "\"}");
    }

    /** Tests the program until the test says this; the wire's patience bounds each one. */
    private static void asksUntil(Wire<Map<?, ?>> wire, int wanted) throws IOException, InvalidInputException {
        do {
            wire.send("{\"op\":\"test\",\"call\":\"0000000000000001\",\"with\":{},\"why\":0}\n");
        } while (((Double) wire.next().get("why")).intValue() != wanted);
    }

    private Process serve(String config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"), "wingspread.Main", "serve");
        builder.environment().put("LB_CONFIG", config);
        builder.directory(folder.toFile());
        return builder.redirectErrorStream(true).start();
    }

    /** Accepts and greets all connections to the exchange, as exchanges do, until the listener is closed. */
    private void greetAll() {
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    Wire<SipMessage> connection = new Wire<>(exchangeListener.accept(), new SipDecoder());
                    connection.send(SipMessage.request("NOTIFY", "sip:group@net").with("X-Gauges",
                            "idle:15;circuits:20").encode());
                    accepted.add(connection);
                }
            } catch (IOException e) {
                // The listener is closed: the exchange takes no more connections.
                return;
            }
        }, "stand-in exchange");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** The next connection to the exchange. */
    private Wire<SipMessage> accept() throws InterruptedException {
        Wire<SipMessage> next = accepted.poll(10, TimeUnit.SECONDS);
        assertNotNull(next, "no connection to the exchange");
        return next;
    }

    /** Tries until the program listens; each refused connect is one try, ten seconds' worth at the most. */
    private Wire<Map<?, ?>> connect() throws IOException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (true) {
            try {
                return new Wire<>(new Socket(InetAddress.getLoopbackAddress(), port), new LineDecoder());
            } catch (IOException e) {
                if (System.nanoTime() > until) {
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

    private void offer(String id) throws IOException {
        caller.send("{\"op\":\"offer\",\"call\":\"" + id + "\",\"with\":{\"class\":\"plain\",\"left\":\"1500\","
                + "\"key\":\"00FF\",\"extras\":\"dest:1;width:1;via:-1\"},\"desc\":\"v=0\\r\\n\u00e9\\u00e9\"}\n");
    }

    private SipMessage heard(String method) throws IOException, InvalidInputException {
        SipMessage message = exchange.next();
        assertEquals(method, message.method());
        return message;
    }

    private void answer(SipMessage invite, int status) throws IOException {
        exchange.send(SipMessage.response(status, "x").with("Call-ID", invite.callId()).with("CSeq", "1 INVITE")
                .withBody(new byte[] {'o', '=', 0x22, (byte) 0xc3, 0}).encode());
    }

    private Map<?, ?> told(String op) throws IOException, InvalidInputException {
        Map<?, ?> message = caller.next();
        assertEquals(op, message.get("op"), message::toString);
        return message;
    }

    private SipMessage bye(String id, int cause) {
        return SipMessage.request("BYE", "sip:x@net").with("Call-ID", id).with("CSeq", "1 BYE")
                .with("Reason", "Q.850;cause=" + cause);
    }

    private void stands(String id) throws IOException, InvalidInputException {
        offer(id);
        answer(heard("INVITE"), 200);
        heard("ACK");
        told("accept");
    }

    @Test
    void aCallPassesThroughByteForByteAndIsReleased() throws Exception {
        offer(ID);
        SipMessage invite = heard("INVITE");
        assertEquals("sip:00FF@net", invite.uri());
        assertEquals(ID, invite.callId());
        assertEquals("plain", invite.header("X-Tier"));
        assertTrue(SipMessage.number(invite.header("X-Deadline")) <= 1_500);
        assertArrayEquals(new byte[] {'v', '=', '0', '\r', '\n', (byte) 0xe9, (byte) 0xc3, (byte) 0xa9}, invite.body());
        answer(invite, 200);
        heard("ACK");
        assertEquals("o=\"\u00c3\0", told("accept").get("desc"));
        exchange.send(bye(ID, 16).encode());
        assertEquals(200, exchange.next().status());
        assertEquals(16.0, told("end").get("why"));
    }

    @Test
    void aSuccessThatCrossesTheCancelIsAcknowledgedAndReleased() throws Exception {
        offer(ID);
        SipMessage invite = heard("INVITE");
        caller.send("{\"op\":\"end\",\"call\":\"" + ID + "\",\"with\":{},\"why\":16}\n");
        heard("CANCEL");
        assertEquals(16.0, told("end").get("why"));
        answer(invite, 200);
        heard("ACK");
        assertEquals(ID, heard("BYE").callId());
    }

    @Test
    void aStandingCallOutlivesItsConnectionsOnBothSides() throws Exception {
        stands(ID);
        caller.close();
        caller = connect();
        exchange.close();
        exchange = accept();
        offer("b".repeat(16));
        heard("INVITE");
        exchange.send(bye(ID, 16).encode());
        assertEquals(ID, told("end").get("call"));
    }

    @Test
    void aLostConnectionGivesUpAllSetUpsOpenOnIt() throws Exception {
        offer("a".repeat(16));
        offer("b".repeat(16));
        heard("INVITE");
        heard("INVITE");
        exchangeListener.close();
        exchange.reset();
        assertEquals(42.0, told("end").get("why"));
        assertEquals(42.0, told("end").get("why"));
    }

    @Test
    void aDeadProcessCutsItsStandingCalls() throws Exception {
        stands(ID);
        exchangeListener.close();
        exchange.reset();
        assertEquals(41.0, told("end").get("why"));
    }

    @Test
    void anIdThatIsOpenIsTurnedAwayAndItsCallGoesOn() throws Exception {
        stands(ID);
        Wire<Map<?, ?>> usual = caller;
        try (Wire<Map<?, ?>> rude = connect()) {
            caller = rude;
            offer(ID);
            assertEquals(41.0, told("end").get("why"));
            offer("b".repeat(16));
            assertEquals("b".repeat(16), heard("INVITE").callId());
            offer("b".repeat(16));
            assertTrue(rude.closed());
        }
        assertEquals("b".repeat(16), heard("CANCEL").callId());
        caller = usual;
        exchange.send(bye(ID, 16).encode());
        assertEquals(200, exchange.next().status());
        assertEquals(ID, told("end").get("call"));
    }

    @Test
    void badInputEndsItsConnectionAndNothingElse() throws Exception {
        for (String bad : List.of("nonsense\n", "{\"op\":\"unheard-of\",\"call\":\"1\"}\n", "x".repeat(17_000))) {
            try (Wire<Map<?, ?>> rude = connect()) {
                rude.send(bad);
                assertTrue(rude.closed());
            }
        }
        caller.send("{\"op\":\"offer\",\"call\":\"" + "c".repeat(16) + "\",\"with\":{}}\n");
        assertEquals(100.0, told("end").get("why"));
        for (String extras : List.of("dest:NaN;width:1", "dest:1;width:-1", "width:1")) {
            caller.send("{\"op\":\"offer\",\"call\":\"" + "e".repeat(16) + "\",\"with\":{\"class\":\"plain\","
                    + "\"left\":\"1500\",\"extras\":\"" + extras + "\"},\"desc\":\"\"}\n");
            assertEquals(100.0, told("end").get("why"));
        }
        caller.send("{\"op\":\"end\",\"call\":\"unknown\",\"with\":{},\"why\":16}\n");
        exchange.send("SIP/2.0 nonsense\r\n\r\n");
        exchange = accept();
        stands(ID);
    }

    private void hangUp() throws Exception {
        Process kill = new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
        assertEquals(0, kill.waitFor());
    }

    @Test
    void aReloadMovesTheDirectoryAndAnUnreadableFileMovesNothing() throws Exception {
        stands(ID);
        try (DatagramSocket directory = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            directory.setSoTimeout(10_000);
            configure("127.0.0.1:" + directory.getLocalPort());
            hangUp();
            directory.receive(new DatagramPacket(new byte[512], 512));
            Files.writeString(config, "{\"name\":");
            hangUp();
            directory.receive(new DatagramPacket(new byte[512], 512));
        }
        exchange.send(bye(ID, 16).encode());
        assertEquals(200, exchange.next().status());
        assertEquals(ID, told("end").get("call"));
        stands("f".repeat(16));
        process.toHandle().destroy();
        assertTrue(new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .contains("the old settings stay: " + config));
    }

    @Test
    void sigtermFinishesAndTheNextProgramTellsOfTheCallsThatStandOn() throws Exception {
        stands(ID);
        offer("d".repeat(16));
        SipMessage invite = heard("INVITE");
        process.toHandle().destroy();
        try (Wire<Map<?, ?>> late = connect()) {
            asksUntil(late, 0);
        }
        answer(invite, 200);
        heard("ACK");
        told("accept");
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertTrue(exchange.closed());
        assertTrue(caller.closed());
        assertEquals(0, process.exitValue());
        assertTrue(new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .contains("answered.stood=2"));
        // What the one before has opened last.
        accepted.clear();
        process = serve(config.toString());
        exchange = accept();
        exchange.send(bye(ID, 16).encode());
        assertEquals(200, exchange.next().status());
        caller = connect();
        offer("e".repeat(16));
        assertEquals(ID, told("end").get("call"));
    }

    /** A release of a call from before a restart goes to a caller that is just closing: another one is told. */
    @Test
    void aReleaseThatCrossesTheCloseOfAnothersConnectionIsToldAgain() throws Exception {
        offer("a".repeat(16));
        answer(heard("INVITE"), 503);
        heard("ACK");
        told("end");
        try (Wire<Map<?, ?>> leaving = connect()) {
            Wire<Map<?, ?>> staying = caller;
            caller = leaving;
            offer("b".repeat(16));
            answer(heard("INVITE"), 503);
            heard("ACK");
            told("end");
            exchange.send(bye(ID, 16).encode());
            assertEquals(200, exchange.next().status());
            assertEquals(ID, told("end").get("call"));
            leaving.reset();
            caller = staying;
        }
        assertEquals(ID, told("end").get("call"));
    }

    @Test
    void afterSigtermACallIsAnsweredBeforeSigkillWhateverTimeItsCallerLeaves() throws Exception {
        process.toHandle().destroy();
        try (Wire<Map<?, ?>> late = connect()) {
            asksUntil(late, 0);
        }
        // Neither a second SIGTERM nor a reload changes what is owed, nor does a call that comes in pieces.
        process.toHandle().destroy();
        hangUp();
        caller.send("{\"op\":\"offer\",\"call\":\"" + ID + "\",\"with\":{\"class\":\"plain\",");
        caller.send("\"left\":\"60000\",\"key\":\"00FF\",\"extras\":\"dest:1;width:1;via:2;transit:1\"},"
                + "\"desc\":\"\"}\n");
        heard("INVITE");
        assertEquals(ID, told("end").get("call"));
        assertTrue(caller.closed());
        assertEquals(ID, heard("CANCEL").callId());
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /** Says something on each connection to the exchange that is still there. */
    private void sayOnAll(SipMessage message) throws IOException {
        List<Wire<SipMessage>> connections = new ArrayList<>(accepted);
        connections.add(exchange);
        int said = 0;
        for (Wire<SipMessage> connection : connections) {
            try {
                connection.send(message.encode());
                said++;
            } catch (SocketException e) {
                // The program has closed this one.
                continue;
            }
        }
        assertTrue(said > 0, "no connection to the exchange is left");
    }

    @Test
    void aConnectionWhoseCallStandsStaysOverTheDrainUntilTheEndIsToldAndTakesNoNewCall() throws Exception {
        stands(ID);
        try (Wire<Map<?, ?>> unused = connect()) {
            asksUntil(unused, 1);
            process.toHandle().destroy();
            assertTrue(unused.closed());
        }
        offer("b".repeat(16));
        Map<?, ?> refusal = told("end");
        assertEquals("b".repeat(16), refusal.get("call"));
        assertEquals(42.0, refusal.get("why"));
        sayOnAll(bye(ID, 16));
        assertEquals(ID, told("end").get("call"));
        assertTrue(caller.closed());
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    @Test
    void callsAreRecordedWhereTheFileUnderDeploySaysSo() throws Exception {
        process.destroyForcibly().waitFor();
        Files.createDirectory(folder.resolve("deploy"));
        Files.writeString(folder.resolve("deploy/record.toml"), Files.readString(Path.of("deploy/record.toml"))
                .replace("enabled = false", "enabled = true"));
        accepted.clear();
        process = serve(config.toString());
        exchange = accept();
        caller = connect();
        asksUntil(caller, 1);
        offer(ID);
        answer(heard("INVITE"), 503);
        heard("ACK");
        told("end");
        process.destroy();
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        try (Stream<Path> files = Files.list(folder)) {
            Path file = files.filter(f -> f.getFileName().toString().startsWith("traffic.0.")).findFirst()
                    .orElseThrow();
            Recording found = Recording.read(file);
            assertNull(found.fault());
            assertEquals(List.of("plain"), found.classes());
            assertEquals(1, found.calls().size());
            assertEquals(1, found.calls().get(0).destination());
        }
    }

    @Test
    void aBadConfigurationIsOneLineAndANonZeroExit() throws Exception {
        Path bad = folder.resolve("bad.json");
        Files.writeString(bad, "{\"name\":");
        Process failing = serve(bad.toString());
        try (BufferedReader out = new BufferedReader(new InputStreamReader(failing.getInputStream(),
                StandardCharsets.UTF_8))) {
            List<String> lines = out.lines().toList();
            assertEquals(1, lines.size(), lines::toString);
            assertTrue(lines.get(0).contains("bad.json"), lines::toString);
        }
        assertTrue(failing.waitFor(10, TimeUnit.SECONDS));
        assertEquals(2, failing.exitValue());
    }
}
