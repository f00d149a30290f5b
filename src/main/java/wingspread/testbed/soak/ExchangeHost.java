package wingspread.testbed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import wingspread.control.CallControl.Readiness;
import wingspread.net.Loop;
import wingspread.testbed.NameServer.Named;

/**
 * The place of one exchange: the process that serves there now, the networks to it, and what the directories of all
 * softswitches say of it. Confined to the loop.
 */
final class ExchangeHost {
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
    /** Something more than a passing trouble of the network is under way. */
    private boolean down;

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
        begin(false);
        tell(Readiness.READY);
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

    boolean down() {
        return down;
    }

    private void begin(boolean cold) throws IOException {
        String predecessor = process == null ? null : process.uid();
        process = new ExchangeStandIn(loop, "s-" + place + "-" + incarnation, predecessor, place, proxies, deployment,
                random.split(), log, judge, cold);
        log.add(uid(), "starts" + (cold ? ", cold" : ""));
    }

    /** All directories name it with this state. */
    private void tell(Readiness readiness) {
        for (int i = 0; i < softswitches.size(); i++) {
            DirectoryStandIn directory = softswitches.get(i).directory();
            directory.put(new Named(uid(), "z" + place % deployment.zones(), place, proxies.get(i).port(), readiness,
                    process.startedMs()));
            softswitches.get(i).listChanged(uid(), readiness != Readiness.READY);
        }
        log.add("directory", uid() + " is " + readiness);
    }

    private void tellGone() {
        for (int i = 0; i < softswitches.size(); i++) {
            DirectoryStandIn directory = softswitches.get(i).directory();
            directory.remove(uid());
            softswitches.get(i).listChanged(uid(), true);
        }
        log.add("directory", uid() + " has gone");
    }

    /** The machine vanishes; the directory knows that later, and something starts at its address. */
    void vanish(int noticeMs, int backMs, boolean sameId) {
        if (down) {
            return;
        }
        down = true;
        log.add(uid(), "FAULT the machine vanishes");
        proxies.forEach(FaultProxy::blackhole);
        process.vanish();
        loop.at(loop.now() + noticeMs * 1_000L, this::tellGone);
        loop.at(loop.now() + Math.max(noticeMs, backMs) * 1_000L, () -> {
            incarnation += sameId ? 0 : 1;
            startAgain();
        });
    }

    private void startAgain() {
        ExchangeStandIn before = process;
        try {
            begin(true);
        } catch (IOException e) {
            throw new SoakException("an exchange cannot be started: " + e.getMessage());
        }
        proxies.forEach(FaultProxy::heal);
        before.close();
        tell(Readiness.READY);
        down = false;
    }

    /** The process dies and is started again, under its own id. */
    void crash(int backMs) {
        if (down) {
            return;
        }
        down = true;
        log.add(uid(), "FAULT the process dies");
        proxies.forEach(FaultProxy::refuse);
        process.crash();
        loop.at(loop.now() + backMs * 1_000L, this::startAgain);
    }

    /** It drains, goes, and is replaced. */
    void drain(int goneMs) {
        if (down) {
            return;
        }
        down = true;
        log.add(uid(), "FAULT drains");
        tell(Readiness.DRAINING);
        loop.at(loop.now() + goneMs * 1_000L, () -> {
            process.stop();
            tellGone();
        });
        loop.at(loop.now() + 2L * goneMs * 1_000L, () -> {
            incarnation++;
            startAgain();
        });
    }

    void close() {
        process.close();
        proxies.forEach(FaultProxy::close);
    }
}
