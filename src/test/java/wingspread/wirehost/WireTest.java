package wingspread.wirehost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import wingspread.config.SettingsParser;
import wingspread.control.CallControl.Layout;
import wingspread.control.CallControl.Settings;

/** Tests the simulator's protocol in both directions with frames written as hex, and the errors for malformed input. */
class WireTest {
    private static final String CLOCK = "0000000000805c5a";
    private static final String CONTEXT = "0b00000003";
    private static final String SETTINGS = """
            unknown.path=1
            family-info.layout=network
            family-info.this-node=0
            family-info.release=500000
            limits.max-attempts=6
            limits.may-cancel=true
            obligations.stop-sending-within=250000
            services.count=1
            services.0.aim=1200000
            services.0.deadline=9000000
            services.0.effect=safe
            services.0.value=1.0
            """;
    private static final String LIST = "02" + "0000" + "00000001"
            + "0a124a071b5b" + "0000" + "00" + "0001" + "00" + "3f800000" + "0000000000000000";
    private static final String LIST_EVENT = "08" + "00000029" + "02" + "0000";
    /** A call to exchange 1 that needs one circuit and has 0x2dc6c0 microseconds (3 s) until its deadline. */
    private static final String CALL_EVENT = "05" + "000c6ff25d3a91c4" + "0000" + "00000000" + "00000000000000cd"
            + "002dc6c0" + "00000000" + "3f800000" + "3f800000" + "bf800000" + "00";

    private record Run(int code, String out, String err) { }

    private static String frame(String... records) {
        String body = CLOCK + String.join("", records);
        return String.format("%08x", 4 + body.length() / 2) + body;
    }

    private static String startEvent(String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return "09" + "000000000000002a" + String.format("%08x", text.length)
                + HexFormat.of().formatHex(text);
    }

    private static Run run(String hex) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = WireHost.run(new ByteArrayInputStream(HexFormat.of().parseHex(hex)), out,
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new Run(code, HexFormat.of().formatHex(out.toByteArray()),
                err.toString(StandardCharsets.UTF_8));
    }

    private static Run runFrames(String... frames) {
        return run(String.join("", frames));
    }

    private static void assertError(Run run, String expectedText) {
        assertEquals(1, run.code());
        assertTrue(run.err().contains(expectedText), run.err());
        assertEquals(1, run.err().lines().count());
    }

    @Test
    void answersEmptyBatchWithEmptyReply() {
        Run run = runFrames(frame());
        assertEquals("00000000" + "00000008", run.out());
        assertEquals(0, run.code());
    }

    @Test
    void exitsWithZeroAtEndOfInputBetweenFrames() {
        assertEquals(new Run(0, "", ""), runFrames());
    }

    @Test
    void startsSetUpAndTimerForCall() {
        Run run = runFrames(frame(CONTEXT, startEvent(SETTINGS), LIST, LIST_EVENT, CALL_EVENT));
        assertEquals("", run.err());
        assertEquals("00000003" + "0000002d" + "0c00000003"
                + "04" + "002d9fb0" + "000c6ff25d3a91c4"
                + "00" + "000c6ff25d3a91c4" + "0a124a071b5b" + "00124f80", run.out());
    }

    @Test
    void decodesAllFieldsOfOutcome() {
        String full = "01" + "000c6ff25d3a91c4" + "0000" + "00" + "0a124a071b5b" + "00004844" + "08" + "00000003"
                + "02" + "40a00000" + "42480000";
        Run run = runFrames(frame(CONTEXT, startEvent(SETTINGS), LIST, LIST_EVENT, CALL_EVENT), frame(CONTEXT, full));
        assertEquals("", run.err());
        assertTrue(run.out().endsWith("00000002" + "0000001a" + "0c00000003"
                + "01" + "000c6ff25d3a91c4" + "00000000"), run.out());
    }

    @Test
    void encodesEveryAction() throws Exception {
        ReplyWriter writer = new ReplyWriter();
        writer.fail(3, 5);
        writer.cancel(3, 5, 1);
        writer.probe(3, 0x0a124a071b5bL);
        writer.closeIdle(3, 0x0a124a071b5bL);
        writer.sendToPeer(4, 0xffff, "h i7".getBytes(StandardCharsets.UTF_8));
        writer.log(4, "two");
        writer.fault(4, "x");
        writer.subscribe(4, true);
        writer.fetchList(4);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.flushTo(out);
        assertEquals("0000000b" + "0000004a" + "0c00000003" + "020000000000000005" + "030000000000000005" + "0001"
                + "050a124a071b5b" + "060a124a071b5b" + "0c00000004" + "07ffff0004" + "68206937" + "08000374776f"
                + "09000178" + "0a01" + "0b", HexFormat.of().formatHex(out.toByteArray()));
    }

    @Test
    void readsSettingsAndIgnoresUnknownOnes() {
        Settings settings = SettingsParser.parse(SETTINGS + "balancers=4\nfamily-info.class-width=4\n").settings();
        assertEquals(Layout.NETWORK, settings.layout());
        assertEquals(4, settings.softswitches());
        assertEquals(4, settings.classes().get(0).width());
        assertTrue(settings.cancel());
        assertFalse(settings.probes());
        assertEquals(List.of(), settings.classes().get(0).pools());
    }

    @Test
    void namesMissingAndInvalidSettings() {
        assertError(runFrames(frame(CONTEXT, startEvent(SETTINGS.replace("services.0.aim", "x")))), "services.0.aim");
        assertError(runFrames(frame(CONTEXT, startEvent(SETTINGS.replace("=500000", "=soon")))), "family-info.release");
        assertError(runFrames(frame(CONTEXT, startEvent(SETTINGS.replace("network", "star")))), "family-info.layout");
    }

    @Test
    void reportsMalformedFrames() {
        assertError(runFrames(frame(CONTEXT, CALL_EVENT.substring(0, 20))), "category");
        assertError(runFrames(frame().substring(0, 10)), "inside a frame");
        assertError(runFrames("0000"), "length");
        assertError(runFrames("00000005" + "00"), "length of 5");
        assertError(runFrames(frame(CONTEXT, "63")), "unknown event code 99");
        assertError(runFrames(frame(CONTEXT, LIST_EVENT)), "unknown list 0");
        assertError(runFrames(frame("06")), "before any context");
    }

    @Test
    void ignoresEventsForRemovedInstance() {
        Run run = runFrames(frame(CONTEXT, startEvent(SETTINGS), LIST, LIST_EVENT, "06"), frame(CONTEXT, CALL_EVENT));
        assertEquals(0, run.code());
        assertEquals("00000000" + "00000008" + "00000000" + "00000008", run.out());
    }

    @Test
    void reportsExceptionOfCallControlAsFault() {
        String unknownClass = CALL_EVENT.replace("c4" + "0000", "c4" + "0009");
        Run run = runFrames(frame(CONTEXT, startEvent(SETTINGS), LIST, LIST_EVENT, unknownClass));
        assertEquals(0, run.code());
        assertTrue(run.out().startsWith("00000002"), run.out());
        assertTrue(run.out().contains("0c00000003" + "09"), run.out());
    }
}
