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
 * The schedule of a trial: a deployment and the faults injected into it. It is stored as JSON, so that a trial can be
 * repeated from a file.
 *
 * @param seed seed of the random numbers of callers and exchanges
 * @param seconds how long callers offer calls
 */
public record Schedule(long seed, int seconds, Deployment deployment, List<PlannedFault> faults) {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /**
     * The size of a deployment and the load offered to it.
     *
     * @param deadlinesMs the deadline of each class of call
     * @param heapMb heap size of each softswitch, in MB
     * @param sockets limit of open descriptors of each softswitch
     * @param callsPerSecond calls offered to each softswitch
     * @param holdingMs mean holding time of a call
     * @param capacity set-ups a second that a warm exchange can handle
     */
    public record Deployment(int softswitches, int exchanges, int zones, List<Integer> deadlinesMs, int heapMb,
            int sockets, int callsPerSecond, int holdingMs, int capacity) {
        /** Returns the maximum deadline of all classes, in microseconds; 0 if there are no classes. */
        long maxDeadlineMicros() {
            return deadlinesMs.stream().mapToLong(ms -> ms * 1_000L).max().orElse(0);
        }
    }

    /**
     * A fault that is injected at a given time.
     *
     * @param target number of the softswitch or exchange; ignored if the kind has no target
     * @param atMs start, in milliseconds after callers start offering calls
     * @param forMs duration, in milliseconds
     * @param size see {@link FaultKind}; for VANISH and REPLACE the milliseconds until the directory notices
     */
    public record PlannedFault(FaultKind kind, int target, int atMs, int forMs, int size) {
        @Override
        public String toString() {
            return kind.option() + (kind.target() == FaultKind.Target.NONE ? "" : ":" + target) + "@" + atMs + "ms for "
                    + forMs + "ms" + (size > 0 ? " size " + size : "");
        }
    }

    /** Returns a copy of this schedule with the given faults in place of its own. */
    Schedule withFaults(List<PlannedFault> newFaults) {
        return new Schedule(seed, seconds, deployment, List.copyOf(newFaults));
    }

    /** Writes the schedule as JSON, for {@link #read}. */
    void write(Path file) throws IOException {
        Files.writeString(file, JSON.writeValueAsString(this));
    }

    /**
     * Reads a schedule that was written by {@link #write} or by hand.
     *
     * @throws SoakException if the file does not contain a valid schedule
     */
    public static Schedule read(Path file) throws IOException {
        try {
            return JSON.readValue(Files.readString(file), Schedule.class).validated();
        } catch (JsonProcessingException e) {
            throw new SoakException(file + ": " + e.getOriginalMessage());
        }
    }

    private Schedule validated() {
        if (deployment == null || faults == null || deployment.deadlinesMs() == null) {
            throw new SoakException("a schedule needs seed, seconds, deployment and faults");
        }
        checkRange("seconds", seconds, 1, 3_600);
        checkRange("softswitches", deployment.softswitches(), 1, 64);
        checkRange("exchanges", deployment.exchanges(), 2, 1_024);
        checkRange("softswitches", deployment.softswitches(), 1, deployment.exchanges());
        checkRange("zones", deployment.zones(), 1, 64);
        checkRange("heapMb", deployment.heapMb(), 24, 4_096);
        checkRange("sockets", deployment.sockets(), 128, 65_536);
        checkRange("callsPerSecond", deployment.callsPerSecond(), 1, 1_000);
        checkRange("holdingMs", deployment.holdingMs(), 1, 600_000);
        checkRange("capacity", deployment.capacity(), 1, 100_000);
        checkRange("classes", deployment.deadlinesMs().size(), 1, 64);
        deployment.deadlinesMs().forEach(ms -> checkRange("deadlinesMs", ms, 50, 60_000));
        for (PlannedFault fault : faults) {
            int targetCount = switch (fault.kind().target()) {
                case NONE -> Integer.MAX_VALUE;
                case SOFTSWITCH -> deployment.softswitches();
                case EXCHANGE -> deployment.exchanges();
            };
            checkRange("target of " + fault, fault.target(), 0, targetCount - 1);
            checkRange("time of " + fault, fault.atMs(), 0, 3_600_000);
        }
        return this;
    }

    private static void checkRange(String name, int value, int min, int max) {
        if (value < min || value > max) {
            throw new SoakException(name + ": " + value + " is not between " + min + " and " + max);
        }
    }
}
