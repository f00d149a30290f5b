package wingspread.control;

import java.util.Map;

/**
 * The parameters of {@link WindowControl}. Each is declared with its name, its default, its minimum and its
 * maximum.
 */
public final class ControlParameters extends NamedParameters {
    /** The default parameters. */
    public static final ControlParameters DEFAULTS = new ControlParameters(Map.of());

    // The window, after table IV of the paper of Noel and Johnson.

    /** The upper bound of a window. */
    final double windowMax = number("window-max", 100, 1, 10000);
    /** The lower bound of a window. */
    final double windowMin = number("window-min", 0.5, 0, 100);
    /** The increase of a window after each {@link #goodAnswers} good answers. */
    final double windowGain = number("window-gain", 0.1, 0, 100);
    /** The decrease of a window on a bad answer. */
    final double windowCut = number("window-cut", 0.5, 0, 100);
    /** The number of good answers that increase a window. */
    final int goodAnswers = integer("good-answers", 2, 1, 1000);
    /**
     * The share of the aim after which an answer counts as bad; where there is a resend timer, its time
     * counts instead. The paper assumes processors that refuse a set-up before that time.
     */
    final double slowShare = number("slow-share", 0.4, 0, 1);
    /** The initial window. */
    final double windowStart = number("window-start", 2, 0, 10000);
    /** The initial window of the own processor, which limits all set-ups from here. */
    final double ownWindowStart = number("own-window-start", 10, 1, 10000);
    /** The lower bound of the window of the own processor. */
    final double ownWindowMin = number("own-window-min", 1, 1, 10000);
    /**
     * The number of consecutive bad answers, from more than one exchange, from which on the window of the own
     * processor is cut instead of theirs.
     */
    final int ownBadAnswers = integer("own-bad-answers", 3, 1, 1000);
    /** The window toward a processor that has just started; it grows from here with its good answers. */
    final double windowCold = number("window-cold", 2, 0, 10000);

    // Routing.

    /**
     * Trunk reservation: the circuits of a group kept for direct calls, as a multiple of the square root of
     * its size times the mean width of the classes. The width counts because wide calls increase the variance
     * of the occupied circuits.
     */
    final double reserve = number("reserve", 0.6, 0, 10);
    /**
     * The maximum reserve, as a share of the group's circuits less the widest call. Where exchanges are many,
     * groups have few circuits, of which the square root would be half. Drawback: direct calls have less
     * protection where such groups are full.
     */
    final double reserveShare = number("reserve-share", 0.2, 0, 1);
    /** The maximum number of tandems tried for one call; each one costs a third processor work. */
    final int maxTandemsPerCall = integer("tandems", 2, 0, 5);
    /** The number of consecutive crankbacks after which calls to a destination pause their use of tandems. */
    final int crankbacksBeforePause = integer("turn-backs", 2, 1, 1000);
    /** The first pause; each further crankback doubles it. */
    final long alternateGapMicros = time("alternate-gap", 250_000, 0, 60_000_000);
    /** The longest pause. */
    final long alternateGapMaxMicros = time("alternate-gap-max", 8_000_000, 0, 60_000_000);

    /** The minimum of the probability with which a blocked call may try a tandem. */
    final double tandemProbabilityMin = number("round-min", 0.1, 0, 1);
    /** The increase of that probability when a call is established over a tandem. */
    final double tandemProbabilityGain = number("round-gain", 0.5, 0, 1);
    /**
     * The decrease of that probability on a crankback, scaled by the share of senders above
     * {@link #fewSenders}. With very many senders the probability falls while fewer than one call in five is
     * established.
     */
    final double tandemProbabilityCut = number("round-cut", 0.12, 0, 1);

    /**
     * The maximum number of signalling faults of a call after which it is sent again. Such a fault is
     * answered at once and occupies no circuits. Protects against an exchange that answers most set-ups with
     * random faults. Drawback: the repeats cost a busy exchange work.
     */
    final int maxFaultRetries = integer("faults-retried", 5, 0, 6);

    // Time.

