package wingspread.turn;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests that tasks run in the order of their times and then of addition, whenever they are added. */
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
}
