package wingspread.testbed.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import wingspread.testbed.SoftswitchProcess;

/** A build of the program with one fault planted in it: a source with some text replaced, compiled before the rest. */
record PlantedBuild(String name, String source, String text, String replacement) {
    private static final Path SOURCES = Path.of("src/main/java/wingspread");

    /** Compiles it into a folder; the class path of the build. */
    List<Path> compile(Path folder) throws IOException {
        String before = Files.readString(SOURCES.resolve(source));
        assertEquals(2, before.split(Pattern.quote(text), -1).length, name + ": not once in " + source);
        Path changed = folder.resolve("source").resolve(source);
        Files.createDirectories(changed.getParent());
        Files.writeString(changed, before.replace(text, replacement));
        Path classes = Files.createDirectories(folder.resolve("classes"));
        List<Path> own = SoftswitchProcess.ownBuild();
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        int failed = compiler.run(null, null, null, "-nowarn", "-d", classes.toString(), "-cp",
                own.stream().map(Path::toString).collect(Collectors.joining(File.pathSeparator)),
                changed.toString());
        assertEquals(0, failed, name + " does not compile");
        List<Path> build = new ArrayList<>(List.of(classes));
        build.addAll(own);
        return build;
    }
}
