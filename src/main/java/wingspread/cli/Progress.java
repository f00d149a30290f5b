package wingspread.cli;

import java.io.PrintWriter;
import java.util.Locale;

/** A bar on the error output, where somebody sits before a terminal. Runs on several threads count on it. */
final class Progress {
    private static final int WIDTH = 30;

    private final PrintWriter err;
    private final boolean shown;
    private int done;

    Progress(PrintWriter err, boolean shown) {
        this.err = err;
        this.shown = shown;
    }

    /** A bar for a terminal, nothing for a file or a pipe. */
    static Progress on(PrintWriter err) {
        return new Progress(err, System.console() != null);
    }

    /** One more of so many is done. */
    synchronized void step(int of, String what) {
        done++;
        if (shown) {
            int full = (int) Math.min(WIDTH, (long) WIDTH * done / Math.max(1, of));
            err.printf(Locale.ROOT, "\r[%s%s] %d of at most %d %s", "#".repeat(full), ".".repeat(WIDTH - full), done,
                    of, what);
            err.flush();
        }
    }

    /** Leaves the line as it stands. */
    synchronized void end() {
        if (shown) {
            err.println();
            err.flush();
        }
    }
}
