package wingspread.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wingspread.control.ControlParameters;
import wingspread.lab.host.LocalSoftswitches;
import wingspread.lab.host.PlannerController;
import wingspread.lab.scenario.Day;
import wingspread.lab.scenario.RecordedTraffic;
import wingspread.lab.scenario.Scenario;
import wingspread.lab.sim.Streams;
import wingspread.lab.world.Model;
import wingspread.record.RecordedCall;
import wingspread.record.Recording;
import wingspread.record.TrafficWriter;

/** Prints a summary of recordings of traffic, or writes the calls of a simulated day as recordings. */
@Command(name = "record", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Prints a summary of recordings of traffic, or writes a day of a scenario as recordings (--out).")
final class LabRecord implements Callable<Integer> {
    private static final long MAX_FILE_BYTES = 1L << 30;

    @Mixin
    private LabOptions options;

    @Parameters(arity = "0..*", paramLabel = "FILE", description = "recordings to summarize")
    private List<Path> files = new ArrayList<>();

    @Option(names = "--out", paramLabel = "FOLDER", description = "directory to write a day of the scenario to")
    private Path folder;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        if (folder != null) {
            write();
        }
        boolean allComplete = true;
        for (Path file : files) {
            Recording recording = Recording.read(file);
            allComplete &= recording.fault() == null;
            out.printf(Locale.ROOT, "%s: exchange %d of %d, %d calls in %.1f s, %d dropped, %s%n", file,
                    recording.place(), recording.softswitches(), recording.calls().size(),
                    recording.calls().isEmpty() ? 0
                            : recording.calls().get(recording.calls().size() - 1).at() / 1e6,
                    recording.dropped(), recording.fault() == null ? "whole" : recording.fault());
        }
        out.flush();
        return allComplete ? 0 : 1;
    }

    private void write() throws IOException {
        new LogSilencer().apply();
        Scenario scenario = options.scenario();
        Streams streams = new Streams(options.seed(), 0);
        Day day = scenario.day(streams);
        List<RecordedTraffic.Call> calls = new ArrayList<>();
        new Model(day, streams, streams,
                new LocalSoftswitches(PlannerController.factory(ControlParameters.DEFAULTS)), calls::add)
                .run();
        Files.createDirectories(folder);
        for (int place = 0; place < day.fleet().exchanges(); place++) {
            Path file = folder.resolve("traffic." + place);
            try (TrafficWriter writer = new TrafficWriter(Files.newOutputStream(file), 0, place,
                    day.fleet().exchanges(), day.classes().stream().map(Day.ClassOfCall::name).toList(),
                    MAX_FILE_BYTES)) {
                for (RecordedTraffic.Call call : calls) {
                    if (call.origin() == place) {
                        Day.ClassOfCall callClass = day.classes().get(call.callClass());
                        writer.write(new RecordedCall(call.at(), call.callClass(), call.destination(),
                                callClass.width(), Math.round(day.callers().patience() * callClass.deadline()),
                                false, false, false, call.number()));
                    }
                }
            }
            files.add(file);
        }
    }
}
