package wingspread.testbed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * What the stand-ins of one trial have sent and received, in their order. Confined to the trial's loop; bounded, since
 * a flood would fill the memory.
 */
final class TrialLog {
    private static final int MOST_ENTRIES = 2_000_000;
    static final String NO_CALL = "-";

    /** One line; {@code at} is microseconds since the Unix epoch. */
    record Entry(long at, String party, String call, String what) {
        String text() {
            return at + "\t" + party + "\t" + call + "\t" + what;
        }
    }

    private final LongSupplier clock;
    private final List<Entry> entries = new ArrayList<>();

    TrialLog(LongSupplier clock) {
        this.clock = clock;
    }

    /** Adds a line about a call. */
    void add(String party, String call, String what) {
        if (entries.size() < MOST_ENTRIES) {
            entries.add(new Entry(clock.getAsLong(), party, call, what));
        }
    }

    /** Adds a line about no call. */
    void add(String party, String what) {
        add(party, NO_CALL, what);
    }

    /** All lines so far. */
    List<Entry> entries() {
        return List.copyOf(entries);
    }

    /** Writes lines, one each with tabs between time, party, call and event. */
    static void write(List<Entry> entries, Path file) throws IOException {
        Files.write(file, entries.stream().map(Entry::text).toList());
    }

    /** Reads what {@link #write} wrote. */
    static List<Entry> read(Path file) throws IOException {
        List<Entry> out = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            String[] parts = line.split("\t", 4);
            if (parts.length == 4) {
                out.add(new Entry(Long.parseLong(parts[0]), parts[1], parts[2], parts[3]));
            }
        }
        return out;
    }
}
