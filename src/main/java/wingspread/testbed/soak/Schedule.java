package wingspread.testbed.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * All that a trial plays: a deployment and the faults that strike it. Its text form is JSON, so that a trial can be
 * played again from a file.
 *
 * @param seed where the randomness of callers and exchanges comes from
 * @param seconds for which callers offer calls
 */
public record Schedule(long seed, int seconds, Deployment deployment, List<PlannedFault> faults) {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /**
     * The parts of a deployment.
     *
     * @param deadlinesMs the deadline of each class of call
     * @param heapMb of each softswitch
     * @param sockets descriptors of each softswitch
     * @param callsPerSecond offered to each softswitch
     * @param holdingMs mean length of a call
     * @param capacity set-ups a second that a warm exchange takes
     */
    public record Deployment(int softswitches, int exchanges, int zones, List<Integer> deadlinesMs, int heapMb,
            int sockets, int callsPerSecond, int holdingMs, int capacity) {
        /** The longest deadline of a class, in microseconds. */
        long longestDeadline() {
            return deadlinesMs.stream().mapToLong(ms -> ms * 1_000L).max().orElse(0);
        }
    }

    /**
     * One fault.
     *
     * @param target number of the softswitch or exchange; without meaning where the kind has no target
     * @param atMs milliseconds after callers begin
     * @param forMs how long it lasts
     * @param size as the kind says; for VANISH and REPLACE after how many milliseconds the directory knows
     */
    public record PlannedFault(FaultKind kind, int target, int atMs, int forMs, int size) {
        @Override
        public String toString() {
            return kind.option() + (kind.target() == FaultKind.Target.NONE ? "" : ":" + target) + "@" + atMs + "ms for "
                    + forMs + "ms" + (size > 0 ? " size " + size : "");
        }
    }

    /** The same trial with these faults alone. */
    Schedule withFaults(List<PlannedFault> fewer) {
        return new Schedule(seed, seconds, deployment, List.copyOf(fewer));
    }

    /** Writes it where a trial can be played again from. */
    void write(Path file) throws IOException {
        Files.writeString(file, JSON.writeValueAsString(this));
    }

    /**
     * Reads one that {@link #write} has written, or that was written by hand.
     *
     * @throws SoakException where the file holds no schedule
     */
    public static Schedule read(Path file) throws IOException {
        try {
            return JSON.readValue(Files.readString(file), Schedule.class).checked();
        } catch (JsonProcessingException e) {
            throw new SoakException(file + ": " + e.getOriginalMessage());
        }
    }

    private Schedule checked() {
        if (deployment == null || faults == null || deployment.deadlinesMs() == null) {
            throw new SoakException("a schedule needs seed, seconds, deployment and faults");
        }
        check("seconds", seconds, 1, 3_600);
        check("softswitches", deployment.softswitches(), 1, 64);
        check("exchanges", deployment.exchanges(), 2, 1_024);
        check("softswitches", deployment.softswitches(), 1, deployment.exchanges());
        check("zones", deployment.zones(), 1, 64);
        check("heapMb", deployment.heapMb(), 24, 4_096);
        check("sockets", deployment.sockets(), 128, 65_536);
        check("callsPerSecond", deployment.callsPerSecond(), 1, 1_000);
        check("holdingMs", deployment.holdingMs(), 1, 600_000);
        check("capacity", deployment.capacity(), 1, 100_000);
        check("classes", deployment.deadlinesMs().size(), 1, 64);
        deployment.deadlinesMs().forEach(ms -> check("deadlinesMs", ms, 50, 60_000));
        for (PlannedFault fault : faults) {
            int targets = switch (fault.kind().target()) {
                case NONE -> Integer.MAX_VALUE;
                case SOFTSWITCH -> deployment.softswitches();
                case EXCHANGE -> deployment.exchanges();
            };
            check("target of " + fault, fault.target(), 0, targets - 1);
            check("time of " + fault, fault.atMs(), 0, 3_600_000);
        }
        return this;
    }

    private static void check(String what, int value, int least, int most) {
        if (value < least || value > most) {
            throw new SoakException(what + ": " + value + " is not between " + least + " and " + most);
        }
    }
}
