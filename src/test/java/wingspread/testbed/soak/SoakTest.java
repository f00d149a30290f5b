package wingspread.testbed.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wingspread.testbed.soak.Schedule.PlannedFault;

/** Runs the short soak of CI, and tests the generation, parsing and shrinking of schedules. */
class SoakTest {
    private static final int SECONDS = 8;
    private static final int SEEDS = 6;

    @TempDir
    Path folder;

    @Test
    void shortSoakBreaksNoRule() throws Exception {
        // Faults that are drawn separately have a soak of their own, so that these seeds stay as they are.
        Soak soak = new Soak(new Soak.Plan(1, SEEDS, SECONDS, kinds(kind -> kind.drawingRound() == 0), 2, 0, List.of()),
                folder, outcome -> { });
        List<Soak.Outcome> outcomes = soak.run();
        String report = new SoakReport(outcomes, SECONDS, Duration.ofMinutes(1), Duration.ZERO).text();
        assertEquals(List.of(), outcomes.stream().filter(Soak.Outcome::hasFailed).map(SoakReport::describe).toList());
        assertTrue(outcomes.stream().mapToLong(o -> o.result().established()).sum() > 200, report);
        assertTrue(report.contains("| trials that broke no rule | " + SEEDS + " |"), report);
    }

    private static Set<FaultKind> kinds(Predicate<FaultKind> condition) {
        return Arrays.stream(FaultKind.values()).filter(condition)
                .collect(Collectors.toCollection(() -> EnumSet.noneOf(FaultKind.class)));
    }

    /** Runs trials with the faults of one drawing round only. */
    private void assertNoRuleBroken(long firstSeed, int seeds, int round) throws Exception {
        Soak soak = new Soak(new Soak.Plan(firstSeed, seeds, SECONDS, kinds(kind -> kind.drawingRound() == round), 2, 0,
                List.of()), folder, outcome -> { });
        List<Soak.Outcome> outcomes = soak.run();
        assertEquals(List.of(), outcomes.stream().filter(Soak.Outcome::hasFailed).map(SoakReport::describe).toList());
        assertTrue(outcomes.stream().mapToLong(o -> o.result().established()).sum() > 200);
    }

    @Test
    void shortSoakOfReturnsAndEndingConnectionsBreaksNoRule() throws Exception {
        assertNoRuleBroken(101, 4, 1);
    }

    @Test
    void shortSoakOfBurstsForgeriesAndRepeatsBreaksNoRule() throws Exception {
        assertNoRuleBroken(201, 4, 2);
    }

    @Test
    void shortSoakOfListsWithoutHostsBreaksNoRule() throws Exception {
        assertNoRuleBroken(301, 2, 3);
    }

    @Test
    void generatesSameScheduleForSameSeedAndEveryFaultOverManySeeds() throws Exception {
        Schedule original = ScheduleGenerator.generate(7, 12, Set.of());
        assertEquals(original, ScheduleGenerator.generate(7, 12, Set.of()));
        assertNotEquals(original.deployment(), ScheduleGenerator.generate(8, 12, Set.of()).deployment());
        Path file = folder.resolve("schedule.json");
        original.write(file);
        assertEquals(original, Schedule.read(file));
        assertEquals(EnumSet.allOf(FaultKind.class), LongStream.range(0, 200)
                .mapToObj(seed -> ScheduleGenerator.generate(seed, 12, Set.of())).flatMap(s -> s.faults().stream())
                .map(PlannedFault::kind).collect(Collectors.toCollection(() -> EnumSet.noneOf(FaultKind.class))));
        assertTrue(ScheduleGenerator.generate(9, 12, Set.of(FaultKind.HANG)).faults().stream()
                .allMatch(fault -> fault.kind() == FaultKind.HANG));
    }

    @Test
    void separatelyDrawnFaultsLeaveTheOthersOfASeedUnchanged() {
        for (long seed = 0; seed < 50; seed++) {
            Schedule all = ScheduleGenerator.generate(seed, 12, Set.of());
            Schedule others = ScheduleGenerator.generate(seed, 12, kinds(kind -> kind.drawingRound() == 0));
            assertEquals(others.faults(),
                    all.faults().stream().filter(fault -> fault.kind().drawingRound() == 0).toList());
            assertEquals(others.deployment(), all.deployment());
            assertTrue(all.faults().size() > others.faults().size());
        }
    }

    @Test
    void rejectsInvalidScheduleWithOneLineMessage() throws Exception {
        Path file = folder.resolve("bad.json");
        ScheduleGenerator.generate(7, 12, Set.of()).write(file);
        String valid = Files.readString(file);
        for (String invalid : List.of("{", "[]", "{\"seed\":1}",
                valid.replace("\"seconds\" : 12", "\"seconds\" : 0"),
                valid.replaceFirst("\"target\" : \\d+", "\"target\" : 999999"),
                valid.replaceFirst("\"kind\" : \"\\w+\"", "\"kind\" : \"FLOOD\""),
                valid.replaceFirst("\"zones\"", "\"zone\""))) {
            Files.writeString(file, invalid);
            SoakException e = assertThrows(SoakException.class, () -> Schedule.read(file), invalid);
            assertTrue(!e.getMessage().isEmpty() && !e.getMessage().contains("\n"), e.getMessage());
        }
    }

    @Test
    void shrinkerKeepsOnlyTheFaultsThatTogetherBreakTheRule() throws Exception {
        Schedule original = ScheduleGenerator.generate(7, 12, Set.of());
        List<PlannedFault> faults = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            faults.add(new PlannedFault(FaultKind.RESET, 0, 1_000 + i, 0, 0));
        }
        Set<PlannedFault> culprits = Set.of(faults.get(2), faults.get(7));
        Shrinker shrinker = new Shrinker(schedule -> schedule.faults().containsAll(culprits), 100);
        assertEquals(culprits, Set.copyOf(shrinker.shrink(original.withFaults(faults)).faults()));
        Shrinker singleTrial = new Shrinker(schedule -> true, 1);
        singleTrial.shrink(original.withFaults(faults));
        assertEquals(1, singleTrial.trials());
    }
}
