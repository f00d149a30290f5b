package wingspread.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Tests the drain over random sequences of operators' requests. */
class DrainTest {
    private static final long STEP_MICROS = 100_000;
    private static final long ARRIVAL_MICROS = 500_000;

    /** 0 stands for a quiesce, 1 for a resume, and other numbers for the passing of time. */
    @Property(seed = "37", tries = 500)
    void sendsCallersAwayHalfASecondAfterFirstQuiesceUntilResume(
            @ForAll @Size(max = 40) List<@IntRange(max = 6) Integer> requests) {
        Drain drain = new Drain();
        long now = 1_000_000_000;
        long quiescedAt = Long.MAX_VALUE;
        for (int request : requests) {
            if (request == 0) {
                drain.quiesce(now);
                quiescedAt = Math.min(quiescedAt, now);
            } else if (request == 1) {
                drain.resume();
                quiescedAt = Long.MAX_VALUE;
            }
            now += STEP_MICROS;
            boolean draining = quiescedAt != Long.MAX_VALUE;
            assertEquals(draining, drain.isDraining());
            assertEquals(draining && now - quiescedAt >= ARRIVAL_MICROS ? Drain.Step.SEND_AWAY : Drain.Step.SERVE,
                    drain.next(now));
        }
    }
}
