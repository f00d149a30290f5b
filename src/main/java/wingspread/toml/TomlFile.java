package wingspread.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Reads settings files in TOML, each of which is validated against a JSON Schema before any of its values is used. */
public final class TomlFile {
    /** The maximum size of a settings file, which bounds the memory used. */
    private static final long MAX_BYTES = 1 << 20;

    private TomlFile() { }

    /**
     * Reads and validates a file.
     *
     * @param schema the path of the schema resource, from the root of the class path
     * @throws TomlException if the file cannot be read, is not TOML or does not conform to the schema
     */
    public static ObjectNode read(Path file, String schema) {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new TomlException(file + ": exceeds " + MAX_BYTES + " bytes");
            }
            return parse(Files.readString(file), file.toString(), schema);
        } catch (IOException e) {
            throw new TomlException(file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
        }
    }

    /** Reads and validates a resource of this program. */
    public static ObjectNode resource(String name, String schema) {
        return parse(text(name), name, schema);
    }

    /**
     * Parses and validates a text.
     *
     * @param name the name of the text in error messages
     * @param schema the path of the schema resource, from the root of the class path
     * @throws TomlException if the text is not TOML or does not conform to the schema
     */
    public static ObjectNode parse(String text, String name, String schema) {
        ObjectNode tree;
        try {
            if (!(new TomlMapper().readTree(text) instanceof ObjectNode object)) {
                throw new TomlException(name + ": not a TOML table");
            }
            tree = object;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new TomlException(name + ":" + line + ": " + oneLine(e.getOriginalMessage()));
        }
        List<Error> errors = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(text(schema), InputFormat.JSON).validate(tree);
        if (!errors.isEmpty()) {
            throw new TomlException(name + ": " + describe(errors));
        }
        return tree;
    }

    /** Describes the first invalid path with everything that was expected there. */
    private static String describe(List<Error> errors) {
        Map<String, List<Error>> byLocation = errors.stream().collect(Collectors.groupingBy(
                e -> e.getInstanceLocation().toString(), LinkedHashMap::new, Collectors.toList()));
        Map.Entry<String, List<Error>> first = byLocation.entrySet().iterator().next();
        String path = first.getKey().replaceFirst("^/", "").replace('/', '.');
        return (path.isEmpty() ? "" : path + " ") + first.getValue().stream().map(e -> oneLine(e.getMessage()))
                .distinct().collect(Collectors.joining(" or "));
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\s+", " ");
    }

    /** Returns the TOML text of a tree. */
    public static String write(ObjectNode tree) {
        try {
            return new TomlMapper().writeValueAsString(tree);
        } catch (JsonProcessingException e) {
            throw new TomlException("cannot write settings: " + oneLine(e.getOriginalMessage()));
        }
    }

    /**
     * Returns the text of a resource of this program.
     *
     * @throws TomlException if the resource is missing or cannot be read
     */
    public static String text(String resource) {
        try (InputStream in = TomlFile.class.getResourceAsStream(resource)) {
            if (in == null) {
                throw new TomlException(resource + ": no such resource");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new TomlException(resource + ": cannot be read (" + e.getClass().getSimpleName() + ")");
        }
    }

    /** Merges two trees, table by table; lists and plain values of {@code overrides} replace those of {@code base}. */
    public static ObjectNode merge(ObjectNode base, ObjectNode overrides) {
        ObjectNode merged = base.deepCopy();
        overrides.properties().forEach(entry -> {
            JsonNode baseValue = merged.get(entry.getKey());
            merged.set(entry.getKey(),
                    baseValue instanceof ObjectNode baseTable && entry.getValue() instanceof ObjectNode table
                    ? merge(baseTable, table) : entry.getValue());
        });
        return merged;
    }
}
