package wingspread;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import wingspread.record.Recording;
import wingspread.sip.SipMessage;
import wingspread.testing.Wire;

/** Runs the program in a separate process, between a stand-in caller and a stand-in exchange on the loopback. */
class ServeTest extends ServeFixture {
    @Test
    void forwardsCallByteForByteAndReleasesIt() throws Exception {
        offer(CALL_ID);
        SipMessage invite = expectRequest("INVITE");
        assertEquals("sip:00FF@net", invite.uri());
        assertEquals(CALL_ID, invite.callId());
        assertEquals("plain", invite.header("X-Tier"));
        assertTrue(SipMessage.number(invite.header("X-Deadline")) <= 1_500);
        assertArrayEquals(new byte[] {'v', '=', '0', '\r', '\n', (byte) 0xe9, (byte) 0xc3, (byte) 0xa9}, invite.body());
        answer(invite, 200);
        expectRequest("ACK");
        assertEquals("o=\"\u00c3\0", expectMessage("accept").get("desc"));
        exchange.send(bye(CALL_ID, 16).encode());
        assertEquals(200, exchange.next().status());
        assertEquals(16.0, expectMessage("end").get("why"));
    }

    @Test
    void acknowledgesAndReleasesSuccessThatCrossesCancel() throws Exception {
        offer(CALL_ID);
        SipMessage invite = expectRequest("INVITE");
        caller.send("{\"op\":\"end\",\"call\":\"" + CALL_ID + "\",\"with\":{},\"why\":16}\n");
        expectRequest("CANCEL");
        assertEquals(16.0, expectMessage("end").get("why"));
        answer(invite, 200);
        expectRequest("ACK");
        assertEquals(CALL_ID, expectRequest("BYE").callId());
    }

    @Test
    void establishedCallSurvivesLossOfConnectionsOnBothSides() throws Exception {
        establishCall(CALL_ID);
        caller.close();
        caller = connect();
        exchange.close();
        exchange = nextExchangeConnection();
        offer("b".repeat(16));
        expectRequest("INVITE");
        exchange.send(bye(CALL_ID, 16).encode());
        assertEquals(CALL_ID, expectMessage("end").get("call"));
    }

    @Test
    void failsAllPendingSetUpsOfLostExchangeConnection() throws Exception {
        offer("a".repeat(16));
        offer("b".repeat(16));
        expectRequest("INVITE");
        expectRequest("INVITE");
        exchangeListener.close();
        exchange.reset();
        assertEquals(42.0, expectMessage("end").get("why"));
        assertEquals(42.0, expectMessage("end").get("why"));
    }

    @Test
    void releasesEstablishedCallsOfCrashedExchange() throws Exception {
        establishCall(CALL_ID);
        exchangeListener.close();
        exchange.reset();
        assertEquals(41.0, expectMessage("end").get("why"));
    }

    @Test
    void rejectsDuplicateCallIdAndKeepsOriginalCall() throws Exception {
        establishCall(CALL_ID);
        Wire<Map<?, ?>> originalCaller = caller;
        try (Wire<Map<?, ?>> misbehavingCaller = connect()) {
            caller = misbehavingCaller;
            offer(CALL_ID);
            assertEquals(41.0, expectMessage("end").get("why"));
            offer("b".repeat(16));
            assertEquals("b".repeat(16), expectRequest("INVITE").callId());
            offer("b".repeat(16));
            assertTrue(misbehavingCaller.awaitClose());
        }
        assertEquals("b".repeat(16), expectRequest("CANCEL").callId());
        caller = originalCaller;
        exchange.send(bye(CALL_ID, 16).encode());
        assertEquals(200, exchange.next().status());
        assertEquals(CALL_ID, expectMessage("end").get("call"));
    }

    @Test
    void closesOnlyTheConnectionThatSentInvalidInput() throws Exception {
        for (String malformed : List.of(
                "nonsense\n", "{\"op\":\"unheard-of\",\"call\":\"1\"}\n", "x".repeat(17_000))) {
            try (Wire<Map<?, ?>> misbehavingCaller = connect()) {
                misbehavingCaller.send(malformed);
                assertTrue(misbehavingCaller.awaitClose());
            }
        }
        caller.send("{\"op\":\"offer\",\"call\":\"" + "c".repeat(16) + "\",\"with\":{}}\n");
        assertEquals(100.0, expectMessage("end").get("why"));
        for (String extras : List.of("dest:NaN;width:1", "dest:1;width:-1", "width:1")) {
            caller.send("{\"op\":\"offer\",\"call\":\"" + "e".repeat(16) + "\",\"with\":{\"class\":\"plain\","
                    + "\"left\":\"1500\",\"extras\":\"" + extras + "\"},\"desc\":\"\"}\n");
            assertEquals(100.0, expectMessage("end").get("why"));
        }
        caller.send("{\"op\":\"end\",\"call\":\"unknown\",\"with\":{},\"why\":16}\n");
        exchange.send("SIP/2.0 nonsense\r\n\r\n");
        exchange = nextExchangeConnection();
        establishCall(CALL_ID);
    }

    private void sendSighup() throws Exception {
        Process kill = new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
        assertEquals(0, kill.waitFor());
    }

