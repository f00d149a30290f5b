package wingspread.cli;

/** The modules' own lines tell of one softswitch each; with hundreds of them, and many days, nobody reads them. */
final class QuietModules {
    private static final String MODULE_LOG = "org.slf4j.simpleLogger.log.wingspread.core.Planner";
    private static final String CALL_LOG = "org.slf4j.simpleLogger.log.call";
    /** The stand-ins' connections, of which the softswitches' own logs tell. */
    private static final String CONNECTION_LOG = "org.slf4j.simpleLogger.log.connection";

    /** Turns them off, unless the command line of the JVM says otherwise. */
    void apply() {
        turnOff(MODULE_LOG);
        turnOff(CALL_LOG);
        turnOff(CONNECTION_LOG);
    }

    private static void turnOff(String log) {
        if (System.getProperty(log) == null) {
            System.setProperty(log, "off");
        }
    }
}
