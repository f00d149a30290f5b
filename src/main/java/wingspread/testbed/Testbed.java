package wingspread.testbed;

import java.nio.file.Path;
import java.util.List;
import wingspread.lab.host.HostException;
import wingspread.lab.scenario.Day;
import wingspread.lab.scenario.Scenario;
import wingspread.lab.sim.Streams;
import wingspread.lab.world.Model;
import wingspread.testbed.SocketSoftswitches.Fault;

/**
 * One day of a scenario with real softswitch processes, each of some 50 MB and with a connection to every exchange,
 * which the machine must carry. The laboratory's model plays the exchanges, circuits, callers and troubles and checks
 * the rules; its time is the wall's, and what it and the softswitches say to each other goes over sockets. So the same
 * file can be played in both and compared.
 */
public final class Testbed {
    /** What the sockets, the poll and the machine's own scheduling may add to a time that a rule is about. */
    private static final long SLACK = 30_000;
    private static final String TICK = "tick = \"1ms\"";

    private final Scenario scenario;
    private final long seed;
    private final Path folder;
    private final String storm;
    private final int connections;
    private final List<Fault> faults;

    /** What came of it; {@code counters} is one line for each softswitch that ended in good order. */
    public record Result(Model.Run run, long reconnects, List<String> counters) { }

    /**
     * A run that has not begun.
     *
     * @param storm the text of the softswitches' {@code deploy/storm.toml}; null for none
     * @param connections of the callers of each softswitch
     * @throws HostException where a place that is to be struck does not exist
     */
    public Testbed(Scenario scenario, long seed, Path folder, String storm, int connections, List<Fault> faults) {
        this.scenario = scenario.with(TICK);
        this.seed = seed;
        this.folder = folder.toAbsolutePath();
        this.storm = storm;
        this.connections = connections;
        this.faults = faults;
        int places = this.scenario.day(new Streams(seed, 0)).fleet().exchanges();
        if (faults.stream().anyMatch(fault -> fault.place() < 0 || fault.place() >= places)) {
            throw new HostException("--fault: the places run from 0 to " + (places - 1));
        }
    }

    /** Starts everything, plays the day and ends everything; takes as long as the day and some seconds more. */
    public Result play() {
        Streams streams = new Streams(seed, 0);
        Day day = scenario.day(streams);
        SocketSoftswitches softswitches = new SocketSoftswitches(folder, storm, connections, faults);
        Model.Run run;
        try {
            run = new Model(day, streams, streams, softswitches, call -> { }, SLACK).play(softswitches.pacing());
        } finally {
            softswitches.close();
        }
        return new Result(run, softswitches.reconnects(), softswitches.counters());
    }
}
