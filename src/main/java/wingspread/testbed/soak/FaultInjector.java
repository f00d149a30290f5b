package wingspread.testbed.soak;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import wingspread.net.Loop;
import wingspread.testbed.soak.CallerStandIn.Habit;
import wingspread.testbed.soak.DirectoryStandIn.Mode;
import wingspread.testbed.soak.Schedule.PlannedFault;

/** Carries a schedule's faults out on the parts of a trial, each at its time. Confined to the loop. */
final class FaultInjector {
    private static final long BETWEEN_RELOADS = 150_000;
    private static final int RELOADS = 3;
    private static final long BETWEEN_BAD_CALLERS = 100_000;
    private static final int CROWD_STEP = 50;

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

    /** Plans all faults from now on. */
    void plan(List<PlannedFault> faults) {
        long start = loop.now();
        faults.forEach(fault -> loop.at(start + fault.atMs() * 1_000L, () -> strike(fault)));
    }

    private void strike(PlannedFault fault) {
        log.add("fault", fault.toString());
        switch (fault.kind().target()) {
            case SOFTSWITCH -> onSoftswitch(fault, softswitches.get(fault.target()));
            case EXCHANGE -> onExchange(fault, exchanges.get(fault.target()));
            default -> onDirectories(fault);
        }
    }

    private void after(PlannedFault fault, Runnable end) {
        loop.at(loop.now() + fault.forMs() * 1_000L, end);
    }

    private void onDirectories(PlannedFault fault) {
        Mode mode = switch (fault.kind()) {
            case DIRECTORY_SILENT -> Mode.SILENT;
            case DIRECTORY_LATE -> Mode.LATE;
            case DIRECTORY_CUT -> Mode.CUT;
            case DIRECTORY_TRUNCATED -> Mode.TRUNCATED;
            case DIRECTORY_OLD -> Mode.OLD;
            case DIRECTORY_WRONG_ID -> Mode.WRONG_ID;
            default -> Mode.ERROR;
        };
        softswitches.forEach(s -> s.directory().answers(mode, fault.size() * 1_000L));
        after(fault, () -> softswitches.forEach(s -> s.directory().answers(Mode.GOOD, 0)));
    }

    private void onSoftswitch(PlannedFault fault, SoftswitchHost softswitch) {
        switch (fault.kind()) {
            case RESTART -> softswitch.restart();
            case KILL -> softswitch.kill();
            case RELOAD -> {
                for (int i = 0; i < RELOADS; i++) {
                    loop.at(loop.now() + i * BETWEEN_RELOADS, softswitch::reload);
                }
            }
            case GARBAGE -> {
                for (long at = 0; at < fault.forMs() * 1_000L; at += BETWEEN_BAD_CALLERS) {
                    loop.at(loop.now() + at, () -> BadCallers.garbage(loop, softswitch.port(), random, log,
                            "bad callers of " + softswitch.party()));
                }
            }
            case CROWD -> crowd(softswitch, fault.size());
            default -> {
                Habit habit = switch (fault.kind()) {
                    case REPEATED_ID -> Habit.REPEATED_ID;
                    case GIVE_UP -> Habit.GIVE_UP;
                    case SLOW_WRITER -> Habit.SLOW_WRITER;
                    default -> Habit.SEND_AND_CLOSE;
                };
                softswitch.callers().habit(habit, true);
                after(fault, () -> softswitch.callers().habit(habit, false));
            }
        }
    }

    /** Opens connections that never finish a request, some at a time. */
    private void crowd(SoftswitchHost softswitch, int left) {
        for (int i = 0; i < Math.min(CROWD_STEP, left); i++) {
            BadCallers.mute(loop, softswitch.port(), i, log, "crowd of " + softswitch.party());
        }
        if (left > CROWD_STEP) {
            loop.at(loop.now() + BETWEEN_BAD_CALLERS / 2, () -> crowd(softswitch, left - CROWD_STEP));
        }
    }

    private void onExchange(PlannedFault fault, ExchangeHost exchange) {
        switch (fault.kind()) {
            case VANISH -> exchange.vanish(fault.size(), fault.forMs(), true);
            case REPLACE -> exchange.vanish(fault.size(), fault.forMs(), false);
            case CRASH -> exchange.crash(fault.forMs());
            case DRAIN -> exchange.drain(fault.size());
            case HANG -> {
                ExchangeStandIn process = exchange.process();
                process.hang();
                after(fault, process::wake);
            }
            case SPOILT_ANSWER -> {
                ExchangeStandIn process = exchange.process();
                process.spoilsAnswers(true);
                after(fault, () -> process.spoilsAnswers(false));
            }
            case PARTITION -> {
                if (!exchange.down()) {
                    onNetworks(exchange, FaultProxy::blackhole);
                    ExchangeStandIn process = exchange.process();
                    after(fault, () -> {
                        if (!exchange.down() && exchange.process() == process) {
                            onNetworks(exchange, FaultProxy::heal);
                        }
                    });
                }
            }
            default -> onConnections(fault, exchange);
        }
    }

    private void onConnections(PlannedFault fault, ExchangeHost exchange) {
        switch (fault.kind()) {
            case RESET -> onNetworks(exchange, FaultProxy::reset);
            case LATE_CONNECT -> {
                if (!exchange.down()) {
                    onNetworks(exchange, FaultProxy::holdConnects);
                    after(fault, () -> {
                        if (!exchange.down()) {
                            onNetworks(exchange, FaultProxy::admitConnects);
                        }
                    });
                }
            }
            case CLOSE_EARLY -> {
                onNetworks(exchange, proxy -> proxy.closesEarly(true));
                after(fault, () -> onNetworks(exchange, proxy -> proxy.closesEarly(false)));
            }
            case RESET_IN_MESSAGE -> {
                onNetworks(exchange, proxy -> proxy.resetsAfter(fault.size()));
                after(fault, () -> onNetworks(exchange, proxy -> proxy.resetsAfter(0)));
            }
            default -> {
                onNetworks(exchange, proxy -> proxy.piecesOf(fault.size()));
                after(fault, () -> onNetworks(exchange, proxy -> proxy.piecesOf(0)));
            }
        }
    }

    private static void onNetworks(ExchangeHost exchange, Consumer<FaultProxy> change) {
        exchange.proxies().forEach(change);
    }
}
