package wingspread.lab.host;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import wingspread.control.ControlParameters;
import wingspread.lab.scenario.Scenario;
import wingspread.lab.sim.Streams;
import wingspread.lab.world.Model;
import wingspread.testing.Fuzz;

/** Remote softswitches behave like local ones; faults of the host or of its driver are reported with a reason. */
class HostTest {
    private static final int PIPE_BYTES = 1 << 20;

    private static byte[] runModel(Softswitches softswitches) throws IOException {
        Streams streams = new Streams(8, 0);
        Scenario scenario = Scenario.named("crash-and-return").with("length = '25s'");
        return new ObjectMapper().writeValueAsBytes(
                new Model(scenario.day(streams), streams, streams, softswitches).run());
    }

    private static HostLoop host() {
        return new HostLoop("test", parameters -> new LocalSoftswitches(PlannerController.factory(parameters)));
    }

    private static RemoteSoftswitches connectOverPipes(ControlParameters parameters) throws IOException {
        PipedInputStream toHost = new PipedInputStream(PIPE_BYTES);
        PipedInputStream fromHost = new PipedInputStream(PIPE_BYTES);
        OutputStream driverOut = new PipedOutputStream(toHost);
        OutputStream hostOut = new PipedOutputStream(fromHost);
        Thread thread = new Thread(() -> {
            try (hostOut) {
                host().run(toHost, hostOut);
            } catch (IOException e) {
                // The driver closed the connection, so the host ends.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
        return new RemoteSoftswitches("pipes", parameters, fromHost, driverOut, () -> {
            try {
                driverOut.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private static RemoteSoftswitches connectToHostThatSends(Object... items) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (Object item : items) {
            Wire.write(Wire.mapper(), bytes, item);
        }
        InputStream in = new ByteArrayInputStream(bytes.toByteArray());
        return new RemoteSoftswitches("stand-in", ControlParameters.DEFAULTS, in,
                new ByteArrayOutputStream(), () -> { });
    }

    @Test
    void remoteSoftswitchesBehaveLikeLocalOnes() throws IOException {
        try (RemoteSoftswitches remote = connectOverPipes(ControlParameters.DEFAULTS)) {
            assertArrayEquals(runModel(new LocalSoftswitches(PlannerController.factory(ControlParameters.DEFAULTS))),
                    runModel(remote));
        }
    }

    @Test
    void sendsParametersToHost() throws IOException {
        ControlParameters smallWindow = new ControlParameters(Map.of("window-max", 2.0, "window-gain", 0.0));
        try (RemoteSoftswitches remote = connectOverPipes(smallWindow)) {
            assertArrayEquals(runModel(new LocalSoftswitches(PlannerController.factory(smallWindow))),
                    runModel(remote));
        }
    }

    @Test
    void sendsOverrideEqualToDefault() throws IOException {
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        InputStream in = new ByteArrayInputStream(bytes(new Wire.Hello("x", Wire.VERSION, "9.9"),
                new Wire.Reply(null, List.of())));
        new RemoteSoftswitches("stand-in", new ControlParameters(Map.of("tandems", 2.0)), in, sent, () -> { })
                .begin(0, List.of());
        assertEquals(new Wire.Begin(0, Map.of("tandems", 2.0), List.of()),
                Wire.mapper().readValue(sent.toByteArray(), Wire.Command.class));
    }

    @Test
    void rejectsOtherInterfaceVersion() {
        String message = assertThrows(HostException.class,
                () -> connectToHostThatSends(new Wire.Hello("x", 2, "9.9"))).getMessage();
        assertEquals("stand-in uses version 2 of the lab's interface; 1 was expected", message);
    }

    @Test
    void rejectsPeerThatIsNotAHost() {
        assertTrue(assertThrows(HostException.class, () -> connectToHostThatSends()).getMessage()
                .contains("not a softswitch host"));
        assertTrue(assertThrows(HostException.class, () -> connectToHostThatSends("hello")).getMessage()
                .contains("not a softswitch host"));
    }

    @Test
    void reportsHostThatEndsDuringRun() throws IOException {
        RemoteSoftswitches remote = connectToHostThatSends(new Wire.Hello("x", Wire.VERSION, "9.9"),
                new Wire.Reply(null, List.of()));
        remote.begin(0, List.of());
        String message = assertThrows(HostException.class, () -> remote.turn(1, List.of())).getMessage();
        assertTrue(message.contains("ended during a run"), message);
    }

    @Test
    void reportsErrorFromHost() throws IOException {
        RemoteSoftswitches remote = connectToHostThatSends(new Wire.Hello("x", Wire.VERSION, "9.9"),
                new Wire.Reply("no such", null));
        assertEquals("stand-in: no such",
                assertThrows(HostException.class, () -> remote.begin(0, List.of())).getMessage());
    }

    private static List<Wire.Reply> repliesTo(byte[] commands) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        host().run(new ByteArrayInputStream(commands), out);
        var parser = Wire.newParser(Wire.mapper(), new ByteArrayInputStream(out.toByteArray()));
        assertEquals(Wire.VERSION, parser.readValueAs(Wire.Hello.class).version());
        return Wire.mapper().readerFor(Wire.Reply.class).<Wire.Reply>readValues(parser).readAll();
    }

    private static byte[] bytes(Object... items) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Object item : items) {
            Wire.write(Wire.mapper(), out, item);
        }
        return out.toByteArray();
    }

    @Test
    void ignoresFieldsOfLaterVersion() throws IOException {
        Map<String, Object> laterVersion = Map.of("is", "begin", "now", 5, "starts", List.of(), "mood", "good");
        List<Wire.Reply> replies = repliesTo(bytes(laterVersion, Map.of("is", "turn", "now", 6, "pace", 3)));
        assertEquals(List.of(new Wire.Reply(null, List.of()), new Wire.Reply(null, List.of())), replies);
    }

    @Test
    void rejectsUnknownParametersAndPlaces() throws IOException {
        List<Wire.Reply> replies = repliesTo(bytes(new Wire.Begin(0, Map.of("nope", 1.0), List.of()),
                new Wire.Turn(1, List.of(new Softswitches.Input(3, List.of())))));
        assertTrue(replies.get(0).error().contains("nope"));
        assertTrue(replies.get(1).error().contains("not begun"));
        replies = repliesTo(bytes(Map.of("is", "begin", "starts", Arrays.asList((Object) null)),
                Map.of("is", "turn", "inputs", Arrays.asList((Object) null))));
        assertTrue(replies.get(0).error().contains("without settings"));
        assertTrue(replies.get(1).error().contains("not begun"));
    }

    @Property(tries = 500, seed = "51")
    void malformedCommandsAreServedOrFailWithIoException(@ForAll long seed) throws IOException {
        byte[] valid = bytes(new Wire.Begin(0, Map.of(), List.of()),
                new Wire.Turn(1, List.of(
                        new Softswitches.Input(0, List.of(new SoftswitchEvent.CallerAbandoned("00"))))));
        assertTrue(servesOrFailsWithMessage(Fuzz.mutate(valid, seed)));
    }

    private static boolean servesOrFailsWithMessage(byte[] commands) {
        try {
            host().run(new ByteArrayInputStream(commands), new ByteArrayOutputStream());
            return true;
        } catch (IOException e) {
            return e.getMessage() != null;
        }
    }
}
