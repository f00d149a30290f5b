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

/**
 * A build of the program with a deliberate fault: one source file is compiled with some of its text replaced, and takes
 * precedence over the original class on the class path.
 */
record PlantedBuild(String name, String source, String text, String replacement) {
    private static final Path SOURCES = Path.of("src/main/java/wingspread");

    /** Compiles the changed source into a folder and returns the class path of the build. */
    List<Path> compile(Path folder) throws IOException {
        String original = Files.readString(SOURCES.resolve(source));
        assertEquals(2, original.split(Pattern.quote(text), -1).length,
                name + ": the text to replace does not occur exactly once in " + source);
        Path changed = folder.resolve("source").resolve(source);
        Files.createDirectories(changed.getParent());
        Files.writeString(changed, original.replace(text, replacement));
        Path classes = Files.createDirectories(folder.resolve("classes"));
        List<Path> unchanged = SoftswitchProcess.currentClassPath();
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        int exitCode = compiler.run(null, null, null, "-nowarn", "-d", classes.toString(), "-cp",
                unchanged.stream().map(Path::toString).collect(Collectors.joining(File.pathSeparator)),
                changed.toString());
        assertEquals(0, exitCode, name + " does not compile");
        List<Path> classPath = new ArrayList<>(List.of(classes));
        classPath.addAll(unchanged);
        return classPath;
    }
}
