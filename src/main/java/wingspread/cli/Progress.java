package wingspread.cli;

import java.io.PrintWriter;
import java.util.Locale;

/** A progress bar on the error output, shown only on a terminal. Safe for use by several threads. */
final class Progress {
    private static final int WIDTH = 30;

    private final PrintWriter err;
    private final boolean visible;
    private int done;

    Progress(PrintWriter err, boolean visible) {
        this.err = err;
        this.visible = visible;
    }

    /** Returns a progress bar that is shown if the program has a console, and not for a file or a pipe. */
    static Progress forConsole(PrintWriter err) {
        return new Progress(err, System.console() != null);
    }

    /**
     * Counts one completed step and redraws the bar.
     *
     * @param max upper bound of the number of steps
     * @param unit what the steps are, in the plural
     */
    synchronized void step(int max, String unit) {
        done++;
        if (visible) {
            int filled = (int) Math.min(WIDTH, (long) WIDTH * done / Math.max(1, max));
            err.printf(Locale.ROOT, "\r[%s%s] %d of at most %d %s", "#".repeat(filled), ".".repeat(WIDTH - filled),
                    done, max, unit);
            err.flush();
        }
    }

    /** Ends the line and leaves the bar on it as last drawn. */
    synchronized void end() {
        if (visible) {
            err.println();
            err.flush();
        }
    }
}
