package wingspread.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import wingspread.lab.scenario.Scenario;
import wingspread.testbed.Testbed;

/** Prints the result of a run of the testbed. */
final class TestbedTable {
    private TestbedTable() { }

    /**
     * Prints the result.
     *
     * @param folder the directory of the softswitches' logs
     * @return the exit code: 1 if a rule was broken, else 0
     */
    static int print(PrintWriter out, Scenario scenario, Testbed.Result result, Path folder) {
        out.printf(Locale.ROOT, "%s: %s%n", scenario.name(), scenario.about());
        LabRun.print(out, List.of(result.run()));
        out.printf(Locale.ROOT, "%d calls over real softswitches, %d connections opened anew; logs in %s%n",
                result.run().calls(), result.reconnects(), folder);
        result.counters().forEach(line -> out.println(line.replaceFirst("^.*counters ", "  ")));
        out.flush();
        return result.run().breachCount() > 0 ? 1 : 0;
    }
}
