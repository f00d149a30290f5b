package wingspread.testbed.soak;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import wingspread.net.Loop;
import wingspread.testbed.soak.CallerStandIn.Misbehaviour;
import wingspread.testbed.soak.DirectoryStandIn.Mode;
import wingspread.testbed.soak.Schedule.PlannedFault;

/** Injects a schedule's faults into the parts of a trial, each at its time. Confined to the trial's loop. */
final class FaultInjector {
    /** Time for which callers are away before the exchanges hang. */
    private static final long QUIET_MICROS = 700_000;
    private static final long SIGTERM_AFTER_HANG_MICROS = 200_000;
    private static final long RELOAD_INTERVAL_MICROS = 150_000;
    private static final int RELOADS = 3;
    private static final long BAD_CALLER_INTERVAL_MICROS = 100_000;
    private static final long IDLE_INTERVAL_MICROS = 700_000;
    private static final long DIRECTORY_MODE_LEAD_MICROS = 100_000;
    private static final long WITHOUT_HOSTS_MICROS = 1_100_000;
    private static final double MANY_IN_TRANSIT = 0.6;
    private static final long MANY_IN_TRANSIT_MICROS = 3_000_000;
    /** Connections that a flood opens at a time. */
    private static final int CONNECTION_BATCH_SIZE = 50;

    private final Loop loop;
    private final TrialLog log;
    private final List<SoftswitchHost> softswitches;
    private final List<ExchangeHost> exchanges;
    private final SplittableRandom random;

    FaultInjector(Loop loop, TrialLog log, List<SoftswitchHost> softswitches, List<ExchangeHost> exchanges,
            SplittableRandom random) {
        this.loop = loop;
        this.log = log;
        this.softswitches = softswitches;
        this.exchanges = exchanges;
        this.random = random;
    }

    /** Schedules all faults, with their times counted from now. */
    void schedule(List<PlannedFault> faults) {
        long start = loop.now();
        faults.forEach(fault -> loop.at(start + fault.atMs() * 1_000L, () -> inject(fault)));
    }

    private void inject(PlannedFault fault) {
        log.add("fault", fault.toString());
        switch (fault.kind().target()) {
            case SOFTSWITCH -> injectIntoSoftswitch(fault, softswitches.get(fault.target()));
            case EXCHANGE -> injectIntoExchange(fault, exchanges.get(fault.target()));
            default -> injectIntoDirectories(fault);
        }
    }

    /** Runs a task at the start of a fault and then periodically for its duration. */
    private void repeat(PlannedFault fault, long intervalMicros, Runnable task) {
        for (long delay = 0; delay < fault.forMs() * 1_000L; delay += intervalMicros) {
            loop.at(loop.now() + delay, task);
        }
    }

    private void scheduleEnd(PlannedFault fault, Runnable end) {
        loop.at(loop.now() + fault.forMs() * 1_000L, end);
    }

    private void injectIntoDirectories(PlannedFault fault) {
        Mode mode = switch (fault.kind()) {
            case DIRECTORY_SILENT -> Mode.SILENT;
            case DIRECTORY_LATE -> Mode.LATE;
            case DIRECTORY_CUT -> Mode.INCOMPLETE;
            case DIRECTORY_TRUNCATED -> Mode.TRUNCATED;
            case DIRECTORY_OLD -> Mode.STALE;
            case DIRECTORY_WRONG_ID -> Mode.WRONG_ID;
            case DIRECTORY_WITHOUT_HOSTS -> Mode.WITHOUT_HOSTS;
            case DIRECTORY_OLD_CUT -> Mode.STALE_WITHOUT_SERIAL;
            case DIRECTORY_WRONG_QUESTION -> Mode.WRONG_QUESTION;
            default -> Mode.ERROR;
        };
        setDirectoryMode(mode, fault.size() * 1_000L, fault.forMs() * 1_000L);
    }

