package wingspread.testbed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * The record of what the stand-ins of one trial sent and received, in order. Confined to the trial's loop. Its size is
 * bounded, since a flood of messages would exhaust the memory; entries beyond the bound are dropped.
 */
final class TrialLog {
    private static final int MAX_ENTRIES = 2_000_000;
    /** The call of lines that are about no particular call. */
    static final String NO_CALL = "-";

    /**
     * One line of the record.
     *
     * @param atMicros microseconds since the Unix epoch
     * @param party the process or stand-in that the line is about
     * @param call the id of the call, or {@link #NO_CALL}
     */
    record Entry(long atMicros, String party, String call, String event) {
        String text() {
            return atMicros + "\t" + party + "\t" + call + "\t" + event;
        }
    }

    private final LongSupplier clock;
    private final List<Entry> entries = new ArrayList<>();

    TrialLog(LongSupplier clock) {
        this.clock = clock;
    }

    /** Adds a line about a call. */
    void add(String party, String call, String event) {
        if (entries.size() < MAX_ENTRIES) {
            entries.add(new Entry(clock.getAsLong(), party, call, event));
        }
    }

    /** Adds a line that is about no particular call. */
    void add(String party, String event) {
        add(party, NO_CALL, event);
    }

    /** Returns a copy of the lines so far. */
    List<Entry> entries() {
        return List.copyOf(entries);
    }

    /** Writes one line per entry, with time, party, call and event separated by tabs. */
    static void write(List<Entry> entries, Path file) throws IOException {
        Files.write(file, entries.stream().map(Entry::text).toList());
    }

    /** Reads a file written by {@link #write}; lines without all four fields are skipped. */
    static List<Entry> read(Path file) throws IOException {
        List<Entry> entries = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            String[] fields = line.split("\t", 4);
            if (fields.length == 4) {
                entries.add(new Entry(Long.parseLong(fields[0]), fields[1], fields[2], fields[3]));
            }
        }
        return entries;
    }
}
