package wingspread.lab;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/** Generates random scenarios with random faults at random times. */
final class RandomDay {
    private static final List<String> FAULTS = List.of("kind = 'surge'\nfactor = 1.7\nrise = '500ms'",
            "kind = 'hot-caller'\nexchanges = 1\nshare = 0.3", "kind = 'hot-number'\nshare = 0.3\nlines = 4",
            "kind = 'circuit-loss'\nregion = 0\nkeep = 0.4", "kind = 'slow-processors'\nshare = 0.6\nfactor = 3",
            "kind = 'late-reports'\ndelay = '3s'", "kind = 'crash'\nexchanges = 1",
            "kind = 'silence'\nexchanges = 1", "kind = 'replace'\nexchanges = 2", "kind = 'drain'\nexchanges = 1");

    private RandomDay() { }

    static String toml(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder out = new StringBuilder(String.format(Locale.ROOT, """
                length = "20s"
                tick = "%dms"
                fleet.exchanges = %d
                fleet.erlangs = %d
                load.level = %.2f
                work = {use = %.2f, answers-first = %b, cancel-drops = %b, faults = %.3f}
                callers.impatient = %.2f
                """, random.nextInt(3) * 5, 2 + random.nextInt(6), 20 + random.nextInt(120),
                random.nextDouble(0.5, 1.6), random.nextDouble(0.3, 1), random.nextBoolean(), random.nextBoolean(),
                random.nextDouble(0.1), random.nextDouble(0.3)));
        for (int i = random.nextInt(4); i > 0; i--) {
            out.append(String.format(Locale.ROOT, "[[trouble]]%n%s%nat = '%.1fs'%nfor = '%.1fs'%n",
                    FAULTS.get(random.nextInt(FAULTS.size())), random.nextDouble(15), random.nextDouble(0.5, 10)));
        }
        return out.toString();
    }
}