    @Test
    void reloadSwitchesDirectoryServerAndIgnoresInvalidFile() throws Exception {
        establishCall(CALL_ID);
        try (DatagramSocket directory = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            directory.setSoTimeout(10_000);
            configure("127.0.0.1:" + directory.getLocalPort());
            sendSighup();
            directory.receive(new DatagramPacket(new byte[512], 512));
            Files.writeString(config, "{\"name\":");
            sendSighup();
            directory.receive(new DatagramPacket(new byte[512], 512));
        }
        exchange.send(bye(CALL_ID, 16).encode());
        assertEquals(200, exchange.next().status());
        assertEquals(CALL_ID, expectMessage("end").get("call"));
        establishCall("f".repeat(16));
        process.toHandle().destroy();
        assertTrue(new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .contains("the old settings stay: " + config));
    }

    @Test
    void restartedProcessReportsReleaseOfCallEstablishedBeforeSigterm() throws Exception {
        establishCall(CALL_ID);
        offer("d".repeat(16));
        SipMessage invite = expectRequest("INVITE");
        process.toHandle().destroy();
        try (Wire<Map<?, ?>> lateCaller = connect()) {
            awaitTestResult(lateCaller, 0);
        }
        answer(invite, 200);
        expectRequest("ACK");
        expectMessage("accept");
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertTrue(exchange.awaitClose());
        assertTrue(caller.awaitClose());
        assertEquals(0, process.exitValue());
        assertTrue(new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .contains("answered.stood=2"));
        // Discards connections that the previous process opened last.
        exchangeConnections.clear();
        process = serve(config.toString());
        exchange = nextExchangeConnection();
        exchange.send(bye(CALL_ID, 16).encode());
        assertEquals(200, exchange.next().status());
        caller = connect();
        offer("e".repeat(16));
        assertEquals(CALL_ID, expectMessage("end").get("call"));
    }

    /**
     * The release of a call from before a restart is sent to any connected caller. If that caller closes its connection
     * at the same time, the release has to be sent again to another one.
     */
    @Test
    void repeatsReleaseToAnotherCallerIfFirstOneCloses() throws Exception {
        offer("a".repeat(16));
        answer(expectRequest("INVITE"), 503);
        expectRequest("ACK");
        expectMessage("end");
        try (Wire<Map<?, ?>> leaving = connect()) {
            Wire<Map<?, ?>> staying = caller;
            caller = leaving;
            offer("b".repeat(16));
            answer(expectRequest("INVITE"), 503);
            expectRequest("ACK");
            expectMessage("end");
            exchange.send(bye(CALL_ID, 16).encode());
            assertEquals(200, exchange.next().status());
            assertEquals(CALL_ID, expectMessage("end").get("call"));
            leaving.reset();
            caller = staying;
        }
        assertEquals(CALL_ID, expectMessage("end").get("call"));
    }

    @Test
    void answersCallAfterSigtermBeforeSigkillWhateverItsDeadline() throws Exception {
        process.toHandle().destroy();
        try (Wire<Map<?, ?>> lateCaller = connect()) {
            awaitTestResult(lateCaller, 0);
        }
        // Neither a second SIGTERM, nor a reload, nor a call that arrives in two segments changes the pending answer.
        process.toHandle().destroy();
        sendSighup();
        caller.send("{\"op\":\"offer\",\"call\":\"" + CALL_ID + "\",\"with\":{\"class\":\"plain\",");
        caller.send("\"left\":\"60000\",\"key\":\"00FF\",\"extras\":\"dest:1;width:1;via:2;transit:1\"},"
                + "\"desc\":\"\"}\n");
        expectRequest("INVITE");
        assertEquals(CALL_ID, expectMessage("end").get("call"));
        assertTrue(caller.awaitClose());
        assertEquals(CALL_ID, expectRequest("CANCEL").callId());
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /** Sends a message on each connection to the exchange that is still open. */
    private void sendOnAllConnections(SipMessage message) throws IOException {
        List<Wire<SipMessage>> connections = new ArrayList<>(exchangeConnections);
        connections.add(exchange);
        int sent = 0;
        for (Wire<SipMessage> connection : connections) {
            try {
                connection.send(message.encode());
                sent++;
            } catch (SocketException e) {
                // The program has closed this connection.
                continue;
            }
        }
        assertTrue(sent > 0, "no connection to the exchange is left");
    }

    @Test
    void keepsConnectionOfEstablishedCallDuringDrainAndRefusesNewCalls() throws Exception {
        establishCall(CALL_ID);
        try (Wire<Map<?, ?>> unused = connect()) {
            awaitTestResult(unused, 1);
            process.toHandle().destroy();
            assertTrue(unused.awaitClose());
        }
        offer("b".repeat(16));
        Map<?, ?> refusal = expectMessage("end");
        assertEquals("b".repeat(16), refusal.get("call"));
        assertEquals(42.0, refusal.get("why"));
        sendOnAllConnections(bye(CALL_ID, 16));
        assertEquals(CALL_ID, expectMessage("end").get("call"));
        assertTrue(caller.awaitClose());
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    @Test
    void recordsCallsIfEnabledByDeployFile() throws Exception {
        process.destroyForcibly().waitFor();
        Files.createDirectory(folder.resolve("deploy"));
        Files.writeString(folder.resolve("deploy/record.toml"), Files.readString(Path.of("deploy/record.toml"))
                .replace("enabled = false", "enabled = true"));
        exchangeConnections.clear();
        process = serve(config.toString());
        exchange = nextExchangeConnection();
        caller = connect();
        awaitTestResult(caller, 1);
        offer(CALL_ID);
        answer(expectRequest("INVITE"), 503);
        expectRequest("ACK");
        expectMessage("end");
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
    void reportsInvalidConfigurationInOneLineAndExitsNonZero() throws Exception {
        Path malformed = folder.resolve("bad.json");
        Files.writeString(malformed, "{\"name\":");
        Process failing = serve(malformed.toString());
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
