package wingspread.testbed.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
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

    @AfterEach
    void stop() {
        loop.stop();
    }

    private <T> T runInLoop(Callable<T> task) throws Exception {
        return loop.group().submit(task).get(10, TimeUnit.SECONDS);
    }

    private void awaitAttemptAndCrash(ExchangeStandIn exchange) throws Exception {
        while (!runInLoop(() -> {
            boolean arrived = judge.wasAttempted(CALL);
            if (arrived) {
                exchange.crash();
            }
            return arrived;
        })) {
            Thread.onSpinWait();
        }
    }

    @Test
    void crashEndsTheSetUpsThatAreOut() throws Exception {
        FaultProxy proxy = runInLoop(() -> new FaultProxy(loop, judge));
        Schedule.Deployment deployment = new Schedule.Deployment(1, 3, 1, List.of(5_000), 64, 512, 5, 1_000, 100);
        ExchangeStandIn exchange = runInLoop(() -> {
            judge.processStarted(0, List.of("s-1", "s-2"));
            judge.offered(CALL, 0, clock.get() + 10 * SECOND, -1);
            return new ExchangeStandIn(loop, "s-1", null, 1, List.of(proxy), deployment, new SplittableRandom(1), log,
                    judge, false);
        });
        try (Wire<SipMessage> softswitch =
                new Wire<>(new Socket(InetAddress.getLoopbackAddress(), proxy.port()), new SipDecoder())) {
            softswitch.send(SipMessage.request("INVITE", "sip:ab@net").with("Call-ID", CALL).with("CSeq", "1 INVITE")
                    .with("X-Deadline", "5000").encode());
            awaitAttemptAndCrash(exchange);
        }
        clock.addAndGet(SECOND);
        runInLoop(() -> {
            judge.attemptArrived(CALL, "s-2", null, 2, SECOND, 0);
            exchange.close();
            proxy.close();
            return null;
        });
        assertEquals(List.of(), judge.breaches());
    }
}
