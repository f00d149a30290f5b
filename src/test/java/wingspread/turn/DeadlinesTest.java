package wingspread.turn;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests that tasks run in the order of their times and then of addition, and that cancelled ones are not kept. */
class DeadlinesTest {
    private record Entry(long at, int order) { }

    @Property(tries = 300, seed = "71")
    void runsTasksInOrderOfTimeThenAddition(@ForAll long seed, @ForAll @IntRange(max = 400) int count) {
        SplittableRandom random = new SplittableRandom(seed);
        Deadlines deadlines = new Deadlines();
        List<Entry> added = new ArrayList<>();
        List<Entry> completed = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < count; i++) {
            Entry entry = new Entry(now + 1 + random.nextInt(20), i);
            added.add(entry);
            deadlines.add(entry.at(), () -> completed.add(entry));
            if (random.nextInt(4) == 0) {
                now += random.nextInt(10);
                deadlines.runDue(now);
                long until = now;
                assertEquals(added.stream().filter(task -> task.at() <= until).count(), completed.size());
            }
        }
        deadlines.runDue(Long.MAX_VALUE - 1);
        assertEquals(Long.MAX_VALUE, deadlines.next());
        assertEquals(added.stream().sorted(Comparator.comparingLong(Entry::at).thenComparingInt(Entry::order)).toList(),
                completed);
    }

    @Property(tries = 300, seed = "72")
    void dropsCancelledTasksAtOnceAndRunsAllOthers(@ForAll long seed, @ForAll @IntRange(max = 400) int count) {
        SplittableRandom random = new SplittableRandom(seed);
        Deadlines deadlines = new Deadlines();
        Map<Integer, Deadlines.Timer> timers = new TreeMap<>();
        Set<Integer> expected = new TreeSet<>();
        Set<Integer> completed = new TreeSet<>();
        for (int i = 0; i < count; i++) {
            int task = i;
            timers.put(task, deadlines.add(random.nextInt(1_000), () -> completed.add(task)));
            expected.add(task);
            int cancelled = random.nextInt(2 * count);
            if (timers.containsKey(cancelled)) {
                timers.get(cancelled).cancel();
                expected.remove(cancelled);
            }
            assertEquals(expected.size(), deadlines.size());
        }
        deadlines.runDue(1_000);
        assertEquals(expected, completed);
        timers.values().forEach(Deadlines.Timer::cancel);
        assertEquals(0, deadlines.size());
    }
}
