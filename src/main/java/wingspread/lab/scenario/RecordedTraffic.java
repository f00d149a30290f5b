package wingspread.lab.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wingspread.record.RecordedCall;
import wingspread.record.Recording;
import wingspread.toml.TomlException;

/**
 * First tries of recordings, one recording for each softswitch, as one stream of calls in the order of their times.
 * What callers did after a refusal was that softswitch's doing: redials, calls in transit and calls that came again
 * are left out, for the model's callers do so themselves.
 */
public final class RecordedTraffic {
    /** A call: microseconds from the first, place of origin, index of its class in the scenario. */
    public record Call(long at, int origin, int callClass, int destination, long number) { }

    private final List<Call> calls;

    private RecordedTraffic(List<Call> calls) {
        this.calls = calls;
    }

    /**
     * Joins recordings.
     *
     * @throws TomlException where they do not fit the scenario: its exchanges or its classes
     */
    static RecordedTraffic of(List<Recording> recordings, int exchanges, List<String> classNames) {
        Set<Integer> places = new HashSet<>();
        List<Call> all = new ArrayList<>();
        long start = recordings.stream().mapToLong(Recording::started).min().orElse(0);
        for (Recording recording : recordings) {
            if (recording.place() < 0 || recording.place() >= exchanges || !places.add(recording.place())) {
                throw new TomlException("recorded: place " + recording.place()
                        + " is named twice or beyond the scenario's " + exchanges + " exchanges");
            }
            int[] classes = recording.classes().stream().mapToInt(classNames::indexOf).toArray();
            for (RecordedCall call : recording.calls()) {
                if (call.redial() || call.transit() || call.cut()) {
                    continue;
                }
                if (classes[call.callClass()] < 0) {
                    throw new TomlException("recorded: the scenario has no class '"
                            + recording.classes().get(call.callClass()) + "'");
                }
                if (call.destination() < 0 || call.destination() >= exchanges
                        || call.destination() == recording.place()) {
                    throw new TomlException("recorded: a call to exchange " + call.destination() + " of " + exchanges
                            + " from exchange " + recording.place());
                }
                all.add(new Call(recording.started() - start + call.at(), recording.place(),
                        classes[call.callClass()], call.destination(), call.number()));
            }
        }
        all.sort(Comparator.comparingLong(Call::at).thenComparingInt(Call::origin));
        return new RecordedTraffic(List.copyOf(all));
    }

    /** All calls in order. */
    public List<Call> calls() {
        return calls;
    }
}