    /** Sets the mode of all directories for a time in microseconds. */
    private void setDirectoryMode(Mode mode, long delayMicros, long durationMicros) {
        softswitches.forEach(s -> s.directory().setMode(mode, delayMicros));
        loop.at(loop.now() + durationMicros, () -> softswitches.forEach(s -> s.directory().setMode(Mode.CORRECT, 0)));
    }

    private void injectIntoSoftswitch(PlannedFault fault, SoftswitchHost softswitch) {
        switch (fault.kind()) {
            case RESTART -> softswitch.restart();
            case SIGNALS -> softswitch.restartAmidSignals();
            case KILL -> softswitch.kill();
            case QUIET_RESTART -> restartQuietly(softswitch, fault.forMs() * 1_000L);
            case RELOAD -> {
                for (int i = 0; i < RELOADS; i++) {
                    loop.at(loop.now() + i * RELOAD_INTERVAL_MICROS, softswitch::reload);
                }
            }
            case GARBAGE -> {
                repeat(fault, BAD_CALLER_INTERVAL_MICROS, () -> BadCallers.sendGarbage(loop, softswitch.port(),
                        random, log, "bad callers of " + softswitch.party()));
            }
            case CROWD -> openIncompleteConnections(softswitch, fault.size());
            case BURST -> {
                for (int i = 0; i < fault.size(); i++) {
                    BadCallers.sendBurst(loop, softswitch.port(), random, log, "burst at " + softswitch.party());
                }
            }
            case FORGERY -> repeat(fault, BAD_CALLER_INTERVAL_MICROS, () -> BadCallers.sendForgery(loop,
                    softswitch.port(), random, log, "forger at " + softswitch.party(),
                    text -> softswitch.callers().recordAcceptedForgery(text)));
            default -> {
                Misbehaviour misbehaviour = switch (fault.kind()) {
                    case REPEATED_ID -> Misbehaviour.REPEATED_ID;
                    case GIVE_UP -> Misbehaviour.GIVE_UP;
                    case SLOW_WRITER -> Misbehaviour.SLOW_WRITER;
                    case LEAVE_AND_REPEAT -> Misbehaviour.LEAVE_AND_REPEAT;
                    default -> Misbehaviour.SEND_AND_CLOSE;
                };
                softswitch.callers().setMisbehaviour(misbehaviour, true);
                scheduleEnd(fault, () -> softswitch.callers().setMisbehaviour(misbehaviour, false));
            }
        }
    }

    /** Restarts a softswitch while its callers are away and all exchanges hang. */
    private void restartQuietly(SoftswitchHost softswitch, long micros) {
        softswitch.callers().leave(QUIET_MICROS + micros);
        loop.at(loop.now() + QUIET_MICROS, () -> {
            List<ExchangeStandIn> hanging = exchanges.stream().map(ExchangeHost::process).toList();
            hanging.forEach(ExchangeStandIn::hang);
            loop.at(loop.now() + SIGTERM_AFTER_HANG_MICROS, softswitch::restart);
            loop.at(loop.now() + micros, () -> hanging.forEach(ExchangeStandIn::resume));
        });
    }

    /** Opens connections that never complete a request, in batches. */
    private void openIncompleteConnections(SoftswitchHost softswitch, int remaining) {
        for (int i = 0; i < Math.min(CONNECTION_BATCH_SIZE, remaining); i++) {
            BadCallers.holdUnfinishedRequest(loop, softswitch.port(), i, log, "crowd of " + softswitch.party());
        }
        if (remaining > CONNECTION_BATCH_SIZE) {
            loop.at(loop.now() + BAD_CALLER_INTERVAL_MICROS / 2,
                    () -> openIncompleteConnections(softswitch, remaining - CONNECTION_BATCH_SIZE));
        }
    }

