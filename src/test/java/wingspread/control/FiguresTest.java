package wingspread.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import wingspread.control.NamedFigures.Figure;

/** Figures are taken whole or turned away with a line that says which one is at fault. */
class FiguresTest {
    private static String turnedAway(String name, double value) {
        return assertThrows(IllegalArgumentException.class, () -> new Figures(Map.of(name, value))).getMessage();
    }

    @Test
    void whatIsNotGivenIsUsual() {
        Figures figures = new Figures(Map.of("window-start", 5.0));
        assertEquals(5.0, figures.windowStart);
        assertTrue(figures.all().stream().allMatch(f -> f.value() == f.usual() || f.name().equals("window-start")));
    }

    @Test
    void everyFigureTakesItsBoundsAndNothingBeyond() {
        for (Figure figure : Figures.USUAL.all()) {
            assertTrue(turnedAway(figure.name(), figure.most() + 1).contains(figure.name()));
            assertTrue(turnedAway(figure.name(), figure.least() - 1).contains(figure.name()));
            assertTrue(turnedAway(figure.name(), Double.NaN).contains(figure.name()));
        }
    }

    @Test
    void unknownFractionalAndCrossedFiguresAreTurnedAway() {
        assertTrue(turnedAway("window-begin", 2).contains("no figure 'window-begin'"));
        assertTrue(turnedAway("tandems", 1.5).contains("whole"));
        assertTrue(turnedAway("silent-gap", 5_000_000).contains("silent-gap-max"));
    }

    @Test
    void aFigureGivenChangesWhatTheModuleDoes() {
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
