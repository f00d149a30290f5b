package wingspread.testbed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import wingspread.control.CallControl.Readiness;
import wingspread.net.Loop;
import wingspread.testbed.NameServer.ListedExchange;

/**
 * The host of one exchange: its present process, the networks to it, and its entries in the directories of all
 * softswitches. Confined to the loop.
 */
final class ExchangeHost {
    private static final long RESTART_DELAY_MICROS = 100_000;

    private final Loop loop;
    private final int place;
    private final Schedule.Deployment deployment;
    private final SplittableRandom random;
    private final TrialLog log;
    private final Judge judge;
    private final List<FaultProxy> proxies = new ArrayList<>();
    private final List<SoftswitchHost> softswitches;
    private ExchangeStandIn process;
    private int incarnation;
    /** Whether the exchange is draining, crashed or lost, and its next process has not started yet. */
    private boolean faultInProgress;

    ExchangeHost(Loop loop, int place, Schedule.Deployment deployment, List<SoftswitchHost> softswitches,
            SplittableRandom random, TrialLog log, Judge judge) throws IOException {
        this.loop = loop;
        this.place = place;
        this.deployment = deployment;
        this.softswitches = softswitches;
        this.random = random;
        this.log = log;
        this.judge = judge;
        for (int i = 0; i < softswitches.size(); i++) {
            proxies.add(new FaultProxy(loop, judge));
        }
        startProcess(false);
        publish(Readiness.READY);
    }

    List<FaultProxy> proxies() {
        return proxies;
    }

    ExchangeStandIn process() {
        return process;
    }

    String uid() {
        return process.uid();
    }

    boolean faultInProgress() {
        return faultInProgress;
    }

    private void startProcess(boolean cold) throws IOException {
        String predecessor = process == null ? null : process.uid();
        process = new ExchangeStandIn(loop, "s-" + place + "-" + incarnation, predecessor, place, proxies, deployment,
                random.split(), log, judge, cold);
        log.add(uid(), "starts" + (cold ? ", cold" : ""));
    }

    /** Publishes the exchange with this readiness in all directories. */
    private void publish(Readiness readiness) {
        for (int i = 0; i < softswitches.size(); i++) {
            DirectoryStandIn directory = softswitches.get(i).directory();
            directory.put(new ListedExchange(uid(), "z" + place % deployment.zones(), place,
                    proxies.get(i).port(), readiness,
                    process.startedMs()));
            softswitches.get(i).listChanged(uid(), readiness != Readiness.READY);
        }
        log.add("directory", uid() + " is " + readiness);
    }

    private void withdraw() {
        for (int i = 0; i < softswitches.size(); i++) {
            DirectoryStandIn directory = softswitches.get(i).directory();
            directory.remove(uid());
            softswitches.get(i).listChanged(uid(), true);
        }
        log.add("directory", uid() + " is removed");
    }

    /**
     * Simulates the loss of the machine. The directories remove the exchange later; a new process then starts at
     * its address.
     *
     * @param detectionMs time in milliseconds until the exchange is removed from the directories
     * @param restartMs time in milliseconds until a process starts again; never earlier than the removal
     * @param sameId whether the new process has the id of the lost one
     */
    void vanish(int detectionMs, int restartMs, boolean sameId) {
        if (faultInProgress) {
            return;
        }
        faultInProgress = true;
        log.add(uid(), "FAULT the machine vanishes");
        proxies.forEach(FaultProxy::blackhole);
        process.connectionsLost();
        process.vanish();
        loop.at(loop.now() + detectionMs * 1_000L, this::withdraw);
        loop.at(loop.now() + Math.max(detectionMs, restartMs) * 1_000L, () -> {
            incarnation += sameId ? 0 : 1;
            restart();
        });
    }

    private void restart() {
        replaceProcess();
        publish(Readiness.READY);
        faultInProgress = false;
    }

    private void replaceProcess() {
        ExchangeStandIn predecessor = process;
        try {
            startProcess(true);
        } catch (IOException e) {
            throw new SoakException("cannot start an exchange: " + e.getMessage());
        }
        proxies.forEach(FaultProxy::heal);
        predecessor.close();
    }

    /** Simulates a crash of the process, which starts again under the same id after {@code restartMs} milliseconds. */
    void crash(int restartMs) {
        if (faultInProgress) {
            return;
        }
        faultInProgress = true;
        log.add(uid(), "FAULT the process crashes");
        proxies.forEach(FaultProxy::refuse);
        process.crash();
        loop.at(loop.now() + restartMs * 1_000L, this::restart);
    }

    /**
     * Drains the exchange, stops it, and replaces it by one with a new id.
     *
     * @param removalMs time in milliseconds from the drain to the stop, and from there to the start of the replacement
     */
    void drain(int removalMs) {
        if (faultInProgress) {
            return;
        }
        faultInProgress = true;
        log.add(uid(), "FAULT drains");
        publish(Readiness.DRAINING);
        loop.at(loop.now() + removalMs * 1_000L, () -> {
            process.stop();
            withdraw();
        });
        loop.at(loop.now() + 2L * removalMs * 1_000L, () -> {
            incarnation++;
            restart();
        });
    }

    /**
     * Drains the exchange, stops its process and starts a new one under the same id. The directories list it as removed
     * in between; the new process may start before or after that.
     *
     * @param drainMs time in milliseconds from the drain to the stop
     * @param absenceMs time in milliseconds from the stop until the directories list the new process
     */
    void drainAndReturn(int drainMs, int absenceMs) {
        if (faultInProgress) {
            return;
        }
        faultInProgress = true;
        log.add(uid(), "FAULT drains, is removed and returns");
        publish(Readiness.DRAINING);
        long stopAt = loop.now() + drainMs * 1_000L;
        loop.at(stopAt, () -> process.stop());
        loop.at(stopAt + random.nextLong(absenceMs * 1_000L), this::withdraw);
        // The stop closes the connections a few milliseconds later.
        loop.at(stopAt + random.nextLong(RESTART_DELAY_MICROS, absenceMs * 1_000L), this::replaceProcess);
        loop.at(stopAt + absenceMs * 1_000L, () -> {
            publish(Readiness.READY);
            faultInProgress = false;
        });
    }

    void close() {
        process.close();
        proxies.forEach(FaultProxy::close);
    }
}