    /** The margin of the final answer before the caller's deadline: two ticks of a typical host. */
    final long answerMarginMicros = time("answer-margin", 10_000, 0, 1_000_000);
    /** The minimum time for an attempt; with less, it is not worth its work. */
    final long minAttemptMicros = time("least-limit", 50_000, 0, 10_000_000);
    /** The first wait before a failed request for the list of exchanges is repeated; it doubles each time. */
    final long listRetryMicros = time("list-retry", 1_000_000, 1_000, 60_000_000);
    /** The longest wait before that request is repeated. */
    final long listRetryMaxMicros = time("list-retry-max", 8_000_000, 1_000, 600_000_000);

    // Calls held at source.

    /** The share of its aim for which a blocked call is held; the rest is left for the set-up. */
    final double holdShare = number("hold-share", 0.8, 0, 1);

    // Processors that are cold or unresponsive.

    /** The share of the budget of a cold processor that is used, as the capacity is an estimate. */
    final double coldSafety = number("cold-safety", 0.8, 0, 1);
    /** The capacity of a processor in set-ups, as a multiple of the calls offered by its own subscribers. */
    final double capacityPerOwnCall = number("capacity-per-own-call", 2, 0, 100);
    /** The number of consecutive unanswered set-ups after which a processor counts as unresponsive. */
    final int gapAfterMissedAnswers = integer("silent-after", 2, 1, 1000);
    /**
     * The initial gap between set-ups to an unresponsive processor, which admits less than the minimum
     * window. The gap doubles with each unanswered set-up and is divided with each good answer.
     */
    final long silentGapMicros = time("silent-gap", 500_000, 0, 60_000_000);
    /** The longest gap between set-ups to an unresponsive processor. */
    final long silentGapMaxMicros = time("silent-gap-max", 4_000_000, 0, 600_000_000);
    /** The divisor of the gap at each good answer. */
    final int silentGapDivisor = integer("silent-gap-divisor", 3, 2, 100);
    /**
     * The number of senders up to which each pair detects a fault in time by itself. With more senders, gaps
     * grow in proportion, because all of them call the same exchange.
     */
    final double fewSenders = number("few-senders", 8, 1, 10000);
    /** The time without good answers after which a processor that answers again counts as restarted. */
    final long silentRestartMicros = time("silent-restart", 4_000_000, 0, 600_000_000);

    // Hot numbers.

    /** The initial gap between calls to a number whose lines were busy; it doubles each time they are. */
    final long hotGapMicros = time("hot-gap", 500_000, 0, 60_000_000);
    /** The longest gap between calls to such a number. */
    final long hotGapMaxMicros = time("hot-gap-max", 4_000_000, 0, 600_000_000);
    /** The time after which a number that was not busy again is forgotten. */
    final long hotMemoryMicros = time("hot-memory", 20_000_000, 0, 3_600_000_000L);

    // The baseline rate of calls.

    /**
     * The time constant of the baseline rate of calls from own subscribers; long compared with the rise of a
     * flash crowd.
     */
    final double rateTimeConstantMicros = time("rate-time", 20_000_000, 1_000, 3_600_000_000L);
    /** The minimum time from which a rate is derived. */
    final long rateMinTimeMicros = time("rate-least-time", 1_000_000, 0, 3_600_000_000L);

    /**
     * Creates the default parameters with some overridden.
     *
     * @param overrides the overriding values by name; times in microseconds
     * @throws IllegalArgumentException if a name is unknown or a value invalid, with one line that names the
     *         parameter and what was expected
     */
    public ControlParameters(Map<String, Double> overrides) {
        super(overrides);
        rejectUnknownNames();
        requireOrdered("window-min", "window-start");
        requireOrdered("window-start", "window-max");
        requireOrdered("own-window-min", "own-window-start");
        requireOrdered("alternate-gap", "alternate-gap-max");
        requireOrdered("list-retry", "list-retry-max");
        requireOrdered("silent-gap", "silent-gap-max");
        requireOrdered("hot-gap", "hot-gap-max");
    }
}
