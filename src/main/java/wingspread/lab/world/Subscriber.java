package wingspread.lab.world;

import java.util.HexFormat;
import org.apache.commons.rng.UniformRandomProvider;
import wingspread.core.Planner;
import wingspread.core.Request;
import wingspread.lab.host.Happening;
import wingspread.lab.measure.Tally;
import wingspread.lab.rules.Taken;
import wingspread.lab.scenario.Day;

/**
 * A caller with one call in mind, from its first try on: it waits, gives up, dials again under a new id, or has its
 * call cut. Whatever it draws comes from a stream of its own.
 */
final class Subscriber {
    private static final byte[] DESCRIPTION = new byte[0];

    private final Network network;
    private final Node origin;
    private final int callClass;
    private final Day.ClassOfCall kind;
    private final int destination;
    private final String number;
    private final long holding;
    private final UniformRandomProvider random;
    private final Tally.Entry entry;
    private final long first;
    private int redialsLeft;
    private int tries;
    /** When the call has to stand to count in full: from the first try, or from the cut of one that comes again. */
    private long aimAt;

    Subscriber(Network network, Node origin, int callClass, int destination, String number, long holding,
            UniformRandomProvider random) {
        this.network = network;
        this.origin = origin;
        this.callClass = callClass;
        this.kind = network.day().classes().get(callClass);
        this.destination = destination;
        this.number = number;
        this.holding = holding;
        this.random = random;
        this.first = network.now();
        this.aimAt = first + kind.aim();
        this.entry = network.tally().offered(callClass, first - network.start());
        double redials = network.day().callers().redials();
        this.redialsLeft = (int) redials + (random.nextDouble() < redials - (int) redials ? 1 : 0);
    }

    /** Dials. */
    void dial(boolean cut) {
        long now = network.now();
        Day.Callers habits = network.day().callers();
        long left = Math.min(Math.round(habits.patience() * kind.deadline()), first + kind.deadline() - now);
        if (cut) {
            left = Math.round(habits.patience() * kind.deadline());
        }
        boolean redial = tries > 0;
        String id = HexFormat.of().toHexDigits(network.nextCallId());
        Request request = new Request(id, kind.name(), callClass, number, DESCRIPTION, now + left, destination,
                kind.width(), -1, redial && habits.marked(), false, cut);
        Try attempt = new Try(origin, request, network.rules().taken(id, origin.place, request.deadline(), -1));
        tries++;
        network.tally().tried(redial, now - network.start());
        origin.processor.setUp(network.work(network.day().work().look()), () -> { });
        origin.take(attempt);
        if (random.nextDouble() < habits.impatient()) {
            network.time().in(Math.round(left * random.nextDouble()), attempt::giveUp);
        }
    }

    private void dialLater(long advised) {
        Day.Callers habits = network.day().callers();
        double stretch = 0.75 + 0.5 * random.nextDouble();
        boolean honours = random.nextDouble() < habits.honour();
        if (redialsLeft == 0) {
            network.tally().lost(entry, network.now() > aimAt);
            return;
        }
        redialsLeft--;
        long wait = Math.round(habits.backoff() * stretch * (habits.doubling() ? 1L << tries - 1 : 1));
        if (honours) {
            wait = Math.max(wait, Math.min(advised, habits.mostWait()));
        }
        if (network.now() + wait >= first + kind.deadline()) {
            network.tally().lost(entry, network.now() > aimAt);
        } else {
            network.time().in(wait, () -> dial(false));
        }
    }

    /** One try, as the softswitch of the own exchange knows it. */
    private final class Try extends Offer {
        private boolean standing;
        /** The caller has gone; what crosses its going on the way is nobody's. */
        private boolean gone;

        Try(Node at, Request request, Taken taken) {
            super(at, request, taken);
        }

        void giveUp() {
            if (!standing && !closed) {
                closed = true;
                gone = true;
                network.rules().givenUp(taken);
                network.tally().gaveUp();
                network.tally().wasted(network.work(network.day().work().look()));
                at.post(new Happening.CallerAbandoned(request.id()));
                dialLater(0);
            }
        }

        @Override
        void stood() {
            if (gone) {
                return;
            }
            standing = true;
            network.tally().stood(entry, network.now() - (aimAt - kind.aim()), network.now() <= aimAt,
                    leg != null && leg.to.place != destination);
            network.time().in(holding, () -> {
                if (leg != null && !leg.over) {
                    network.hangUp(leg);
                }
            });
        }

        @Override
        void turnedAway(long wait) {
            if (!gone) {
                dialLater(wait);
            }
        }

        @Override
        void ended(int cause) {
            if (!gone && cause != Planner.CAUSE_NORMAL_CLEARING) {
                network.tally().cut(entry);
                if (random.nextDouble() < network.day().callers().again()) {
                    aimAt = network.now() + kind.aim();
                    dial(true);
                }
            }
        }
    }
}
