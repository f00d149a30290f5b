package wingspread.record;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import wingspread.toml.TomlException;
import wingspread.toml.TomlFile;

/**
 * Settings of traffic recording, from {@code deploy/record.toml}.
 *
 * @param file path of the recording; the place and the start time are appended to the file name
 * @param keyFile file with the key of the number hash; null for a random key that is not stored
 * @param queueCapacity max number of calls queued for the disk
 * @param maxBytes max size of a recording in bytes
 */
public record RecordConfig(Path file, Path keyFile, int queueCapacity, long maxBytes) {
    private static final String SCHEMA = "/wingspread/record/record.schema.json";
    private static final long MEGABYTE = 1 << 20;

    /**
     * Reads the settings; null if recording is disabled.
     *
     * @throws TomlException if the file cannot be read or is invalid
     */
    public static RecordConfig read(Path path) {
        ObjectNode tree = TomlFile.read(path, SCHEMA);
        if (!tree.path("enabled").booleanValue()) {
            return null;
        }
        String key = tree.path("key-file").asText();
        return new RecordConfig(Path.of(tree.path("file").asText()), key.isEmpty() ? null : Path.of(key),
                tree.path("held-calls").asInt(), tree.path("longest-megabytes").asLong() * MEGABYTE);
    }

    /**
     * Starts the recorder of one softswitch.
     *
     * @param now the start time in Unix microseconds
     * @param place the index of the softswitch's exchange
     * @param softswitches the number of softswitches in the fleet
     * @param classes the names of the call classes
     * @throws TomlException if the recording cannot be created or the key cannot be read
     */
    public Recorder start(long now, int place, int softswitches, List<String> classes) {
        Path out = file.resolveSibling(file.getFileName() + "." + place + "." + now);
        try {
            byte[] key = keyFile == null ? NumberHash.randomKey() : Files.readAllBytes(keyFile);
            if (key.length == 0) {
                throw new TomlException(keyFile + ": key file is empty");
            }
            // Who calls whom is confidential even with hashed numbers, so only the owner may access the file.
            Files.createFile(out, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
            return new Recorder(new TrafficWriter(Files.newOutputStream(out, StandardOpenOption.WRITE), now, place,
                    softswitches, classes, maxBytes), now, queueCapacity, key);
        } catch (IOException e) {
            throw new TomlException("cannot start recording: " + e.getClass().getSimpleName() + " " + e.getMessage());
        }
    }
}
