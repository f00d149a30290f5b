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

/** Files of settings: TOML, checked as a whole by a JSON Schema before anything of it is used. */
public final class TomlFile {
    /** Guards the memory: no file of settings is as long as this. */
    private static final long LONGEST = 1 << 20;

    private TomlFile() { }

    /**
     * Reads a file and checks it.
     *
     * @param schema the schema's resource, from the root of the class path
     * @throws TomlException where it cannot be read, is no TOML or breaks the schema
     */
    public static ObjectNode read(Path file, String schema) {
        try {
            if (Files.size(file) > LONGEST) {
                throw new TomlException(file + ": longer than " + LONGEST + " bytes");
            }
            return parse(Files.readString(file), file.toString(), schema);
        } catch (IOException e) {
            throw new TomlException(file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
        }
    }

    /** Reads a shipped file, which is checked like any other. */
    public static ObjectNode resource(String name, String schema) {
        return parse(text(name), name, schema);
    }

    /** Reads text under a name for its errors. */
    public static ObjectNode parse(String text, String name, String schema) {
        ObjectNode tree;
        try {
            if (!(new TomlMapper().readTree(text) instanceof ObjectNode object)) {
                throw new TomlException(name + ": holds no tables");
            }
            tree = object;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new TomlException(name + ":" + line + ": " + oneLine(e.getOriginalMessage()));
        }
        List<Error> errors = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(text(schema), InputFormat.JSON).validate(tree);
        if (!errors.isEmpty()) {
            throw new TomlException(name + ": " + inWords(errors));
        }
        return tree;
    }

    /** The first place at fault, and all that was expected there. */
    private static String inWords(List<Error> errors) {
        Map<String, List<Error>> byPlace = errors.stream().collect(Collectors.groupingBy(
                e -> e.getInstanceLocation().toString(), LinkedHashMap::new, Collectors.toList()));
        Map.Entry<String, List<Error>> first = byPlace.entrySet().iterator().next();
        String place = first.getKey().replaceFirst("^/", "").replace('/', '.');
        return (place.isEmpty() ? "" : place + " ") + first.getValue().stream().map(e -> oneLine(e.getMessage()))
                .distinct().collect(Collectors.joining(" or "));
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\s+", " ");
    }

    /** The text of a tree. */
    public static String write(ObjectNode tree) {
        try {
            return new TomlMapper().writeValueAsString(tree);
        } catch (JsonProcessingException e) {
            throw new TomlException("settings cannot be written: " + oneLine(e.getOriginalMessage()));
        }
    }

    /** The text of a shipped file. */
    public static String text(String resource) {
        try (InputStream in = TomlFile.class.getResourceAsStream(resource)) {
            if (in == null) {
                throw new TomlException(resource + ": is not shipped with this program");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new TomlException(resource + ": cannot be read (" + e.getClass().getSimpleName() + ")");
        }
    }

    /** Lays a tree over another, table by table; lists and plain values are replaced whole. */
    public static ObjectNode over(ObjectNode base, ObjectNode top) {
        ObjectNode out = base.deepCopy();
        top.properties().forEach(entry -> {
            JsonNode below = out.get(entry.getKey());
            out.set(entry.getKey(), below instanceof ObjectNode table && entry.getValue() instanceof ObjectNode more
                    ? over(table, more) : entry.getValue());
        });
        return out;
    }
}
