package wingspread.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import wingspread.control.NamedParameters.Parameter;

/** Tests that the parameters are checked as a whole and rejected with a message that names the invalid one. */
class ControlParametersTest {
    private static String rejectionMessage(String name, double value) {
        return assertThrows(IllegalArgumentException.class,
                () -> new ControlParameters(Map.of(name, value))).getMessage();
    }

    @Test
    void usesDefaultsForParametersNotGiven() {
        ControlParameters parameters = new ControlParameters(Map.of("window-start", 5.0));
        assertEquals(5.0, parameters.windowStart);
        assertTrue(parameters.all().stream()
                .allMatch(p -> p.value() == p.defaultValue() || p.name().equals("window-start")));
    }

    @Test
    void rejectsValuesOutsideBounds() {
        for (Parameter parameter : ControlParameters.DEFAULTS.all()) {
            assertTrue(rejectionMessage(parameter.name(), parameter.max() + 1).contains(parameter.name()));
            assertTrue(rejectionMessage(parameter.name(), parameter.min() - 1).contains(parameter.name()));
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
                new ControlParameters(Map.of("window-start", 1.0)));
        host.control.onExchangeList(host.now, CallControl.ListKind.CACHED,
                List.of(RecordingHost.exchange(1, CallControl.Readiness.READY, 0)));
        host.call(1);
        host.call(1);
        assertEquals(1, host.sends.size());
    }
}
