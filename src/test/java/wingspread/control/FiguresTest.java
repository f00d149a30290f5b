package wingspread.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import wingspread.control.NamedFigures.Figure;

/** Tests that the parameters are checked as a whole and rejected with a message that names the invalid one. */
class FiguresTest {
    private static String rejectionMessage(String name, double value) {
        return assertThrows(IllegalArgumentException.class,
                () -> new Figures(Map.of(name, value))).getMessage();
    }

    @Test
    void usesDefaultsForParametersNotGiven() {
        Figures parameters = new Figures(Map.of("window-start", 5.0));
        assertEquals(5.0, parameters.windowStart);
        assertTrue(parameters.all().stream()
                .allMatch(p -> p.value() == p.usual() || p.name().equals("window-start")));
    }

    @Test
    void rejectsValuesOutsideBounds() {
        for (Figure parameter : Figures.USUAL.all()) {
            assertTrue(rejectionMessage(parameter.name(), parameter.most() + 1).contains(parameter.name()));
            assertTrue(rejectionMessage(parameter.name(), parameter.least() - 1).contains(parameter.name()));
            assertTrue(rejectionMessage(parameter.name(), Double.NaN).contains(parameter.name()));
        }
    }

    @Test
    void rejectsUnknownFractionalAndUnorderedParameters() {
        assertTrue(rejectionMessage("window-begin", 2).contains("no figure 'window-begin'"));
        assertTrue(rejectionMessage("tandems", 1.5).contains("whole"));
        assertTrue(rejectionMessage("silent-gap", 5_000_000).contains("silent-gap-max"));
    }

    @Test
    void givenParameterChangesDecisions() {
        RecordingHost host = new RecordingHost();
        host.start(RecordingHost.settings(CallControl.Layout.NETWORK, CallControl.Effect.SAFE, false, 3),
                new Figures(Map.of("window-start", 1.0)));
        host.control.onExchangeList(host.now, CallControl.ListKind.CACHED,
                List.of(RecordingHost.exchange(1, CallControl.Readiness.READY, 0)));
        host.call(1);
        host.call(1);
        assertEquals(1, host.sends.size());
    }
}
