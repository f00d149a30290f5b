package wingspread.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Effect;
import wingspread.control.CallControl.Layout;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Outcome;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Status;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The guards of the five rules, and events that nothing waits for. */
class RulesTest {

    @Test
    void everyCallGetsOneAnswerInItsTimeEvenIfNothingIsHeard() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 10; i++) {
            host.call(1);
        }
        host.pass(3 * RecordingHost.SECOND);
        for (long call = 1; call <= 10; call++) {
            long id = call;
            long answers = host.refusals.stream().filter(c -> c == id).count()
                    + host.failures.stream().filter(c -> c == id).count();
            assertEquals(1, answers);
        }
        assertEquals(2, host.cancels.size());
    }

    @Test
    void anAttemptEndsBeforeTheCallersTime() {
        RecordingHost host = RecordingHost.network(1);
        host.call(0, 1, 0, 300_000, -1, false);
        assertTrue(host.last().limit() > 0 && host.last().limit() < 300_000);
    }

    @Test
    void aCallWithHardlyAnyTimeIsAnsweredAtOnce() {
        RecordingHost host = RecordingHost.network(1);
        long call = host.call(0, 1, 0, 1_000, -1, false);
        assertTrue(host.answered(call));
        assertEquals(0, host.sends.size());
    }

    @Test
    void nothingGoesOutForACallWhileAnAttemptIsOut() {
        RecordingHost host = RecordingHost.network(3);
        host.call(1);
        host.group(1, 10, 50);
        host.pass(RecordingHost.SECOND);
        assertEquals(1, host.sends.size());
    }

    @Test
    void aHeldCallThatWentOutDoesNotGoOutAgainWhenMoreComesFree() {
        RecordingHost host = RecordingHost.network(1);
        host.group(1, 0, 50);
        host.call(1);
        for (int free = 1; free < 10; free++) {
            host.group(1, free, 50);
        }
        assertEquals(1, host.sends.size());
    }

    @Test
    void nothingNewGoesToADrainingOrGoneExchange() {
        for (Readiness readiness : new Readiness[] {Readiness.DRAINING, Readiness.GONE}) {
            RecordingHost host = RecordingHost.network(2);
            host.control.onExchangeList(host.now, ListKind.DELTA,
                    List.of(RecordingHost.exchange(1, readiness, 0)));
            long call = host.call(1);
            host.group(2, 0, 50);
            host.call(2);
            assertTrue(host.answered(call));
            assertEquals(0, host.sends.size());
        }
    }

    @Test
    void anExchangeMissingFromAFullListIsGone() {
        RecordingHost host = RecordingHost.network(2);
        host.control.onExchangeList(host.now, ListKind.FULL,
                List.of(RecordingHost.exchange(2, Readiness.READY, 0)));
        assertTrue(host.answered(host.call(1)));
        host.call(2);
        assertEquals(1, host.sends.size());
    }

    @Test
    void aColdExchangeGetsNoMoreThanThisSendersShareEvenInACrowd() {
        RecordingHost host = RecordingHost.network(5);
        for (int i = 0; i < 50; i++) {
            host.call(1 + i % 5);
            host.stand();
            host.pass(200_000);
        }
        host.control.onExchangeList(host.now, ListKind.DELTA,
                List.of(RecordingHost.exchange(1, Readiness.READY, host.now)));
        int before = host.sends.size();
        for (int i = 0; i < 100; i++) {
            host.pass(10_000);
            int earlier = host.sends.size();
            host.call(1);
            if (host.sends.size() > earlier) {
                host.stand();
            }
        }
        int sent = host.sends.size() - before;
        assertTrue(sent >= 1 && sent <= 3, sent + " set-ups in a second, at 5 calls a second to 5 exchanges");
    }

    @Test
    void manySendersTogetherDoNotPushAColdExchangeOver() {
        assertColdExchangeIsSpared(80, 100_000, 0);
    }

    @Test
    void norDoSendersThatJustRestartedOrMeetACrowd() {
        assertColdExchangeIsSpared(80, 20_000, 0);
        assertColdExchangeIsSpared(60, 20_000, 2 * RecordingHost.SECOND);
    }

    /**
     * Every sender wants to call the cold exchange at the given gap, after having called others for a while; the
     * limit has the slack for chance of a sum of independent senders.
     */
    private static void assertColdExchangeIsSpared(int senders, long gap, long before) {
        List<Long> times = new ArrayList<>();
        double usual = 0;
        for (int i = 0; i < senders; i++) {
            RecordingHost host = RecordingHost.network(senders, i);
            for (int place = 1; place <= senders; place++) {
                host.group(place, 4, 4);
            }
            for (long t = 0; t < before; t += 200_000) {
                host.call(2 + (int) (t / 200_000) % (senders - 1));
                host.stand();
                host.pass(200_000);
            }
            host.control.onExchangeList(host.now, ListKind.DELTA,
                    List.of(RecordingHost.exchange(1, Readiness.READY, host.now)));
            long start = host.now;
            int earlier = host.sends.size();
            for (long t = 0; t < 10 * RecordingHost.SECOND; t += gap) {
                int sent = host.sends.size();
                host.call(1);
                if (host.sends.size() > sent) {
                    host.stand();
                }
                host.pass(gap);
            }
            host.sends.stream().skip(earlier).filter(send -> send.exchange() == 1)
                    .forEach(send -> times.add(send.at() - start));
            usual += 1.0 / gap;
        }
        times.sort(null);
        double limit = RecordingHost.RULES.fallMultiple() * RecordingHost.RULES.coldShare()
                * 2 * usual / senders * RecordingHost.RULES.fall();
        assertFalse(times.isEmpty());
        for (int i = 0; i < times.size(); i++) {
            long from = times.get(i);
            long within = times.stream().filter(t -> t >= from && t < from + RecordingHost.RULES.fall()).count();
            assertTrue(within <= limit + 2 * Math.sqrt(limit), within + " set-ups within the window from " + from
                    + ", allowed " + limit);
        }
    }

    @Test
    void aColdExchangeIsNoTandem() {
        RecordingHost host = RecordingHost.network(2);
        host.control.onExchangeList(host.now, ListKind.DELTA,
                List.of(RecordingHost.exchange(2, Readiness.READY, host.now)));
        host.pass(5 * RecordingHost.SECOND);
        host.group(1, 0, 50);
        host.call(1);
        assertEquals(0, host.sends.size());
    }

    @Test
    void theReleaseIsAwaitedAfterAReset() {
        RecordingHost host = RecordingHost.network(3);
        long call = host.call(1);
        host.answer(Status.RESET, Cause.NONE);
        host.group(1, 10, 50);
        assertEquals(1, host.sends.size());
        host.pass(RecordingHost.RELEASE);
        assertEquals(2, host.sends.size());
        assertEquals(call, host.last().call());
        assertTrue(host.last().at() - host.sends.get(0).at() >= RecordingHost.RELEASE);
    }

    @Test
    void withLessTimeThanTheReleaseTheCallIsAnswered() {
        RecordingHost host = RecordingHost.network(3);
        long call = host.call(0, 1, 0, 400_000, -1, false);
        host.answer(Status.RESET, Cause.NONE);
        host.pass(400_000);
        assertTrue(host.answered(call));
        assertEquals(1, host.sends.size());
    }

    @Test
    void anUnsafeCallThatMayHaveRunIsNotSentAgainNorRefused() {
        RecordingHost host = new RecordingHost();
        host.start(RecordingHost.settings(Layout.NETWORK, Effect.UNSAFE, false));
        host.control.onExchangeList(host.now, ListKind.CACHED, List.of(
                RecordingHost.exchange(1, Readiness.READY, 0),
                RecordingHost.exchange(2, Readiness.READY, 0)));
        long call = host.call(1);
        host.answer(Status.RESET, Cause.NONE);
        host.pass(3 * RecordingHost.SECOND);
        assertEquals(1, host.sends.size());
        assertEquals(List.of(call), host.failures);
        assertEquals(List.of(), host.refusals);
    }

    @Test
    void aSilentExchangeGetsFewAndFewerCalls() {
        RecordingHost host = RecordingHost.network(1);
        int early = 0;
        for (int i = 0; i < 400; i++) {
            int before = host.sends.size();
            host.call(1);
            if (host.sends.size() > before) {
                host.pass(50_000);
                host.answer(Status.CONNECT_FAILED, Cause.NONE);
            }
            host.pass(50_000);
            early = i == 40 ? host.sends.size() : early;
        }
        assertTrue(host.sends.size() - early < 8, "later set-ups: " + (host.sends.size() - early));
        assertTrue(host.lines.contains("exchange 1 is overloaded or unresponsive, call gapping started"));
    }

    @Test
    void aProcessorBackFromSilenceIsHeldToBeCold() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 40; i++) {
            int before = host.sends.size();
            host.call(1);
            if (host.sends.size() > before) {
                host.answer(Status.CONNECT_FAILED, Cause.NONE);
            }
            host.pass(500_000);
        }
        host.pass(5 * RecordingHost.SECOND);
        host.call(1);
        host.stand();
        assertTrue(host.lines.contains("exchange 1 is cold, set-ups limited"));
    }

    @Test
    void aFailedCallToTheListIsRepeated() {
        RecordingHost host = new RecordingHost();
        host.start(RecordingHost.settings(Layout.NETWORK, Effect.SAFE, true));
        assertEquals(List.of(true), host.subscriptions);
        host.control.onExchangeList(host.now, ListKind.FAILED, List.of());
        host.pass(2 * RecordingHost.SECOND);
        assertEquals(List.of(true, true), host.subscriptions);
    }

    @Test
    void aPoolOfSecondChoiceServesWhereTheFirstHasNoAgent() {
        RecordingHost host = new RecordingHost();
        host.start(RecordingHost.settings(Layout.SKILLS, Effect.SAFE, false));
        host.control.onExchangeList(host.now, ListKind.CACHED, List.of(
                RecordingHost.exchange(1, Readiness.READY, 0),
                RecordingHost.exchange(2, Readiness.READY, 0),
                RecordingHost.exchange(3, Readiness.READY, 0)));
        host.call(1);
        assertEquals(1, host.last().exchange());
        host.answer(Status.FULL, Cause.NO_CIRCUIT);
        assertEquals(2, host.last().exchange());
    }

    @Test
    void eventsThatNothingWaitsForAreIgnored() {
        RecordingHost host = RecordingHost.network(1);
        host.control.onOutcome(host.now, new Outcome(99, 0, false, 1, 0, Status.FULL, Cause.NONE, 0,
                Report.NOTHING));
        host.control.onStood(host.now, 99, 0, 1, 0);
        host.control.onDropped(host.now, 99);
        host.control.onTimer(host.now, 99);
        host.control.onReport(host.now, 99, Status.OK, 0, Report.NOTHING);
        host.control.onPeer(host.now, 3, new byte[] {1, 2});
        assertEquals(List.of(), host.script);
        long call = host.call(1);
        host.control.onDropped(host.now, call);
        host.answer(Status.CANCELLED, Cause.NONE);
        host.answer(Status.CANCELLED, Cause.NONE);
        host.pass(5 * RecordingHost.SECOND);
        assertEquals(0, host.refusals.size() + host.failures.size());
        assertEquals(1, host.sends.size());
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        assertEquals(play(), play());
    }

    private static List<String> play() {
        RecordingHost host = RecordingHost.network(6);
        for (int i = 0; i < 300; i++) {
            host.group(1 + i % 6, i % 5, 49);
            host.call(1 + i * 7 % 6, i % 11);
            if (i % 3 == 0) {
                host.answer(i % 2 == 0 ? Status.FULL : Status.TIMEOUT,
                        i % 4 == 0 ? Cause.TANDEM_BLOCKED : Cause.PROCESSOR_FULL);
            }
            host.pass(100_000);
        }
        return host.script;
    }
}
