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

/** Softswitches at the other end of two streams do what those in this process do, or end with a reason. */
class HostTest {
    private static final int PIPE = 1 << 20;

    private static byte[] play(Softswitches softswitches) throws IOException {
        Streams streams = new Streams(8, 0);
        Scenario scenario = Scenario.named("crash-and-return").with("length = '25s'");
        return new ObjectMapper().writeValueAsBytes(
                new Model(scenario.day(streams), streams, streams, softswitches).play());
    }

    private static HostLoop host() {
        return new HostLoop("test", figures -> new LocalSoftswitches(PlannerController.with(figures)));
    }

    private static RemoteSoftswitches overPipes(ControlParameters figures) throws IOException {
        PipedInputStream toHost = new PipedInputStream(PIPE);
        PipedInputStream fromHost = new PipedInputStream(PIPE);
        OutputStream driverOut = new PipedOutputStream(toHost);
        OutputStream hostOut = new PipedOutputStream(fromHost);
        Thread thread = new Thread(() -> {
            try (hostOut) {
                host().run(toHost, hostOut);
            } catch (IOException e) {
                // The driver has gone; so does the host.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
        return new RemoteSoftswitches("pipes", figures, fromHost, driverOut, () -> {
            try {
                driverOut.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private static RemoteSoftswitches said(Object... items) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (Object item : items) {
            Wire.write(Wire.mapper(), bytes, item);
        }
        InputStream in = new ByteArrayInputStream(bytes.toByteArray());
        return new RemoteSoftswitches("stand-in", ControlParameters.DEFAULTS, in,
                new ByteArrayOutputStream(), () -> { });
    }

    @Test
    void itMakesNoDifferenceWhereTheyRun() throws IOException {
        try (RemoteSoftswitches remote = overPipes(ControlParameters.DEFAULTS)) {
            assertArrayEquals(play(new LocalSoftswitches(PlannerController.with(ControlParameters.DEFAULTS))),
                    play(remote));
        }
    }

    @Test
    void theFiguresGoAlong() throws IOException {
        ControlParameters narrow = new ControlParameters(Map.of("window-max", 2.0, "window-gain", 0.0));
        try (RemoteSoftswitches remote = overPipes(narrow)) {
            assertArrayEquals(play(new LocalSoftswitches(PlannerController.with(narrow))), play(remote));
        }
    }

    @Test
    void aUsualValueThatWasGivenGoesAlongToo() throws IOException {
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        InputStream in = new ByteArrayInputStream(bytes(new Wire.Hello("x", Wire.VERSION, "9.9"),
                new Wire.Answer(null, List.of())));
        new RemoteSoftswitches("stand-in", new ControlParameters(Map.of("tandems", 2.0)), in, sent, () -> { })
                .begin(0, List.of());
        assertEquals(new Wire.Begin(0, Map.of("tandems", 2.0), List.of()),
                Wire.mapper().readValue(sent.toByteArray(), Wire.Order.class));
    }

    @Test
    void anotherVersionOfTheInterfaceIsTurnedAway() {
        String why = assertThrows(HostException.class, () -> said(new Wire.Hello("x", 2, "9.9"))).getMessage();
        assertEquals("stand-in speaks version 2 of the lab's interface; 1 was expected", why);
    }

    @Test
    void whatIsNoHostIsTurnedAway() {
        assertTrue(assertThrows(HostException.class, () -> said()).getMessage().contains("no host"));
        assertTrue(assertThrows(HostException.class, () -> said("hello")).getMessage().contains("no host"));
    }

    @Test
    void aHostThatEndsInTheMiddleIsSaid() throws IOException {
        RemoteSoftswitches remote = said(new Wire.Hello("x", Wire.VERSION, "9.9"), new Wire.Answer(null, List.of()));
        remote.begin(0, List.of());
        String why = assertThrows(HostException.class, () -> remote.turn(1, List.of())).getMessage();
        assertTrue(why.contains("ended in the middle"), why);
    }

    @Test
    void whatTheHostCannotDoIsSaid() throws IOException {
        RemoteSoftswitches remote = said(new Wire.Hello("x", Wire.VERSION, "9.9"), new Wire.Answer("no such", null));
        assertEquals("stand-in: no such",
                assertThrows(HostException.class, () -> remote.begin(0, List.of())).getMessage());
    }

    private static List<Wire.Answer> served(byte[] orders) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        host().run(new ByteArrayInputStream(orders), out);
        var parser = Wire.reading(Wire.mapper(), new ByteArrayInputStream(out.toByteArray()));
        assertEquals(Wire.VERSION, parser.readValueAs(Wire.Hello.class).version());
        return Wire.mapper().readerFor(Wire.Answer.class).<Wire.Answer>readValues(parser).readAll();
    }

    private static byte[] bytes(Object... items) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Object item : items) {
            Wire.write(Wire.mapper(), out, item);
        }
        return out.toByteArray();
    }

    @Test
    void fieldsOfALaterVersionAreSkipped() throws IOException {
        Map<String, Object> later = Map.of("is", "begin", "now", 5, "starts", List.of(), "mood", "good");
        List<Wire.Answer> answers = served(bytes(later, Map.of("is", "turn", "now", 6, "pace", 3)));
        assertEquals(List.of(new Wire.Answer(null, List.of()), new Wire.Answer(null, List.of())), answers);
    }

    @Test
    void unknownFiguresAndPlacesAreAnsweredWithAReason() throws IOException {
        List<Wire.Answer> answers = served(bytes(new Wire.Begin(0, Map.of("nope", 1.0), List.of()),
                new Wire.Turn(1, List.of(new Softswitches.Input(3, List.of())))));
        assertTrue(answers.get(0).error().contains("nope"));
        assertTrue(answers.get(1).error().contains("not begun"));
        answers = served(bytes(Map.of("is", "begin", "starts", Arrays.asList((Object) null)),
                Map.of("is", "turn", "inputs", Arrays.asList((Object) null))));
        assertTrue(answers.get(0).error().contains("without settings"));
        assertTrue(answers.get(1).error().contains("not begun"));
    }

    @Property(tries = 500, seed = "51")
    void spoiltOrdersEndTheHostAndNothingElse(@ForAll long seed) throws IOException {
        byte[] valid = bytes(new Wire.Begin(0, Map.of(), List.of()),
                new Wire.Turn(1, List.of(new Softswitches.Input(0, List.of(new Happening.CallerAbandoned("00"))))));
        assertTrue(servesOrTurnsAway(Fuzz.spoil(valid, seed)));
    }

    private static boolean servesOrTurnsAway(byte[] orders) {
        try {
            host().run(new ByteArrayInputStream(orders), new ByteArrayOutputStream());
            return true;
        } catch (IOException e) {
            return e.getMessage() != null;
        }
    }
}
