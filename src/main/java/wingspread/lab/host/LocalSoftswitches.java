package wingspread.lab.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wingspread.control.CallControl.Status;
import wingspread.core.Attempt;
import wingspread.core.Caller;
import wingspread.core.Event;
import wingspread.core.ExchangeTransport;

/** Softswitches in this process. It only carries to and fro: what is decided is the controllers'. */
public final class LocalSoftswitches implements Softswitches {
    private static final byte[] DESCRIPTION = new byte[0];

    private final Controller.Maker maker;
    private final List<One> all = new ArrayList<>();
    private long now;

    /** Softswitches that are made by this maker. */
    public LocalSoftswitches(Controller.Maker maker) {
        this.maker = maker;
    }

    @Override
    public void begin(long startsAt, List<Start> starts) {
        now = startsAt;
        all.clear();
        for (Start start : starts) {
            One one = new One();
            one.controller = maker.make(() -> now, start.settings(), start.seed(), one);
            all.add(one);
        }
    }

    @Override
    public List<Output> turn(long turnsAt, List<Input> inputs) {
        now = turnsAt;
        List<Output> out = new ArrayList<>(inputs.size());
        for (Input input : inputs) {
            out.add(all.get(input.place()).turn(input));
        }
        return out;
    }

    /** One softswitch: names become references on the way in, and references names on the way out. */
    private final class One implements ExchangeTransport {
        private final Map<String, Side> sides = new HashMap<>();
        private Controller controller;
        private List<Effect> effects = new ArrayList<>();

        Output turn(Input input) {
            effects = new ArrayList<>();
            input.happenings().forEach(this::post);
            controller.turn();
            return new Output(input.place(), effects, controller.nextDue());
        }

        private void post(Happening happening) {
            if (happening instanceof Happening.Offered h) {
                Side side = new Side(this, h.request().id());
                sides.put(side.call, side);
                controller.post(new Event.Offered(h.request(), side));
            } else if (happening instanceof Happening.CallerAbandoned h) {
                Side side = sides.get(h.call());
                if (side != null) {
                    controller.post(new Event.CallerAbandoned(h.call(), side));
                    sides.remove(h.call());
                }
            } else if (happening instanceof Happening.CallerReleased h) {
                sides.remove(h.call());
                controller.post(new Event.CallerReleased(h.call(), h.cause()));
            } else if (happening instanceof Happening.Answered h) {
                controller.post(new Event.Answered(h.exchange(), h.call(), DESCRIPTION));
            } else if (happening instanceof Happening.Rejected h) {
                controller.post(new Event.Rejected(h.exchange(), h.call(), h.status(), h.cause(), h.report()));
            } else if (happening instanceof Happening.Released h) {
                controller.post(new Event.Released(h.exchange(), h.call(), h.cause(), h.report()));
            } else if (happening instanceof Happening.AttemptAborted h) {
                Side side = sides.get(h.call());
                if (side != null && side.last != null && side.last.index() == h.attempt()) {
                    controller.post(new Event.AttemptAborted(side.last, h.status()));
                }
            } else if (happening instanceof Happening.Reported h) {
                controller.post(new Event.Reported(h.exchange(), h.report()));
            } else if (happening instanceof Happening.Listed h) {
                controller.post(new Event.Listed(h.kind(), h.entries()));
            }
        }

        @Override
        public void invite(Attempt attempt) {
            Side side = sides.get(attempt.request().id());
            if (side != null) {
                side.last = attempt;
            }
            effects.add(new Effect.Invite(attempt.request().id(), attempt.index(), attempt.exchange(),
                    attempt.deadline()));
        }

        @Override
        public void cancelAttempt(Attempt attempt) {
            effects.add(new Effect.Withdraw(attempt.request().id(), attempt.index(),
                    attempt.deadline() <= now ? Status.TIMEOUT : Status.CANCELLED));
        }

        @Override
        public void release(long exchange, String call, int cause) {
            effects.add(new Effect.Release(call, exchange, cause));
        }

        @Override
        public void closeIdle(long exchange) {
            // The model has no connections.
        }

        @Override
        public boolean needsLivenessChecks() {
            return false;
        }

        @Override
        public boolean checkLiveness(long exchange) {
            return false;
        }
    }

    /** The caller's side of a call. */
    private static final class Side implements Caller {
        private final One one;
        private final String call;
        private Attempt last;

        Side(One one, String call) {
            this.one = one;
            this.call = call;
        }

        @Override
        public void onEstablished(byte[] description) {
            one.effects.add(new Effect.Stands(call));
        }

        @Override
        public void onRefused(long wait) {
            one.sides.remove(call);
            one.effects.add(new Effect.Refused(call, wait));
        }

        @Override
        public void onFailed() {
            one.sides.remove(call);
            one.effects.add(new Effect.Failed(call));
        }

        @Override
        public void onEnded(int cause) {
            one.sides.remove(call);
            one.effects.add(new Effect.Over(call, cause));
        }

        @Override
        public boolean survivesRestart() {
            return true;
        }
    }
}
