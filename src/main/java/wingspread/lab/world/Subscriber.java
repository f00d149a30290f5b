package wingspread.lab.world;

import java.util.HexFormat;
import org.apache.commons.rng.UniformRandomProvider;
import wingspread.core.Planner;
import wingspread.core.Request;
import wingspread.lab.host.SoftswitchEvent;
import wingspread.lab.measure.Tally;
import wingspread.lab.rules.TrackedCall;
import wingspread.lab.scenario.Day;

/**
 * Simulates a caller and its one call, from the fresh call on: the caller waits, abandons the call, redials under a new
 * call id, or has an established call cut. Each caller has a random stream of its own.
 */
final class Subscriber {
    private static final byte[] DESCRIPTION = new byte[0];

    private final Network network;
    private final Node origin;
    private final int callClass;
    private final Day.ClassOfCall classOfCall;
    private final int destination;
    private final String number;
    private final long holding;
    private final UniformRandomProvider random;
    private final Tally.Entry entry;
    private final long firstOfferedAt;
    private int redialsLeft;
    private int callsOffered;
    /**
     * Latest time at which the call must be established to earn its full value. Measured from the fresh call, or from
     * the cut for a call that is offered again after it.
     */
    private long aimDeadline;

    Subscriber(Network network, Node origin, int callClass, int destination, String number, long holding,
            UniformRandomProvider random) {
        this.network = network;
        this.origin = origin;
        this.callClass = callClass;
        this.classOfCall = network.day().classes().get(callClass);
        this.destination = destination;
        this.number = number;
        this.holding = holding;
        this.random = random;
        this.firstOfferedAt = network.now();
        this.aimDeadline = firstOfferedAt + classOfCall.aim();
        this.entry = network.tally().recordFreshCall(callClass, firstOfferedAt - network.start());
        double redials = network.day().callers().redials();
        this.redialsLeft = (int) redials + (random.nextDouble() < redials - (int) redials ? 1 : 0);
    }

    /** Offers the call; {@code cut} marks a call that is offered again because it was cut. */
    void dial(boolean cut) {
        long now = network.now();
        Day.Callers habits = network.day().callers();
        long patience = Math.min(Math.round(habits.patience() * classOfCall.deadline()),
                firstOfferedAt + classOfCall.deadline() - now);
        if (cut) {
            patience = Math.round(habits.patience() * classOfCall.deadline());
        }
        boolean redial = callsOffered > 0;
        String id = HexFormat.of().toHexDigits(network.nextCallId());
        Request request = new Request(id, classOfCall.name(), callClass, number, DESCRIPTION, now + patience,
                destination, classOfCall.width(), -1, redial && habits.marked(), false, cut);
        SubscriberCall call = new SubscriberCall(origin, request,
                network.rules().callAccepted(id, origin.place, request.deadline(), -1));
        callsOffered++;
        network.tally().recordCallOffer(redial, now - network.start());
        origin.processor.submitSetUp(network.work(network.day().work().look()), () -> { });
        origin.acceptCall(call);
        if (random.nextDouble() < habits.impatient()) {
            network.time().scheduleIn(Math.round(patience * random.nextDouble()), call::abandon);
        }
    }

    private void scheduleRedial(long retryAfter) {
        Day.Callers habits = network.day().callers();
        double randomFactor = 0.75 + 0.5 * random.nextDouble();
        boolean honoursRetryAfter = random.nextDouble() < habits.honour();
        if (redialsLeft == 0) {
            network.tally().recordLost(entry, network.now() > aimDeadline);
            return;
        }
        redialsLeft--;
        long wait = Math.round(habits.backoff() * randomFactor * (habits.doubling() ? 1L << callsOffered - 1 : 1));
        if (honoursRetryAfter) {
            wait = Math.max(wait, Math.min(retryAfter, habits.maxAdvisedWait()));
        }
        if (network.now() + wait >= firstOfferedAt + classOfCall.deadline()) {
            network.tally().recordLost(entry, network.now() > aimDeadline);
        } else {
            network.time().scheduleIn(wait, () -> dial(false));
        }
    }

    /** One call offer to the softswitch of the caller's own exchange. */
    private final class SubscriberCall extends OfferedCall {
        private boolean established;
        /** Whether the caller has abandoned this offer; answers still on their way are then ignored. */
        private boolean abandoned;

        SubscriberCall(Node node, Request request, TrackedCall trackedCall) {
            super(node, request, trackedCall);
        }

        void abandon() {
            if (!established && !closed) {
                closed = true;
                abandoned = true;
                network.rules().callerAbandoned(trackedCall);
                network.tally().recordAbandoned();
                network.tally().addWastedWork(network.work(network.day().work().look()));
                node.post(new SoftswitchEvent.CallerAbandoned(request.id()));
                scheduleRedial(0);
            }
        }

        @Override
        void onEstablished() {
            if (abandoned) {
                return;
            }
            established = true;
            network.tally().recordEstablished(entry, network.now() - (aimDeadline - classOfCall.aim()),
                    network.now() <= aimDeadline, leg != null && leg.to.place != destination);
            network.time().scheduleIn(holding, () -> {
                if (leg != null && !leg.ended) {
                    network.hangUp(leg);
                }
            });
        }

        @Override
        void onRefused(long retryAfter) {
            if (!abandoned) {
                scheduleRedial(retryAfter);
            }
        }

        @Override
        void onEnded(int cause) {
            if (!abandoned && cause != Planner.CAUSE_NORMAL_CLEARING) {
                network.tally().recordCut(entry);
                if (random.nextDouble() < network.day().callers().again()) {
                    aimDeadline = network.now() + classOfCall.aim();
                    dial(true);
                }
            }
        }
    }
}
