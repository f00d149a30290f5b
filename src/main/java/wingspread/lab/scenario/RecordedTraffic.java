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
 * The fresh calls of a set of recordings, one recording per softswitch, merged into one stream in order of time.
 * Redials, transit calls and repeats of cut calls are omitted: they were consequences of the recorded softswitches'
 * decisions, and the model's callers produce their own.
 */
public final class RecordedTraffic {
    /**
     * A fresh call.
     *
     * @param at time in microseconds since the start of the earliest recording
     * @param origin index of the originating exchange
     * @param callClass index of the class in the scenario
     * @param destination index of the called exchange
     * @param number the called number's keyed hash; 0 for none
     */
    public record Call(long at, int origin, int callClass, int destination, long number) { }

    private final List<Call> calls;

    private RecordedTraffic(List<Call> calls) {
        this.calls = calls;
    }

    /**
     * Merges recordings.
     *
     * @throws TomlException if the recordings do not match the scenario's exchanges or classes
     */
    static RecordedTraffic of(List<Recording> recordings, int exchanges, List<String> classNames) {
        Set<Integer> places = new HashSet<>();
        List<Call> all = new ArrayList<>();
        long start = recordings.stream().mapToLong(Recording::started).min().orElse(0);
        for (Recording recording : recordings) {
            if (recording.place() < 0 || recording.place() >= exchanges || !places.add(recording.place())) {
                throw new TomlException("recorded: place " + recording.place()
                        + " occurs twice or exceeds the scenario's " + exchanges + " exchanges");
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

    /** Returns all calls in order of time. */
    public List<Call> calls() {
        return calls;
    }
}