    private void injectIntoExchange(PlannedFault fault, ExchangeHost exchange) {
        switch (fault.kind()) {
            case VANISH -> exchange.vanish(fault.size(), fault.forMs(), true);
            case REPLACE -> exchange.vanish(fault.size(), fault.forMs(), false);
            case CRASH -> exchange.crash(fault.forMs());
            case DRAIN -> exchange.drain(fault.size());
            case RETURN -> exchange.drainAndReturn(fault.size(), fault.forMs());
            case RETURN_WITHOUT_HOSTS -> returnWithoutHosts(fault, exchange);
            case HANG -> {
                ExchangeStandIn process = exchange.process();
                process.hang();
                scheduleEnd(fault, process::resume);
            }
            case SPOILT_ANSWER -> {
                ExchangeStandIn process = exchange.process();
                process.setFaultyAnswers(true);
                scheduleEnd(fault, () -> process.setFaultyAnswers(false));
            }
            case PARTITION -> {
                if (!exchange.faultInProgress()) {
                    forEachProxy(exchange, FaultProxy::blackhole);
                    ExchangeStandIn process = exchange.process();
                    process.connectionsLost();
                    scheduleEnd(fault, () -> {
                        if (!exchange.faultInProgress() && exchange.process() == process) {
                            forEachProxy(exchange, FaultProxy::heal);
                        }
                    });
                }
            }
            default -> injectIntoConnections(fault, exchange);
        }
    }

    /** Lets an exchange return while lists come without hosts and many calls are in transit, bound to one exchange. */
    private void returnWithoutHosts(PlannedFault fault, ExchangeHost exchange) {
        exchange.drainAndReturn(fault.size(), fault.forMs());
        long returnAt = loop.now() + (fault.size() + fault.forMs()) * 1_000L;
        // From before the list tells of the return.
        loop.at(returnAt - DIRECTORY_MODE_LEAD_MICROS, () -> {
            setDirectoryMode(Mode.WITHOUT_HOSTS, 0, WITHOUT_HOSTS_MICROS);
            softswitches.forEach(s -> s.callers().setTransitShare(MANY_IN_TRANSIT));
        });
        loop.at(returnAt + MANY_IN_TRANSIT_MICROS,
                () -> softswitches.forEach(s -> s.callers().setTransitShare(CallerStandIn.TRANSIT_SHARE)));
    }

    private void injectIntoConnections(PlannedFault fault, ExchangeHost exchange) {
        switch (fault.kind()) {
            case RESET -> forEachProxy(exchange, FaultProxy::reset);
            case LOSE_CONNECTIONS -> {
                forEachProxy(exchange, proxy -> proxy.loseConnections(random::nextBoolean));
                exchange.process().connectionsLost();
            }
            case CLOSE_IDLE -> repeat(fault, IDLE_INTERVAL_MICROS, () -> exchange.process().closeIdle());
            case FORGET_IDLE -> repeat(fault, IDLE_INTERVAL_MICROS, () -> exchange.process().forgetIdle());
            case LATE_CONNECT -> {
                if (!exchange.faultInProgress()) {
                    forEachProxy(exchange, FaultProxy::blockNewConnections);
                    scheduleEnd(fault, () -> {
                        if (!exchange.faultInProgress()) {
                            forEachProxy(exchange, FaultProxy::acceptNewConnections);
                        }
                    });
                }
            }
            case CLOSE_EARLY -> {
                forEachProxy(exchange, proxy -> proxy.setCloseOnAccept(true));
                scheduleEnd(fault, () -> forEachProxy(exchange, proxy -> proxy.setCloseOnAccept(false)));
            }
            case RESET_IN_MESSAGE -> {
                forEachProxy(exchange, proxy -> proxy.setResetAfterBytes(fault.size()));
                scheduleEnd(fault, () -> forEachProxy(exchange, proxy -> proxy.setResetAfterBytes(0)));
            }
            default -> {
                forEachProxy(exchange, proxy -> proxy.setFragmentLength(fault.size()));
                scheduleEnd(fault, () -> forEachProxy(exchange, proxy -> proxy.setFragmentLength(0)));
            }
        }
    }

    private static void forEachProxy(ExchangeHost exchange, Consumer<FaultProxy> change) {
        exchange.proxies().forEach(change);
    }
}
