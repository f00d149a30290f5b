package wingspread.cli;

/** The modules' own lines tell of one softswitch each; with hundreds of them, and many days, nobody reads them. */
final class QuietModules {
    private static final String MODULE_LOG = "org.slf4j.simpleLogger.log.wingspread.core.Planner";

    /** Turns them off, unless the command line of the JVM says otherwise. */
    void apply() {
        if (System.getProperty(MODULE_LOG) == null) {
            System.setProperty(MODULE_LOG, "off");
        }
    }
}
