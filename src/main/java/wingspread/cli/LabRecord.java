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

/** Writes a day's calls as recordings, or says what recordings hold. */
@Command(name = "record", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Says what recordings of traffic hold, or writes a scenario's day as such (--out).")
final class LabRecord implements Callable<Integer> {
    private static final long LONGEST = 1L << 30;

    @Mixin
    private LabOptions options;

    @Parameters(arity = "0..*", paramLabel = "FILE", description = "recordings to look at")
    private List<Path> files = new ArrayList<>();

    @Option(names = "--out", paramLabel = "FOLDER", description = "where to write a scenario's day")
    private Path out;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter print = spec.commandLine().getOut();
        if (out != null) {
            write();
        }
        boolean whole = true;
        for (Path file : files) {
            Recording recording = Recording.read(file);
            whole &= recording.fault() == null;
            print.printf(Locale.ROOT, "%s: exchange %d of %d, %d calls in %.1f s, %d dropped, %s%n", file,
                    recording.place(), recording.softswitches(), recording.calls().size(),
                    recording.calls().isEmpty() ? 0
                            : recording.calls().get(recording.calls().size() - 1).at() / 1e6,
                    recording.dropped(), recording.fault() == null ? "whole" : recording.fault());
        }
        print.flush();
        return whole ? 0 : 1;
    }

    private void write() throws IOException {
        new QuietModules().apply();
        Scenario scenario = options.scenario();
        Streams streams = new Streams(options.seed(), 0);
        Day day = scenario.day(streams);
        List<RecordedTraffic.Call> calls = new ArrayList<>();
        new Model(day, streams, streams,
                new LocalSoftswitches(PlannerController.with(ControlParameters.DEFAULTS)), calls::add)
                .play();
        Files.createDirectories(out);
        for (int place = 0; place < day.fleet().exchanges(); place++) {
            Path file = out.resolve("traffic." + place);
            try (TrafficWriter writer = new TrafficWriter(Files.newOutputStream(file), 0, place,
                    day.fleet().exchanges(), day.classes().stream().map(Day.ClassOfCall::name).toList(), LONGEST)) {
                for (RecordedTraffic.Call call : calls) {
                    if (call.origin() == place) {
                        Day.ClassOfCall kind = day.classes().get(call.callClass());
                        writer.write(new RecordedCall(call.at(), call.callClass(), call.destination(), kind.width(),
                                Math.round(day.callers().patience() * kind.deadline()), false, false, false,
                                call.number()));
                    }
                }
            }
            files.add(file);
        }
    }
}
