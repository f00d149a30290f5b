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
 * What {@code deploy/record.toml} says.
 *
 * @param file where the recording goes; each start adds its time to the name
 * @param keyFile the key of the numbers' hash; null for a key that nobody keeps
 * @param held calls that wait for the disk at the most
 * @param longest bytes of a recording at the most
 */
public record RecordConfig(Path file, Path keyFile, int held, long longest) {
    private static final String SCHEMA = "/wingspread/record/record.schema.json";
    private static final long MEGABYTE = 1 << 20;

    /**
     * Reads the file; null where recording is off.
     *
     * @throws TomlException where it cannot be taken
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
     * @throws TomlException where the file cannot be made or the key not be read
     */
    public Recorder start(long now, int place, int softswitches, List<String> classes) {
        Path out = file.resolveSibling(file.getFileName() + "." + place + "." + now);
        try {
            byte[] key = keyFile == null ? NumberHash.freshKey() : Files.readAllBytes(keyFile);
            if (key.length == 0) {
                throw new TomlException(keyFile + ": holds no key");
            }
            // Who calls whom is nobody's business but the operators', hash or no hash.
            Files.createFile(out, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
            return new Recorder(new TrafficWriter(Files.newOutputStream(out, StandardOpenOption.WRITE), now, place,
                    softswitches, classes, longest), now, held, key);
        } catch (IOException e) {
            throw new TomlException("recording cannot start: " + e.getClass().getSimpleName() + " " + e.getMessage());
        }
    }
}
