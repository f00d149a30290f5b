package wingspread.testbed.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wingspread.lab.rules.Breach.Rule;
import wingspread.net.Loop;

/** Tests which end of a call the judge requires its caller to be notified of. */
class JudgeTest {
    private static final String CALL = "9b1f03aa5c7e2d41";
    private static final long SECOND = 1_000_000;

    private final AtomicLong clock = new AtomicLong(1_000 * SECOND);
    private final Loop loop = new Loop(clock::get);
    private final Judge judge = new Judge(loop, new TrialLog(clock::get));

    @BeforeEach
    void offerCall() {
        judge.processStarted(0, List.of("s-1", "s-2"));
        judge.offered(CALL, 0, clock.get() + SECOND, -1);
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    private void answer(String uid, int place) {
        judge.attemptArrived(CALL, uid, null, place, SECOND, 0);
        judge.attemptAnswered(CALL, uid, uid);
        clock.addAndGet(SECOND / 4);
    }

    private List<Rule> breachesAfterHalfAMinute() {
        clock.addAndGet(30 * SECOND);
        judge.close();
        return judge.breaches().stream().map(breach -> breach.rule()).toList();
    }

    @Test
    void endAtExchangeOfEarlierAttemptDoesNotEndCall() {
        answer("s-1", 1);
        judge.released(CALL, "s-1");
        answer("s-2", 2);
        judge.established(CALL, "s-2");
        assertEquals(List.of(), breachesAfterHalfAMinute());
    }

    @Test
    void endAtExchangeThatAnsweredLastMustReachCaller() {
        answer("s-1", 1);
        judge.released(CALL, "s-1");
        answer("s-2", 2);
        judge.established(CALL, "s-2");
        judge.released(CALL, "s-2");
        assertEquals(List.of(Rule.RELEASE_TOLD), breachesAfterHalfAMinute());
    }
}
