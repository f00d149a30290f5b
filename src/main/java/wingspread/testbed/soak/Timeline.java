package wingspread.testbed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * The events of one call of a trial in chronological order: what the stand-ins sent and received, what the softswitches
 * logged about it, and the faults and state changes of exchanges around that time.
 */
public final class Timeline {
    private static final DateTimeFormatter LOG_TIME = DateTimeFormatter.ofPattern("HH:mm:ss.SSS");
    private static final int LOG_TIME_LENGTH = 12;
    /** How long before the call's first event and after its last one faults and state changes are included. */
    private static final long CONTEXT_MICROS = 10_000_000;

    /**
     * One event.
     *
     * @param atMicros microseconds since the Unix epoch
     * @param party the process or stand-in that the event is about
     */
    public record Line(long atMicros, String party, String event) { }

    private final List<Line> lines;

    private Timeline(List<Line> lines) {
        this.lines = lines;
    }

    /**
     * Reads the timeline of a call from a trial's folder.
     *
     * @throws SoakException if the folder is not a trial's, or contains nothing about the call
     */
    public static Timeline of(Path folder, String call) throws IOException {
        Path record = folder.resolve(Trial.RECORD_FILE);
        if (!Files.exists(record)) {
            throw new SoakException(folder + " does not contain " + Trial.RECORD_FILE + ": it is no trial's folder");
        }
        List<TrialLog.Entry> entries = TrialLog.read(record);
        List<TrialLog.Entry> ofCall = entries.stream().filter(entry -> entry.call().equals(call)).toList();
        if (ofCall.isEmpty()) {
            throw new SoakException(folder + " contains nothing about call " + call);
        }
        long from = ofCall.get(0).atMicros() - CONTEXT_MICROS;
        long until = ofCall.get(ofCall.size() - 1).atMicros() + CONTEXT_MICROS;
        List<Line> lines = new ArrayList<>();
        for (TrialLog.Entry entry : entries) {
            boolean isContext = entry.call().equals(TrialLog.NO_CALL) && entry.atMicros() >= from
                    && entry.atMicros() <= until;
            if (entry.call().equals(call) || isContext) {
                lines.add(new Line(entry.atMicros(), entry.party(), entry.event()));
            }
        }
        LocalDate day = LocalDate.ofInstant(Instant.ofEpochSecond(entries.get(0).atMicros() / 1_000_000),
                ZoneId.systemDefault());
        addLogs(folder, call, day, lines);
        lines.sort(Comparator.comparingLong(Line::atMicros));
        return new Timeline(lines);
    }

    private static void addLogs(Path folder, String call, LocalDate day, List<Line> lines) throws IOException {
        List<Path> logs;
        try (Stream<Path> files = Files.walk(folder, 2)) {
            logs = files.filter(file -> file.toString().endsWith(".log")).toList();
        }
        for (Path log : logs) {
            for (String line : Files.readAllLines(log)) {
                if (line.contains(call) || line.contains(" counts as down ")) {
                    addLogLine(log.getParent().getFileName().toString(), line, day, lines);
                }
            }
        }
    }

    private static void addLogLine(String softswitch, String line, LocalDate day, List<Line> lines) {
        if (line.length() < LOG_TIME_LENGTH) {
            return;
        }
        try {
            LocalTime time = LocalTime.parse(line.substring(0, LOG_TIME_LENGTH), LOG_TIME);
            Instant at = day.atTime(time).atZone(ZoneId.systemDefault()).toInstant();
            lines.add(new Line(ChronoUnit.MICROS.between(Instant.EPOCH, at), softswitch + " log",
                    line.substring(LOG_TIME_LENGTH).strip()));
        } catch (DateTimeParseException e) {
            // A line printed by the JVM itself, which has no timestamp.
            return;
        }
    }

    /** Returns the lines in chronological order. */
    public List<Line> lines() {
        return lines;
    }

    /** Returns the timeline as text, with times in seconds since the first line. */
    public String text() {
        StringBuilder out = new StringBuilder();
        long start = lines.get(0).atMicros();
        for (Line line : lines) {
            out.append(String.format(Locale.ROOT, "%9.3f  %-18s %s%n", (line.atMicros() - start) / 1e6,
                    line.party(), line.event()));
        }
        return out.toString();
    }
}
