package wingspread.testbed.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wingspread.testbed.soak.Schedule.Deployment;
import wingspread.testbed.soak.Schedule.PlannedFault;

/**
 * Reproduces incident bf494b with real processes: exchanges with established calls vanish while the directory does not
 * answer. The callers of these calls must be notified of their end within 8 s.
 */
class VanishedExchangeTest {
    @TempDir
    Path folder;

    @Test
    void notifiesCallersInTimeWhenExchangesVanishAndDirectoryIsUnresponsive() throws Exception {
        Deployment deployment = new Deployment(2, 5, 1, List.of(1_500), 80, 512, 12, 6_000, 100);
        Schedule schedule = new Schedule(1, 5, deployment, List.of(
                new PlannedFault(FaultKind.DIRECTORY_SILENT, 0, 500, 12_000, 0),
                new PlannedFault(FaultKind.VANISH, 2, 1_500, 20_000, 20_000),
                new PlannedFault(FaultKind.VANISH, 3, 3_500, 20_000, 20_000)));
        Trial.Result result = new Trial(schedule, folder, List.of()).run();
        assertEquals(List.of(), result.testbedFaults());
        assertTrue(result.established() > 30, result::toString);
        assertEquals(List.of(), result.breaches());
    }
}
