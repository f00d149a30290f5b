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
 * Incident bf494b on real processes: exchanges vanish with calls standing on them while the directory is silent. The
 * callers of these calls must be told within 8 s.
 */
class VanishedExchangeTest {
    @TempDir
    Path folder;

    @Test
    void callersAreToldInTimeThoughNeitherTheExchangesNorTheDirectorySayAnything() throws Exception {
        Deployment deployment = new Deployment(2, 5, 1, List.of(1_500), 80, 512, 12, 6_000, 100);
        Schedule schedule = new Schedule(1, 5, deployment, List.of(
                new PlannedFault(FaultKind.DIRECTORY_SILENT, 0, 500, 12_000, 0),
                new PlannedFault(FaultKind.VANISH, 2, 1_500, 20_000, 20_000),
                new PlannedFault(FaultKind.VANISH, 3, 3_500, 20_000, 20_000)));
        Trial.Result result = new Trial(schedule, folder, List.of()).play();
        assertEquals(List.of(), result.testbedFaults());
        assertTrue(result.stood() > 30, result::toString);
        assertEquals(List.of(), result.breaches());
    }
}
