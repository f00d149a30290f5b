package wingspread.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Effect;
import wingspread.control.CallControl.Layout;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Outcome;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Status;

/** Tests compliance with the five rules of the platform, and that unexpected events are ignored. */
class RulesTest {

    @Test
    void givesEachCallOneAnswerByItsDeadlineWithoutAnyOutcome() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 10; i++) {
            host.call(1);
        }
        host.advance(3 * RecordingHost.SECOND_MICROS);
        for (long call = 1; call <= 10; call++) {
            long id = call;
            long answers = host.refusals.stream().filter(c -> c == id).count()
                    + host.failures.stream().filter(c -> c == id).count();
            assertEquals(1, answers);
        }
        assertEquals(2, host.cancels.size());
    }

    @Test
    void endsAttemptBeforeDeadlineOfCaller() {
        RecordingHost host = RecordingHost.network(1);
        host.call(0, 1, 0, 300_000, -1, false);
        assertTrue(host.lastSend().limit() > 0 && host.lastSend().limit() < 300_000);
    }

    @Test
    void answersCallWithTooLittleTimeAtOnce() {
        RecordingHost host = RecordingHost.network(1);
        long call = host.call(0, 1, 0, 1_000, -1, false);
        assertTrue(host.hasFinalAnswer(call));
        assertEquals(0, host.sends.size());
    }

    @Test
    void sendsNoSecondAttemptWhileOneIsPending() {
        RecordingHost host = RecordingHost.network(3);
        host.call(1);
        host.reportGroup(1, 10, 50);
        host.advance(RecordingHost.SECOND_MICROS);
        assertEquals(1, host.sends.size());
    }

    @Test
    void sendsHeldCallOnlyOnceWhenMoreCircuitsBecomeFree() {
        RecordingHost host = RecordingHost.network(1);
        host.reportGroup(1, 0, 50);
        host.call(1);
        for (int free = 1; free < 10; free++) {
            host.reportGroup(1, free, 50);
        }
        assertEquals(1, host.sends.size());
    }

    @Test
    void sendsNoNewCallsToDrainingOrRemovedExchange() {
        for (Readiness readiness : new Readiness[] {Readiness.DRAINING, Readiness.GONE}) {
            RecordingHost host = RecordingHost.network(2);
            host.control.onExchangeList(host.now, ListKind.DELTA,
                    List.of(RecordingHost.exchange(1, readiness, 0)));
            long call = host.call(1);
            host.reportGroup(2, 0, 50);
            host.call(2);
            assertTrue(host.hasFinalAnswer(call));
            assertEquals(0, host.sends.size());
        }
    }

    @Test
    void removesExchangeMissingFromFullList() {
        RecordingHost host = RecordingHost.network(2);
        host.control.onExchangeList(host.now, ListKind.FULL,
                List.of(RecordingHost.exchange(2, Readiness.READY, 0)));
        assertTrue(host.hasFinalAnswer(host.call(1)));
        host.call(2);
        assertEquals(1, host.sends.size());
    }

    @Test
    void limitsColdExchangeToShareOfSenderDuringFlashCrowd() {
        RecordingHost host = RecordingHost.network(5);
        for (int i = 0; i < 50; i++) {
            host.call(1 + i % 5);
            host.establish();
            host.advance(200_000);
        }
        host.control.onExchangeList(host.now, ListKind.DELTA,
                List.of(RecordingHost.exchange(1, Readiness.READY, host.now)));
        int before = host.sends.size();
        for (int i = 0; i < 100; i++) {
            host.advance(10_000);
            int earlier = host.sends.size();
            host.call(1);
            if (host.sends.size() > earlier) {
                host.establish();
            }
        }
        int sent = host.sends.size() - before;
        assertTrue(sent >= 1 && sent <= 3, sent + " set-ups in a second, at 5 calls a second to 5 exchanges");
    }

    @Test
    void manySendersDoNotOverloadColdExchange() {
        assertColdExchangeNotOverloaded(80, 100_000, 0);
    }

    @Test
    void restartedSendersAndFlashCrowdsDoNotOverloadColdExchange() {
        assertColdExchangeNotOverloaded(80, 20_000, 0);
        assertColdExchangeNotOverloaded(60, 20_000, 2 * RecordingHost.SECOND_MICROS);
    }

    /**
     * Checks the set-ups of all senders together to a cold exchange against the limit of the rule.
     *
     * @param gap    the time between calls of each sender to the cold exchange
     * @param before how long each sender has called other exchanges before; the limit has two standard deviations of
     *               slack, as the senders are independent
     */
    private static void assertColdExchangeNotOverloaded(int senders, long gap, long before) {
        List<Long> times = new ArrayList<>();
        double baselineRate = 0;
        for (int i = 0; i < senders; i++) {
            RecordingHost host = RecordingHost.network(senders, i);
            for (int place = 1; place <= senders; place++) {
                host.reportGroup(place, 4, 4);
            }
            for (long t = 0; t < before; t += 200_000) {
                host.call(2 + (int) (t / 200_000) % (senders - 1));
                host.establish();
                host.advance(200_000);
            }
            host.control.onExchangeList(host.now, ListKind.DELTA,
                    List.of(RecordingHost.exchange(1, Readiness.READY, host.now)));
            long start = host.now;
            int earlier = host.sends.size();
            for (long t = 0; t < 10 * RecordingHost.SECOND_MICROS; t += gap) {
                int sent = host.sends.size();
                host.call(1);
                if (host.sends.size() > sent) {
                    host.establish();
                }
                host.advance(gap);
            }
            host.sends.stream().skip(earlier).filter(send -> send.exchange() == 1)
                    .forEach(send -> times.add(send.at() - start));
            baselineRate += 1.0 / gap;
        }
        times.sort(null);
        double limit = RecordingHost.OBLIGATIONS.fallMultiple() * RecordingHost.OBLIGATIONS.coldShare()
                * 2 * baselineRate / senders * RecordingHost.OBLIGATIONS.fall();
        assertFalse(times.isEmpty());
        for (int i = 0; i < times.size(); i++) {
            long from = times.get(i);
            long within = times.stream().filter(t -> t >= from && t < from + RecordingHost.OBLIGATIONS.fall()).count();
            assertTrue(within <= limit + 2 * Math.sqrt(limit), within + " set-ups within the window from " + from
                    + ", allowed " + limit);
        }
    }

    @Test
    void doesNotUseColdExchangeAsTandem() {
        RecordingHost host = RecordingHost.network(2);
        host.control.onExchangeList(host.now, ListKind.DELTA,
                List.of(RecordingHost.exchange(2, Readiness.READY, host.now)));
        host.advance(5 * RecordingHost.SECOND_MICROS);
        host.reportGroup(1, 0, 50);
        host.call(1);
        assertEquals(0, host.sends.size());
    }

    @Test
    void waitsForReleaseAfterReset() {
        RecordingHost host = RecordingHost.network(3);
        long call = host.call(1);
        host.answer(Status.RESET, Cause.NONE);
        host.reportGroup(1, 10, 50);
        assertEquals(1, host.sends.size());
        host.advance(RecordingHost.RELEASE_MICROS);
        assertEquals(2, host.sends.size());
        assertEquals(call, host.lastSend().call());
        assertTrue(host.lastSend().at() - host.sends.get(0).at() >= RecordingHost.RELEASE_MICROS);
    }

    @Test
    void answersCallWithLessTimeThanReleaseAfterReset() {
        RecordingHost host = RecordingHost.network(3);
        long call = host.call(0, 1, 0, 400_000, -1, false);
        host.answer(Status.RESET, Cause.NONE);
        host.advance(400_000);
        assertTrue(host.hasFinalAnswer(call));
        assertEquals(1, host.sends.size());
    }

    @Test
    void failsUnsafeCallThatMayHaveBeenExecuted() {
        RecordingHost host = new RecordingHost();
        host.start(RecordingHost.settings(Layout.NETWORK, Effect.UNSAFE, false));
        host.control.onExchangeList(host.now, ListKind.CACHED, List.of(
                RecordingHost.exchange(1, Readiness.READY, 0),
                RecordingHost.exchange(2, Readiness.READY, 0)));
        long call = host.call(1);
        host.answer(Status.RESET, Cause.NONE);
        host.advance(3 * RecordingHost.SECOND_MICROS);
        assertEquals(1, host.sends.size());
        assertEquals(List.of(call), host.failures);
        assertEquals(List.of(), host.refusals);
    }

    @Test
    void sendsFewerAndFewerCallsToUnresponsiveExchange() {
        RecordingHost host = RecordingHost.network(1);
        int early = 0;
        for (int i = 0; i < 400; i++) {
            int before = host.sends.size();
            host.call(1);
            if (host.sends.size() > before) {
                host.advance(50_000);
                host.answer(Status.CONNECT_FAILED, Cause.NONE);
            }
            host.advance(50_000);
            early = i == 40 ? host.sends.size() : early;
        }
        assertTrue(host.sends.size() - early < 8, "later set-ups: " + (host.sends.size() - early));
        assertTrue(host.logLines.contains("exchange 1 is overloaded or unresponsive, call gapping started"));
    }

    @Test
    void treatsProcessorThatAnswersAfterLongSilenceAsCold() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 40; i++) {
            int before = host.sends.size();
            host.call(1);
            if (host.sends.size() > before) {
                host.answer(Status.CONNECT_FAILED, Cause.NONE);
            }
            host.advance(500_000);
        }
        host.advance(5 * RecordingHost.SECOND_MICROS);
        host.call(1);
        host.establish();
        assertTrue(host.logLines.contains("exchange 1 is cold, set-ups limited"));
    }

    @Test
    void repeatsSubscriptionAfterListFailure() {
        RecordingHost host = new RecordingHost();
        host.start(RecordingHost.settings(Layout.NETWORK, Effect.SAFE, true));
        assertEquals(List.of(true), host.subscriptions);
        host.control.onExchangeList(host.now, ListKind.FAILED, List.of());
        host.advance(2 * RecordingHost.SECOND_MICROS);
        assertEquals(List.of(true, true), host.subscriptions);
    }

    @Test
    void usesPoolOfSecondChoiceWhenFirstHasNoAgent() {
        RecordingHost host = new RecordingHost();
        host.start(RecordingHost.settings(Layout.SKILLS, Effect.SAFE, false));
        host.control.onExchangeList(host.now, ListKind.CACHED, List.of(
                RecordingHost.exchange(1, Readiness.READY, 0),
                RecordingHost.exchange(2, Readiness.READY, 0),
                RecordingHost.exchange(3, Readiness.READY, 0)));
        host.call(1);
        assertEquals(1, host.lastSend().exchange());
        host.answer(Status.FULL, Cause.NO_CIRCUIT);
        assertEquals(2, host.lastSend().exchange());
    }

    @Test
    void ignoresUnexpectedEvents() {
        RecordingHost host = RecordingHost.network(1);
        host.control.onOutcome(host.now, new Outcome(99, 0, false, 1, 0, Status.FULL, Cause.NONE, 0,
                Report.EMPTY));
        host.control.onCallEstablished(host.now, 99, 0, 1, 0);
        host.control.onCallDropped(host.now, 99);
        host.control.onTimer(host.now, 99);
        host.control.onReport(host.now, 99, Status.OK, 0, Report.EMPTY);
        host.control.onPeer(host.now, 3, new byte[] {1, 2});
        assertEquals(List.of(), host.actions);
        long call = host.call(1);
        host.control.onCallDropped(host.now, call);
        host.answer(Status.CANCELLED, Cause.NONE);
        host.answer(Status.CANCELLED, Cause.NONE);
        host.advance(5 * RecordingHost.SECOND_MICROS);
        assertEquals(0, host.refusals.size() + host.failures.size());
        assertEquals(1, host.sends.size());
    }

    @Test
    void sameEventsGiveSameActions() {
        assertEquals(playFixedEvents(), playFixedEvents());
    }

    private static List<String> playFixedEvents() {
        RecordingHost host = RecordingHost.network(6);
        for (int i = 0; i < 300; i++) {
            host.reportGroup(1 + i % 6, i % 5, 49);
            host.call(1 + i * 7 % 6, i % 11);
            if (i % 3 == 0) {
                host.answer(i % 2 == 0 ? Status.FULL : Status.TIMEOUT,
                        i % 4 == 0 ? Cause.TANDEM_BLOCKED : Cause.PROCESSOR_FULL);
            }
            host.advance(100_000);
        }
        return host.actions;
    }
}
