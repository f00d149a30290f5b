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
import wingspread.lab.host.SoftswitchEvent;
import wingspread.lab.rules.OfferedWork;

/** An exchange with its processor, and the interface to its softswitch. */
final class Node {
    private static final int MAX_SNAPSHOTS = 64;

    /** The load of the processor at one time, kept for later reports; {@code maxRate} is in set-ups per second. */
    private record Snapshot(long at, double queue, double maxRate) { }

    final Network network;
    final int place;
    final int region;
    final Processor processor;
    final OfferedWork offeredWork = new OfferedWork();
    /** The nodes whose softswitches have been notified of the current start of this node's process. */
    final Set<Node> informedNodes = new HashSet<>();
    private final Map<String, OfferedCall> calls = new HashMap<>();
    private final Set<Node> changedGroups = new HashSet<>();
    private final ArrayDeque<Snapshot> snapshots = new ArrayDeque<>();
    private final UniformRandomProvider noise;
    private List<SoftswitchEvent> pendingEvents = new ArrayList<>();
    private long address;
    /** Time of the softswitch's next turn in microseconds; {@link Long#MAX_VALUE} if none is requested. */
    long nextTurnAt = Long.MAX_VALUE;
    /** Time of the last delivery from the directory, so that no update overtakes an earlier one. */
    long lastDeliveryAt;

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

    /** Assigns the address of the replacement machine; the place stays the same. */
    void setAddress(long newAddress) {
        address = newAddress;
    }

    // Interface to the softswitch.

    void acceptCall(OfferedCall offer) {
        calls.put(offer.request.id(), offer);
        post(new SoftswitchEvent.Offered(offer.request));
    }

    /** Removes a call that is closed and has neither a pending nor an established attempt. */
    void removeIfDone(OfferedCall offer) {
        if (offer.closed && (offer.leg == null || offer.leg.ended)) {
            calls.remove(offer.request.id(), offer);
        }
    }

    /** Queues an event for the softswitch's next turn. */
    void post(SoftswitchEvent happening) {
        pendingEvents.add(happening);
        network.turns().requestTurn(this, network.now());
    }

    /** Schedules a report of the circuits towards another exchange; changes within the report delay are combined. */
    void onGroupChanged(Node other) {
        if (changedGroups.add(other)) {
            network.turns().requestTurn(this, network.now() + network.groupReportDelay());
        }
    }

    /** Returns and clears the events since the last turn, with a report for each changed group. */
    List<SoftswitchEvent> takePendingEvents() {
        List<SoftswitchEvent> out = pendingEvents;
        pendingEvents = new ArrayList<>();
        for (Node other : sortedByPlace(changedGroups)) {
            out.add(new SoftswitchEvent.Reported(other.address, circuitReport(other)));
        }
        changedGroups.clear();
        return out;
    }

    /** Applies an effect of the softswitch to the network. */
    void applyEffect(Effect effect) {
        OfferedCall offer = calls.get(effect.call());
        if (effect instanceof Effect.Invite e) {
            network.send(this, offer, e);
        } else if (effect instanceof Effect.Withdraw e) {
            if (offer != null && offer.leg != null && offer.leg.attempt.attempt() == e.attempt()) {
                network.cancelAttempt(offer.leg, e.status());
            }
        } else if (effect instanceof Effect.Release e) {
            if (offer != null && offer.leg != null && offer.leg.to.address == e.exchange()) {
                offer.closed = true;
                network.sendReleaseForward(offer.leg, e.cause());
            }
        } else if (effect instanceof Effect.Ended e) {
            if (offer != null) {
                offer.ended(e.cause());
            }
        } else if (offer == null) {
            network.rules().unknownCallAnswered(effect.call(), place, network.now());
        } else if (effect instanceof Effect.Established) {
            offer.established();
        } else if (effect instanceof Effect.Refused e) {
            offer.refused(e.advised());
        } else if (effect instanceof Effect.Failed) {
            offer.refused(0);
        }
    }

    private static List<Node> sortedByPlace(Set<Node> nodes) {
        List<Node> out = new ArrayList<>(nodes);
        out.sort((a, b) -> Integer.compare(a.place, b.place));
        return out;
    }

    // Reports.

    private Report circuitReport(Node other) {
        return report(other, Double.NaN, Double.NaN);
    }

    private Report report(Node other, double queue, double maxRate) {
        CircuitGroup group = network.group(this, other);
        int free = group == null ? 0 : group.free();
        int size = group == null ? 0 : group.working();
        return new Report(free, size, Double.NaN, queue, Double.NaN, Double.NaN, maxRate, Double.NaN);
    }

    /**
     * Returns the report that an answer carries: the current state of the group, and the load of the far processor as
     * it was {@code delay} microseconds ago.
     */
    Report reportOf(Node other, long delay) {
        Snapshot latest = null;
        for (Snapshot snapshot : other.snapshots) {
            if (snapshot.at > network.now() - delay) {
                break;
            }
            latest = snapshot;
        }
        if (latest == null) {
            return circuitReport(other);
        }
        return report(other, Math.rint(latest.queue * noiseFactor()), latest.maxRate * noiseFactor());
    }

    private double noiseFactor() {
        return Math.max(0, 1 + network.day().reports().noise() * (2 * noise.nextDouble() - 1));
    }

    /** Records the current load for later reports; {@code setUpWork} is the work of one set-up in microseconds. */
    void sample(double setUpWork) {
        if (snapshots.size() == MAX_SNAPSHOTS) {
            snapshots.remove();
        }
        snapshots.add(new Snapshot(network.now(), processor.queued(),
                processor.capacity() / processor.slowness() / setUpWork * 1_000_000));
    }
}
