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
 * Runs one day of a scenario with real softswitch processes. Each process takes about 50 MB of memory and has a
 * connection to every exchange, so the machine limits the size of the fleet. The simulator's model plays the exchanges,
 * circuits, callers and faults and checks the rules; it runs in wall-clock time and exchanges messages with the
 * softswitches over sockets. The same scenario file can therefore be run in the simulator and here, and the results
 * compared.
 */
public final class Testbed {
    /** Added to the rules' time limits to allow for the delays of sockets, polling and the machine's scheduler. */
    private static final long TOLERANCE_MICROS = 30_000;
    private static final String TICK = "tick = \"1ms\"";

    private final Scenario scenario;
    private final long seed;
    private final Path folder;
    private final String storm;
    private final int connections;
    private final List<Fault> faults;

    /**
     * Result of a run.
     *
     * @param reconnects number of connections of callers that were opened again after they ended
     * @param counters one line for each softswitch process that shut down gracefully
     */
    public record Result(Model.Run run, long reconnects, List<String> counters) { }

    /**
     * Prepares a run without starting it.
     *
     * @param seed seed of the random numbers of the day
     * @param folder directory for the configurations and logs of the softswitches
     * @param storm text of the softswitches' {@code deploy/storm.toml}; null for no such file
     * @param connections number of connections that the callers of each softswitch share
     * @param faults faults to inject into the softswitches
     * @throws HostException if a fault names a place that does not exist
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
            throw new HostException("--fault: the place must be between 0 and " + (places - 1));
        }
    }

    /**
     * Starts the softswitches, plays the day and shuts the softswitches down. Takes a few seconds longer than the day.
     */
    public Result play() {
        Streams streams = new Streams(seed, 0);
        Day day = scenario.day(streams);
        SocketSoftswitches softswitches = new SocketSoftswitches(folder, storm, connections, faults);
        Model.Run run;
        try {
            run = new Model(day, streams, streams, softswitches, call -> { }, TOLERANCE_MICROS)
                    .run(softswitches.pacing());
        } finally {
            softswitches.close();
        }
        return new Result(run, softswitches.reconnects(), softswitches.counters());
    }
}
