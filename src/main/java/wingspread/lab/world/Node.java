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
import wingspread.lab.host.Effect;
import wingspread.lab.host.Happening;
import wingspread.lab.rules.Pushed;

/** An exchange with its processor, and what its softswitch hears and does. */
final class Node {
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
    private List<Happening> inbox = new ArrayList<>();
    private long address;
    /** When its softswitch takes its next turn; {@link Long#MAX_VALUE} where nothing asks for one. */
    long turnAt = Long.MAX_VALUE;
    /** What the directory has told last, so that news never overtakes older news. */
    long toldUntil;

    Node(Network network, int place, int region, long address, Processor processor, UniformRandomProvider noise) {
        this.network = network;
        this.place = place;
        this.region = region;
        this.address = address;
        this.processor = processor;
        this.noise = noise;
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
        post(new Happening.Offered(offer.request));
    }

    /** Forgets a call that is closed and has no attempt out or standing. */
    void forgetIfDone(Offer offer) {
        if (offer.closed && (offer.leg == null || offer.leg.over)) {
            offers.remove(offer.request.id(), offer);
        }
    }

    /** Something happened that its softswitch hears of in its next turn. */
    void post(Happening happening) {
        inbox.add(happening);
        network.turns().ask(this, network.now());
    }

    /** The circuits toward another exchange are others; it is told a little later, several changes in one. */
    void groupChanged(Node other) {
        if (changed.add(other)) {
            network.turns().ask(this, network.now() + network.groupReportDelay());
        }
    }

    /** All that has happened since the last turn. */
    List<Happening> drain() {
        List<Happening> out = inbox;
        inbox = new ArrayList<>();
        for (Node other : orderly(changed)) {
            out.add(new Happening.Reported(other.address, circuits(other)));
        }
        changed.clear();
        return out;
    }

    /** Carries out what its softswitch does. */
    void carryOut(Effect effect) {
        Offer offer = offers.get(effect.call());
        if (effect instanceof Effect.Invite e) {
            network.send(this, offer, e);
        } else if (effect instanceof Effect.Withdraw e) {
            if (offer != null && offer.leg != null && offer.leg.attempt.attempt() == e.attempt()) {
                network.withdraw(offer.leg, e.status());
            }
        } else if (effect instanceof Effect.Release e) {
            if (offer != null && offer.leg != null && offer.leg.to.address == e.exchange()) {
                offer.closed = true;
                network.releaseOnward(offer.leg, e.cause());
            }
        } else if (effect instanceof Effect.Over e) {
            if (offer != null) {
                offer.over(e.cause());
            }
        } else if (offer == null) {
            network.rules().answeredAstray(effect.call(), place, network.now());
        } else if (effect instanceof Effect.Stands) {
            offer.stands();
        } else if (effect instanceof Effect.Refused e) {
            offer.refused(e.advised());
        } else if (effect instanceof Effect.Failed) {
            offer.refused(0);
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
}
