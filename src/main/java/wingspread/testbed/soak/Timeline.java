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
 * All that is known of one call of a trial, in the order of its times: what the stand-ins sent and received, what the
 * softswitches logged of it, and the faults and the state of exchanges meanwhile.
 */
public final class Timeline {
    private static final DateTimeFormatter LOG_TIME = DateTimeFormatter.ofPattern("HH:mm:ss.SSS");
    private static final int LOG_TIME_LENGTH = 12;
    /** Faults and exchanges are shown from so long before the call. */
    private static final long CONTEXT = 10_000_000;

    /** One line; {@code at} is microseconds since the Unix epoch. */
    public record Line(long at, String party, String what) { }

    private final List<Line> lines;

    private Timeline(List<Line> lines) {
        this.lines = lines;
    }

    /**
     * Reads a trial's folder.
     *
     * @throws SoakException where it is no such folder, or holds nothing of the call
     */
    public static Timeline of(Path folder, String call) throws IOException {
        Path record = folder.resolve(Trial.RECORD_FILE);
        if (!Files.exists(record)) {
            throw new SoakException(folder + " holds no " + Trial.RECORD_FILE + ": it is no trial's folder");
        }
        List<TrialLog.Entry> entries = TrialLog.read(record);
        List<TrialLog.Entry> ofCall = entries.stream().filter(entry -> entry.call().equals(call)).toList();
        if (ofCall.isEmpty()) {
            throw new SoakException(folder + " holds nothing of call " + call);
        }
        long from = ofCall.get(0).at() - CONTEXT;
        long until = ofCall.get(ofCall.size() - 1).at() + CONTEXT;
        List<Line> lines = new ArrayList<>();
        for (TrialLog.Entry entry : entries) {
            boolean context = entry.call().equals(TrialLog.NO_CALL) && entry.at() >= from && entry.at() <= until;
            if (entry.call().equals(call) || context) {
                lines.add(new Line(entry.at(), entry.party(), entry.what()));
            }
        }
        LocalDate day = LocalDate.ofInstant(Instant.ofEpochSecond(entries.get(0).at() / 1_000_000),
                ZoneId.systemDefault());
        addLogs(folder, call, day, lines);
        lines.sort(Comparator.comparingLong(Line::at));
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
            // A line of the JVM's own, without a time.
            return;
        }
    }

    /** The lines in their order. */
    public List<Line> lines() {
        return lines;
    }

    /** The same as text, with seconds from the first line. */
    public String text() {
        StringBuilder out = new StringBuilder();
        long start = lines.get(0).at();
        for (Line line : lines) {
            out.append(String.format(Locale.ROOT, "%9.3f  %-18s %s%n", (line.at() - start) / 1e6,
                    line.party(), line.what()));
        }
        return out.toString();
    }
}
