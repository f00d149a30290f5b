package wingspread.cli;

/**
 * Turns off loggers of the softswitches that run in this process.
 *
 * <p>Each line concerns a single softswitch; with hundreds of them over many simulated days, nobody reads these lines.
 */
final class LogSilencer {
    private static final String PLANNER_LOG = "org.slf4j.simpleLogger.log.wingspread.core.Planner";
    private static final String CALL_LOG = "org.slf4j.simpleLogger.log.call";
    /** The stand-ins' connections; the softswitches log the same connections on their side. */
    private static final String CONNECTION_LOG = "org.slf4j.simpleLogger.log.connection";

    /** Turns the loggers off, except those whose level the JVM's command line sets. */
    void apply() {
        turnOff(PLANNER_LOG);
        turnOff(CALL_LOG);
        turnOff(CONNECTION_LOG);
    }

    private static void turnOff(String log) {
        if (System.getProperty(log) == null) {
            System.setProperty(log, "off");
        }
    }
}
