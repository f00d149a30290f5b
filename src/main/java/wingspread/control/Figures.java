package wingspread.control;

import java.util.Map;

/** The figures of the window control; each says what it is, its usual value, its least and its most. */
public final class Figures extends NamedFigures {
    /** The usual figures. */
    public static final Figures USUAL = new Figures(Map.of());

    // The window, from the paper's table IV.

    /** Bounds of a window. */
    final double windowMax = number("window-max", 100, 1, 10000);
    final double windowMin = number("window-min", 0.5, 0, 100);
    /** Gain of a window each time the counter of good answers is full, and its loss on a bad one. */
    final double windowGain = number("window-gain", 0.1, 0, 100);
    final double windowCut = number("window-cut", 0.5, 0, 100);
    final int goodAnswers = whole("good-answers", 2, 1, 1000);
    /**
     * An answer that took longer than this share of the aim, or than the resend timer where there is one, is
     * a bad one: the paper assumes processors that refuse before that.
     */
    final double slowShare = number("slow-share", 0.4, 0, 1);
    /** Window at the start. */
    final double windowStart = number("window-start", 2, 0, 10000);
    /**
     * The own processor has a window too, over all set-ups from here: its start and its least. It is cut when
     * so many bad answers in a row come from more than one exchange, and then in place of theirs.
     */
    final double ownWindowStart = number("own-window-start", 10, 1, 10000);
    final double ownWindowMin = number("own-window-min", 1, 1, 10000);
    final int ownBadAnswers = whole("own-bad-answers", 3, 1, 1000);
    /** Window toward a processor that has just started: it grows from here on its answers. */
    final double windowCold = number("window-cold", 2, 0, 10000);

    // Routes.

    /**
     * Circuits kept for direct calls on a group, in square roots of its size times the mean width of the
     * classes: trunk reservation. Wide calls make the occupied circuits vary more.
     */
    final double reserve = number("reserve", 0.6, 0, 10);
    /**
     * But no more than this share of what the group has beside the widest call: where exchanges are many,
     * groups are of few circuits and the root is half of them. May hurt where those are full.
     */
    final double reserveShare = number("reserve-share", 0.2, 0, 1);
    /** Tandems tried for one call at the most; each further one costs a third processor its work. */
    final int maxTandemsPerCall = whole("tandems", 2, 0, 5);
    /** Turn-backs in a row after which calls to a destination pause before they try tandems; the pause. */
    final int crankbacksBeforePause = whole("turn-backs", 2, 1, 1000);
    final long alternateGapMicros = time("alternate-gap", 250_000, 0, 60_000_000);
    final long alternateGapMaxMicros = time("alternate-gap-max", 8_000_000, 0, 60_000_000);

    /**
     * The window over all sends to tandems from here, at most one and so a probability: its least, its gain
     * when a call stands over a tandem, and its loss when one does not, by the share of senders beyond few.
     * With very many senders it shrinks while fewer than one in five stands.
     */
    final double tandemProbabilityMin = number("round-min", 0.1, 0, 1);
    final double tandemProbabilityGain = number("round-gain", 0.5, 0, 1);
    final double tandemProbabilityCut = number("round-cut", 0.12, 0, 1);

    /**
     * Signalling faults, answered at once and holding nothing, after which a call is sent again: guards
     * against an exchange that answers most set-ups so, by chance. May hurt where it costs a busy one work.
     */
    final int maxFaultRetries = whole("faults-retried", 5, 0, 6);

    // Time.

    /** A final answer is given so long before the caller's time is up: two ticks of a usual host. */
    final long answerMarginMicros = time("answer-margin", 10_000, 0, 1_000_000);
    /** An attempt with less time than this is not worth its work. */
    final long minAttemptMicros = time("least-limit", 50_000, 0, 10_000_000);
    /** First wait before a failed call to the list of exchanges is repeated; it doubles up to the longest. */
    final long listRetryMicros = time("list-retry", 1_000_000, 1_000, 60_000_000);
    final long listRetryMaxMicros = time("list-retry-max", 8_000_000, 1_000, 600_000_000);

    // Calls held at source, and redials.

    /** A blocked call is held until this share of its aim has passed; the rest is for the set-up. */
    final double holdShare = number("hold-share", 0.8, 0, 1);

    // Processors that are cold or silent.

    /** Share of the cold budget that is used: the estimate of capacity may be off. */
    final double coldSafety = number("cold-safety", 0.8, 0, 1);
    /** A processor's capacity in set-ups, over the calls that an exchange's own subscribers offer. */
    final double capacityPerOwnCall = number("capacity-per-own-call", 2, 0, 100);
    /** Unanswered set-ups in a row after which a processor counts as silent. */
    final int gapAfterMissedAnswers = whole("silent-after", 2, 1, 1000);
    /**
     * A silent processor gets one set-up in this time, a window of less than its least. The gap doubles with
     * each set-up that goes unanswered and is divided with each good answer.
     */
    final long silentGapMicros = time("silent-gap", 500_000, 0, 60_000_000);
    final long silentGapMaxMicros = time("silent-gap-max", 4_000_000, 0, 600_000_000);
    final int silentGapDivisor = whole("silent-gap-divisor", 3, 2, 100);
    /** So few senders see a pair's trouble in time. With more, gaps grow in proportion: all call it. */
    final double fewSenders = number("few-senders", 8, 1, 10000);
    /** A processor that was silent for this long and answers again is held to have started anew. */
    final long silentRestartMicros = time("silent-restart", 4_000_000, 0, 600_000_000);

    // Hot numbers.

    /** Gap between calls to a number whose lines were busy. */
    final long hotGapMicros = time("hot-gap", 500_000, 0, 60_000_000);
    final long hotGapMaxMicros = time("hot-gap-max", 4_000_000, 0, 600_000_000);
    /** A number is forgotten when it was not busy for so long. */
    final long hotMemoryMicros = time("hot-memory", 20_000_000, 0, 3_600_000_000L);

    /**
     * Time constant of the usual rate at which own subscribers call, long beside a crowd's rise, and the
     * least time that a rate is told from.
     */
    final double rateTimeConstantMicros = time("rate-time", 20_000_000, 1_000, 3_600_000_000L);
    final long rateMinTimeMicros = time("rate-least-time", 1_000_000, 0, 3_600_000_000L);

    /**
     * The usual figures, but for those given by name; times in microseconds.
     *
     * @throws IllegalArgumentException with one line that names the figure and what was expected of it
     */
    public Figures(Map<String, Double> given) {
        super(given);
        noOthers();
        ordered("window-min", "window-start");
        ordered("window-start", "window-max");
        ordered("own-window-min", "own-window-start");
        ordered("alternate-gap", "alternate-gap-max");
        ordered("list-retry", "list-retry-max");
        ordered("silent-gap", "silent-gap-max");
        ordered("hot-gap", "hot-gap-max");
    }
}
