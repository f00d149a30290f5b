package wingspread.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Status;
import wingspread.core.Attempt;
import wingspread.core.Event;
import wingspread.core.Exchanges;
import wingspread.lab.rules.Pushed;

/** An exchange with its processor and its softswitch, which is hosted as it is in service. */
final class Node implements Exchanges {
    private static final int SNAPSHOTS = 64;

    /** What the processor's load was at a time, as its reports will tell it. */
    private record Snapshot(long at, double queue, double maxRate) { }

    final Network network;
    final int place;
    final int region;
    final Processor processor;
    final Pushed pushed = new Pushed();
    /** Whose softswitches know that this processor has started. */
    final Set<Node> informed = new HashSet<>();
    private final Map<String, Offer> offers = new HashMap<>();
    private final Set<Node> changed = new HashSet<>();
    private final ArrayDeque<Snapshot> snapshots = new ArrayDeque<>();
    private final UniformRandomProvider noise;
    private Controller controller;
    private long address;
    private boolean turnAsked;
    private long alarmAt = Long.MAX_VALUE;
    /** What the directory has told last, so that news never overtakes older news. */
    long toldUntil;

    Node(Network network, int place, int region, Processor processor, UniformRandomProvider noise) {
        this.network = network;
        this.place = place;
        this.region = region;
        this.processor = processor;
        this.noise = noise;
    }

    void attach(Controller softswitch, long firstAddress) {
        controller = softswitch;
        address = firstAddress;
    }

    long address() {
        return address;
    }

    /** Another machine stands in for this one: the place stays, the id is new. */
    void replacedBy(long newAddress) {
        address = newAddress;
    }

    // The softswitch.

    void take(Offer offer) {
        offers.put(offer.request.id(), offer);
        post(new Event.Offered(offer.request, offer));
    }

    /** Forgets a call that is closed and has no attempt out or standing. */
    void forgetIfDone(Offer offer) {
        if (offer.closed && (offer.leg == null || offer.leg.over)) {
            offers.remove(offer.request.id(), offer);
        }
    }

    /** A call that is open here, or null. */
    Offer offer(String call) {
        return offers.get(call);
    }

    void post(Event event) {
        controller.post(event);
        askTurn(network.tickAfter(network.now()));
    }

    /** The circuits toward another exchange are others; it is told a little later, several changes in one. */
    void groupChanged(Node other) {
        if (changed.add(other)) {
            askTurn(network.tickAfter(network.now() + network.groupReportDelay()));
        }
    }

    private void askTurn(long at) {
        if (!turnAsked || at < alarmAt) {
            turnAsked = true;
            setAlarm(at);
        }
    }

    private void setAlarm(long at) {
        if (at < alarmAt) {
            alarmAt = at;
            network.time().at(at, () -> {
                if (alarmAt == at) {
                    turn();
                }
            });
        }
    }

    private void turn() {
        alarmAt = Long.MAX_VALUE;
        turnAsked = false;
        for (Node other : orderly(changed)) {
            controller.post(new Event.Reported(other.address, circuits(other)));
        }
        changed.clear();
        controller.turn();
        long due = controller.nextDue();
        if (due != Long.MAX_VALUE) {
            setAlarm(network.tickAfter(Math.max(due, network.now())));
        }
    }

    private static List<Node> orderly(Set<Node> nodes) {
        List<Node> out = new ArrayList<>(nodes);
        out.sort((a, b) -> Integer.compare(a.place, b.place));
        return out;
    }

    // Reports.

    private Report circuits(Node other) {
        return report(other, Double.NaN, Double.NaN);
    }

    private Report report(Node other, double queue, double maxRate) {
        Group group = network.group(this, other);
        int free = group == null ? 0 : group.free();
        int size = group == null ? 0 : group.working();
        return new Report(free, size, Double.NaN, queue, Double.NaN, Double.NaN, maxRate, Double.NaN);
    }

    /** A report on the way in an answer: of the group as it is, of the far processor as it was. */
    Report reportOf(Node other, long late) {
        Snapshot told = null;
        for (Snapshot snapshot : other.snapshots) {
            if (snapshot.at > network.now() - late) {
                break;
            }
            told = snapshot;
        }
        if (told == null) {
            return circuits(other);
        }
        return report(other, Math.rint(told.queue * noisy()), told.maxRate * noisy());
    }

    private double noisy() {
        return Math.max(0, 1 + network.day().reports().noise() * (2 * noise.nextDouble() - 1));
    }

    /** Notes the load for later reports. */
    void sample(double setUpWork) {
        if (snapshots.size() == SNAPSHOTS) {
            snapshots.remove();
        }
        snapshots.add(new Snapshot(network.now(), processor.queued(),
                processor.capacity() / processor.slowness() / setUpWork * 1_000_000));
    }

    // What the softswitch asks of the network.

    @Override
    public void invite(Attempt attempt) {
        network.send(this, offers.get(attempt.request().id()), attempt);
    }

    @Override
    public void withdraw(Attempt attempt) {
        Offer offer = offers.get(attempt.request().id());
        if (offer != null && offer.leg != null && offer.leg.attempt == attempt) {
            network.withdraw(offer.leg, attempt.deadline() <= network.now() ? Status.TIMEOUT : Status.CANCELLED);
        }
    }

    @Override
    public void release(long exchange, String call, int cause) {
        Offer offer = offers.get(call);
        if (offer != null && offer.leg != null && offer.leg.to.address == exchange) {
            offer.closed = true;
            network.releaseOnward(offer.leg, cause);
        }
    }

    @Override
    public void closeIdle(long exchange) {
        // The model has no connections.
    }
}
