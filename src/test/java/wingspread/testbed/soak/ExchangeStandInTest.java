package wingspread.testbed.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wingspread.lab.rules.Breach;
import wingspread.lab.rules.Breach.Rule;
import wingspread.net.Loop;
import wingspread.sip.SipDecoder;
import wingspread.sip.SipMessage;
import wingspread.testing.Wire;

/** Tests what the soak's exchange reports to the judge. */
class ExchangeStandInTest {
    private static final String CALL = "9b1f03aa5c7e2d41";
    private static final long SECOND = 1_000_000;

    private final AtomicLong clock = new AtomicLong(1_000 * SECOND);
    private final Loop loop = new Loop(clock::get);
    private final TrialLog log = new TrialLog(clock::get);
    private final Judge judge = new Judge(loop, log);

    private FaultProxy proxy;
    private ExchangeStandIn exchange;
    private Wire<SipMessage> softswitch;

    private <T> T runInLoop(Callable<T> task) throws Exception {
        return loop.group().submit(task).get(10, TimeUnit.SECONDS);
    }

    /** Runs a task in the loop again and again until it returns true. */
    private void awaitInLoop(Callable<Boolean> task) throws Exception {
        while (!runInLoop(task)) {
            Thread.onSpinWait();
        }
    }

    @BeforeEach
    void start() throws Exception {
        proxy = runInLoop(() -> new FaultProxy(loop, judge));
        Schedule.Deployment deployment = new Schedule.Deployment(1, 3, 1, List.of(5_000), 64, 512, 5, 1_000, 100);
        exchange = runInLoop(() -> {
            judge.processStarted(0, List.of("s-1", "s-2"));
            judge.offered(CALL, 0, clock.get() + 10 * SECOND, -1);
            return new ExchangeStandIn(loop, "s-1", null, 1, List.of(proxy), deployment, new SplittableRandom(1), log,
                    judge, false);
        });
        softswitch = new Wire<>(new Socket(InetAddress.getLoopbackAddress(), proxy.port()), new SipDecoder());
        softswitch.send(SipMessage.request("INVITE", "sip:ab@net").with("Call-ID", CALL).with("CSeq", "1 INVITE")
                .with("X-Deadline", "5000").encode());
    }

    @AfterEach
    void stop() throws Exception {
        softswitch.close();
        runInLoop(() -> {
            exchange.close();
            proxy.close();
            return null;
        });
        loop.stop();
    }

    @Test
    void crashEndsTheSetUpsThatAreOut() throws Exception {
        awaitInLoop(() -> {
            boolean arrived = judge.wasAttempted(CALL);
            if (arrived) {
                exchange.crash();
            }
            return arrived;
        });
        clock.addAndGet(SECOND);
        runInLoop(() -> {
            judge.attemptArrived(CALL, "s-2", null, 2, SECOND, 0);
            return null;
        });
        assertEquals(List.of(), judge.breaches());
    }

    private void awaitMessage(Predicate<SipMessage> condition) throws Exception {
        SipMessage message = softswitch.next();
        while (!condition.test(message)) {
            message = softswitch.next();
        }
    }

    private void establishCall() throws Exception {
        awaitInLoop(() -> judge.wasAttempted(CALL));
        clock.addAndGet(SECOND / 10);
        awaitMessage(message -> !message.isRequest());
        runInLoop(() -> {
            judge.established(CALL, "s-1 answers " + CALL);
            return null;
        });
    }

    private List<Rule> breachesIfCallerIsNotifiedAfterFiveSeconds() throws Exception {
        clock.addAndGet(5 * SECOND);
        return runInLoop(() -> {
            judge.callerNotifiedOfEnd(CALL);
            judge.close();
            return judge.breaches().stream().map(Breach::rule).toList();
        });
    }

    @Test
    void releaseInTransitAsTheMachineVanishesIsLost() throws Exception {
        establishCall();
        runInLoop(() -> {
            exchange.stop();
            proxy.blackhole();
            exchange.connectionsLost();
            exchange.vanish();
            return null;
        });
        assertEquals(List.of(), breachesIfCallerIsNotifiedAfterFiveSeconds());
    }

    @Test
    void releaseDeliveredBeforeTheMachineVanishesCounts() throws Exception {
        establishCall();
        runInLoop(() -> {
            exchange.stop();
            // Before the loop handles anything else: a connection that ends right after a release may have lost it.
            clock.addAndGet(SECOND / 10);
            return null;
        });
        awaitMessage(message -> message.isRequest() && message.method().equals("BYE"));
        runInLoop(() -> {
            proxy.blackhole();
            exchange.connectionsLost();
            exchange.vanish();
            return null;
        });
        assertEquals(List.of(Rule.RELEASE_TOLD), breachesIfCallerIsNotifiedAfterFiveSeconds());
    }
}
