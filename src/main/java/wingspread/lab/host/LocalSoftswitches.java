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

/**
 * Softswitches in this process. Only converts events and effects; all decisions are made by the controllers.
 */
public final class LocalSoftswitches implements Softswitches {
    private static final byte[] DESCRIPTION = new byte[0];

    private final Controller.Factory factory;
    private final List<HostedSoftswitch> all = new ArrayList<>();
    private long now;

    /** Creates a fleet whose controllers come from {@code factory}. */
    public LocalSoftswitches(Controller.Factory factory) {
        this.factory = factory;
    }

    @Override
    public void begin(long startTime, List<Start> starts) {
        now = startTime;
        all.clear();
        for (Start start : starts) {
            HostedSoftswitch softswitch = new HostedSoftswitch();
            softswitch.controller = factory.make(() -> now, start.settings(), start.seed(), softswitch);
            all.add(softswitch);
        }
    }

    @Override
    public List<Output> turn(long turnTime, List<Input> inputs) {
        now = turnTime;
        List<Output> out = new ArrayList<>(inputs.size());
        for (Input input : inputs) {
            out.add(all.get(input.place()).turn(input));
        }
        return out;
    }

    /** One softswitch: maps call IDs to object references for the controller, and references back to IDs in effects. */
    private final class HostedSoftswitch implements ExchangeTransport {
        private final Map<String, CallerEnd> callerEnds = new HashMap<>();
        private Controller controller;
        private List<Effect> effects = new ArrayList<>();

        Output turn(Input input) {
            effects = new ArrayList<>();
            input.happenings().forEach(this::post);
            controller.turn();
            return new Output(input.place(), effects, controller.nextDue());
        }

        private void post(SoftswitchEvent happening) {
            if (happening instanceof SoftswitchEvent.Offered h) {
                CallerEnd callerEnd = new CallerEnd(this, h.request().id());
                callerEnds.put(callerEnd.call, callerEnd);
                controller.post(new Event.Offered(h.request(), callerEnd));
            } else if (happening instanceof SoftswitchEvent.CallerAbandoned h) {
                CallerEnd callerEnd = callerEnds.get(h.call());
                if (callerEnd != null) {
                    controller.post(new Event.CallerAbandoned(h.call(), callerEnd));
                    callerEnds.remove(h.call());
                }
            } else if (happening instanceof SoftswitchEvent.CallerReleased h) {
                callerEnds.remove(h.call());
                controller.post(new Event.CallerReleased(h.call(), h.cause()));
            } else if (happening instanceof SoftswitchEvent.Answered h) {
                controller.post(new Event.Answered(h.exchange(), h.call(), DESCRIPTION));
            } else if (happening instanceof SoftswitchEvent.Rejected h) {
                controller.post(new Event.Rejected(h.exchange(), h.call(), h.status(), h.cause(), h.report()));
            } else if (happening instanceof SoftswitchEvent.Released h) {
                controller.post(new Event.Released(h.exchange(), h.call(), h.cause(), h.report()));
            } else if (happening instanceof SoftswitchEvent.AttemptAborted h) {
                CallerEnd callerEnd = callerEnds.get(h.call());
                if (callerEnd != null && callerEnd.lastAttempt != null
                        && callerEnd.lastAttempt.index() == h.attempt()) {
                    controller.post(new Event.AttemptAborted(callerEnd.lastAttempt, h.status()));
                }
            } else if (happening instanceof SoftswitchEvent.Reported h) {
                controller.post(new Event.Reported(h.exchange(), h.report()));
            } else if (happening instanceof SoftswitchEvent.Listed h) {
                controller.post(new Event.Listed(h.kind(), h.entries()));
            }
        }

        @Override
        public void invite(Attempt attempt) {
            CallerEnd callerEnd = callerEnds.get(attempt.request().id());
            if (callerEnd != null) {
                callerEnd.lastAttempt = attempt;
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

    /** The caller's end of a call; records the controller's answers as effects. */
    private static final class CallerEnd implements Caller {
        private final HostedSoftswitch softswitch;
        private final String call;
        private Attempt lastAttempt;

        CallerEnd(HostedSoftswitch softswitch, String call) {
            this.softswitch = softswitch;
            this.call = call;
        }

        @Override
        public void onEstablished(byte[] description) {
            softswitch.effects.add(new Effect.Established(call));
        }

        @Override
        public void onRefused(long wait) {
            softswitch.callerEnds.remove(call);
            softswitch.effects.add(new Effect.Refused(call, wait));
        }

        @Override
        public void onFailed() {
            softswitch.callerEnds.remove(call);
            softswitch.effects.add(new Effect.Failed(call));
        }

        @Override
        public void onEnded(int cause) {
            softswitch.callerEnds.remove(call);
            softswitch.effects.add(new Effect.Ended(call, cause));
        }

        @Override
        public boolean survivesRestart() {
            return true;
        }
    }
}
