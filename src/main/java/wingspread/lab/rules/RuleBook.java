package wingspread.lab.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wingspread.control.CallControl.Obligations;
import wingspread.control.CallControl.Status;
import wingspread.lab.rules.Breach.Rule;

/**
 * Watches from outside what each softswitch sends and answers, and notes every breach of the platform's rules. It
 * shares no code with what it watches. The first breaches are kept in words, all are counted.
 */
public final class RuleBook {
    private static final int MOST_KEPT = 100;

    private final Obligations rules;
    private final int maxAttempts;
    private final long release;
    private final long start;
    private final List<Breach> breaches = new ArrayList<>();
    private final Set<Taken> open = new LinkedHashSet<>();
    private final StandingCalls standing;
    /** For each softswitch's place, when it was told that an exchange takes no more work. */
    private final Map<Integer, Map<Long, Long>> toldAway = new HashMap<>();
    private final Map<Integer, Set<Long>> named = new HashMap<>();
    private long counted;

    /** A book for one run that starts at a time; {@code release} is the pause of the rule on release. */
    public RuleBook(Obligations rules, int maxAttempts, long release, long start) {
        this.rules = rules;
        this.maxAttempts = maxAttempts;
        this.release = release;
        this.start = start;
        this.standing = new StandingCalls(rules.answerGrace());
    }

    /** A softswitch has taken a call; {@code onlyTo} is the place of its destination in transit, else -1. */
    public Taken taken(String call, int place, long deadline, int onlyTo) {
        Taken taken = new Taken(call, place, deadline, onlyTo);
        open.add(taken);
        return taken;
    }

    /** The caller has gone; no answer is owed. */
    public void givenUp(Taken taken) {
        taken.givenUp = true;
        open.remove(taken);
    }

    /** A final answer. */
    public void answered(Taken taken, long now) {
        taken.answers++;
        open.remove(taken);
        if (taken.answers > 1) {
            breach(Rule.ONE_ANSWER, taken, now, "answer number " + taken.answers);
        } else if (now > taken.deadline + rules.answerGrace()) {
            breach(Rule.ONE_ANSWER, taken, now, (now - taken.deadline) / 1000 + " ms after its caller's time");
        }
    }

    /** A set-up leaves for an exchange with this address at this place. */
    public void sent(Taken taken, long address, int toPlace, long now) {
        taken.attempts++;
        if (taken.out) {
            breach(Rule.ONE_ATTEMPT, taken, now, "a second attempt beside one that is out");
        }
        if (taken.attempts > maxAttempts) {
            breach(Rule.ONE_ATTEMPT, taken, now, "attempt number " + taken.attempts);
        }
        if (!taken.owed()) {
            breach(Rule.ONE_ANSWER, taken, now, "a set-up after the call was closed");
        }
        if (now < taken.notBefore) {
            breach(Rule.RELEASE_FIRST, taken, now, "sent " + (taken.notBefore - now) / 1000 + " ms too early");
        }
        Long away = toldAway.getOrDefault(taken.place, Map.of()).get(address);
        if (away != null && now > away + rules.drainGrace()) {
            breach(Rule.CLEAN_DRAIN, taken, now, "sent to exchange " + toPlace + " " + (now - away) / 1000
                    + " ms after it was told to take no more");
        }
        if (!named.getOrDefault(taken.place, Set.of()).contains(address)) {
            breach(Rule.ROUTE, taken, now, "sent to an exchange that no list has named");
        }
        if (toPlace == taken.place || taken.onlyTo >= 0 && toPlace != taken.onlyTo) {
            breach(Rule.ROUTE, taken, now, "sent to exchange " + toPlace + ", where it may not go");
        }
        taken.out = true;
    }

    /** A call stands: its caller is owed word of its end. */
    public void stood(String call, int place) {
        standing.stood(call, place);
    }

    /** A call that stood is over, and no release of it could be sent to its softswitch. */
    public void over(String call, long now) {
        standing.over(call, now);
    }

    /** An exchange has sent its softswitch the release of a call that stood. */
    public void released(String call, long now) {
        standing.released(call, now);
    }

    /** The release of a call went to a process that was killed outright before it could tell of it. */
    public void unsent(String call) {
        standing.unsent(call);
    }

    /** The caller has heard of the end of its call, or has ended it. */
    public void toldOver(String call, long now) {
        standing.told(call, now).ifPresent(this::note);
    }

    /** Nothing is owed on a call that stood; the reason is one of those that the pages name. */
    public void excused(String call) {
        standing.forget(call);
    }

    /** Something else is wrong, as {@code rule} says. */
    public void broken(Rule rule, String call, int place, long now, String what) {
        note(new Breach(rule, call, place, now - start, what));
    }

    /** A set-up leaves for a call that is not open, or for an exchange that never was. */
    public void sentAstray(String call, int place, long now) {
        note(new Breach(Rule.ROUTE, call, place, now - start, "a set-up for a call or toward an exchange unknown"));
    }

    /** An answer to a call that is closed or was never taken. */
    public void answeredAstray(String call, int place, long now) {
        note(new Breach(Rule.ONE_ANSWER, call, place, now - start, "an answer to a call that is not open"));
    }

    /** An attempt ended, as the softswitch was told or has decided. */
    public void ended(Taken taken, Status status, long now) {
        taken.out = false;
        if (status == Status.TIMEOUT || status == Status.RESET || status == Status.CANCELLED) {
            taken.notBefore = now + release;
        }
    }

    /** A softswitch is told of an exchange; {@code away} where it drains or has gone. */
    public void told(int place, long address, boolean away, long now) {
        named.computeIfAbsent(place, p -> new LinkedHashSet<>()).add(address);
        Map<Long, Long> byAddress = toldAway.computeIfAbsent(place, p -> new HashMap<>());
        if (away) {
            byAddress.putIfAbsent(address, now);
        } else {
            byAddress.remove(address);
        }
    }

    /** A cold exchange was pushed over by softswitches that mostly knew. */
    public void pushedOver(int place, long now) {
        note(new Breach(Rule.FAIL_BACK, "-", place, now - start, "it was sent more than it could take"));
    }

    /** The run is over: every answer that is still owed is one too few. */
    public void close(long now) {
        for (Taken taken : List.copyOf(open)) {
            if (taken.deadline + rules.answerGrace() < now) {
                breach(Rule.ONE_ANSWER, taken, now, "never answered");
            }
        }
        standing.neverTold(now).forEach(this::note);
    }

    private void breach(Rule rule, Taken taken, long now, String what) {
        note(new Breach(rule, taken.call, taken.place, now - start, what));
    }

    private void note(StandingCalls.Late late) {
        note(new Breach(Rule.RELEASE_TOLD, late.call(), late.place(), late.at() - start, late.what()));
    }

    private void note(Breach breach) {
        counted++;
        if (breaches.size() < MOST_KEPT) {
            breaches.add(breach);
        }
    }

    /** The first breaches in the order in which they came. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    /** Calls that are owed an answer. */
    public int owed() {
        return open.size();
    }

    /** How many there were in all. */
    public long counted() {
        return counted;
    }
}
