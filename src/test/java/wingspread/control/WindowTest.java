package wingspread.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Status;

/** Tests the window control of the paper, routing, call gapping and calls held at source. */
class WindowTest {

    /** Returns the set-ups sent without an answer when 100 calls arrive at once: the window, rounded up. */
    private static int window(RecordingHost host, int place) {
        int before = host.sends.size();
        for (int i = 0; i < 100; i++) {
            host.call(place);
        }
        return host.sends.size() - before;
    }

    @Test
    void admitsCallsWhileFewerThanWindowAreUnanswered() {
        RecordingHost host = RecordingHost.network(1);
        assertEquals(2, window(host, 1));
    }

    @Test
    void sendsCallHeldAtSourceAfterAnswer() {
        RecordingHost host = RecordingHost.network(1);
        host.call(1);
        host.call(1);
        long held = host.call(1);
        assertEquals(2, host.sends.size());
        host.establish();
        assertEquals(held, host.lastSend().call());
    }

    @Test
    void increasesWindowByOneTenthAfterTwoGoodAnswers() {
        RecordingHost host = RecordingHost.network(1);
        host.call(1);
        host.establish();
        host.call(1);
        host.establish();
        assertEquals(3, window(host, 1));
    }

    @Test
    void doesNotIncreaseWindowAfterOneGoodAnswer() {
        RecordingHost host = RecordingHost.network(1);
        host.call(1);
        host.establish();
        assertEquals(2, window(host, 1));
    }

    @Test
    void cutsWindowAndResetsGoodAnswersOnProcessorFull() {
        RecordingHost host = RecordingHost.network(1);
        host.call(1);
        host.establish();
        for (int i = 0; i < 2; i++) {
            host.call(1);
            host.answer(Status.FULL, Cause.PROCESSOR_FULL);
        }
        host.call(1);
        host.establish();
        assertEquals(1, window(host, 1));
    }

    @Test
    void cutsWindowOnTimeoutAndReset() {
        for (Status bad : new Status[] {Status.TIMEOUT, Status.RESET}) {
            RecordingHost host = RecordingHost.network(1);
            for (int i = 0; i < 2; i++) {
                host.call(1);
                host.advance(RecordingHost.AIM_MICROS);
                host.answer(bad, Cause.NONE);
            }
            assertEquals(1, window(host, 1), bad.toString());
        }
    }

    @Test
    void cutsWindowOnSlowAnswer() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 2; i++) {
            host.call(1);
            host.advance(RecordingHost.AIM_MICROS / 2);
            host.establish();
        }
        assertEquals(1, window(host, 1));
        RecordingHost quick = RecordingHost.network(1);
        for (int i = 0; i < 2; i++) {
            quick.call(1);
            quick.advance(RecordingHost.AIM_MICROS / 10);
            quick.establish();
        }
        assertEquals(3, window(quick, 1));
    }

    @Test
    void admitsCallsWithProbabilityOfWindowBelowOne() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 3; i++) {
            host.call(1);
            host.answer(Status.FULL, Cause.PROCESSOR_FULL);
        }
        for (int i = 0; i < 60; i++) {
            long call = host.call(1);
            if (host.lastSend().call() == call) {
                host.answer(Status.CANCELLED, Cause.NONE);
            }
            host.advance(3 * RecordingHost.SECOND_MICROS);
        }
        int sent = host.sends.size() - 3;
        assertTrue(sent >= 15 && sent <= 45, sent + " of 60 calls were sent");
    }

    @Test
    void cutsWindowOfDestinationNotOfTandemOnBeyondFull() {
        RecordingHost host = RecordingHost.network(2);
        for (int i = 0; i < 2; i++) {
            host.reportGroup(1, 0, 50);
            host.reportGroup(2, 50, 50);
            host.call(1);
            assertEquals(2, host.lastSend().exchange());
            host.answer(Status.FULL, Cause.BEYOND_FULL);
        }
        host.reportGroup(1, 50, 50);
        assertEquals(1, window(host, 1));
        assertEquals(3, window(host, 2));
    }

    @Test
    void triesNoTandemWhenWindowOfDestinationIsFull() {
        RecordingHost host = RecordingHost.network(2);
        host.reportGroup(1, 50, 50);
        host.reportGroup(2, 50, 50);
        window(host, 1);
        assertTrue(host.sends.stream().allMatch(send -> send.exchange() == 1));
    }

    @Test
    void triesDirectRouteFirstThenRememberedTandem() {
        RecordingHost host = RecordingHost.network(5);
        for (int place = 1; place <= 5; place++) {
            host.reportGroup(place, 50, 50);
        }
        host.call(1);
        assertEquals(1, host.lastSend().exchange());
        host.reportGroup(1, 0, 50);
        host.call(1);
        long tandem = host.lastSend().exchange();
        host.establish();
        for (int i = 0; i < 10; i++) {
            host.call(1);
            assertEquals(tandem, host.lastSend().exchange());
            host.establish();
        }
    }

    @Test
    void choosesAnotherTandemAfterCrankbackThenPauses() {
        RecordingHost host = RecordingHost.network(5);
        host.reportGroup(1, 0, 50);
        long call = host.call(1);
        long first = host.lastSend().exchange();
        host.answer(Status.FULL, Cause.TANDEM_BLOCKED);
        assertEquals(call, host.lastSend().call());
        assertFalse(first == host.lastSend().exchange());
        host.answer(Status.FULL, Cause.TANDEM_BLOCKED);
        host.call(1);
        assertEquals(2, host.sends.size());
        host.advance(RecordingHost.SECOND_MICROS);
        host.call(1);
        assertEquals(3, host.sends.size());
    }

    @Test
    void refusesTransitCallsWhenFewOnwardCircuitsAreFree() {
        RecordingHost host = RecordingHost.network(2);
        host.reportGroup(1, 8, 49);
        host.transit(1);
        assertEquals(1, host.lastSend().exchange());
        long turnedBack = host.transit(1);
        assertTrue(host.refusals.contains(turnedBack));
        host.call(1);
        assertEquals(2, host.sends.size());
    }

    @Test
    void doesNotUseReserveForRedialPastItsAim() {
        RecordingHost host = RecordingHost.network(1);
        host.reportGroup(1, 0, 49);
        long first = host.call(1, 77);
        host.advance(RecordingHost.AIM_MICROS);
        assertTrue(host.refusals.contains(first));
        host.reportGroup(1, 7, 49);
        host.call(1, 77);
        assertEquals(0, host.sends.size());
        host.call(1, 78);
        assertEquals(1, host.sends.size());
    }

    /** Guards against memory exhaustion by a flood of refused calls to different numbers. */
    @Test
    void forgetsOldestRefusedNumberBeyondTheMaximum() {
        RecordingHost host = RecordingHost.network(1);
        host.reportGroup(1, 0, 49);
        host.call(1, 77);
        host.advance(RecordingHost.AIM_MICROS);
        for (int number = 1_000; number < 1_000 + 4_095; number++) {
            host.call(9, number);
        }
        host.reportGroup(1, 7, 49);
        host.call(1, 77);
        assertEquals(0, host.sends.size(), "the redial must be recognized while its number is remembered");
        host.call(9, 999);
        host.call(1, 77);
        assertEquals(1, host.sends.size(), "the oldest number must be forgotten at the maximum");
    }

    @Test
    void servesHeldCallOfHigherValuePerCircuitFirst() {
        RecordingHost host = RecordingHost.network(1);
        host.reportGroup(1, 0, 49);
        long wide = host.call(1, 1, 0, 3 * RecordingHost.SECOND_MICROS, -1, false);
        long narrow = host.call(1);
        host.reportGroup(1, 4, 49);
        assertEquals(narrow, host.sends.get(0).call());
        assertFalse(host.hasFinalAnswer(wide));
    }

    @Test
    void refusesCallsToBusyNumberAtSourceDuringGap() {
        RecordingHost host = RecordingHost.network(1);
        host.call(1, 77);
        host.answer(Status.ERROR, Cause.LINES_BUSY);
        long held = host.call(1, 77);
        assertTrue(host.refusals.contains(held));
        host.call(1, 78);
        assertEquals(2, host.sends.size());
        host.advance(RecordingHost.SECOND_MICROS);
        host.call(1, 77);
        assertEquals(3, host.sends.size());
    }

    @Test
    void startsOneGapForWindowOfUnansweredSetUps() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 100; i++) {
            host.call(1);
            host.establish();
        }
        for (int i = 0; i < 6; i++) {
            host.call(1);
        }
        List<RecordingHost.Send> out = List.copyOf(host.sends.subList(100, 106));
        host.advance(RecordingHost.AIM_MICROS);
        out.forEach(send -> host.answer(send, Status.TIMEOUT, Cause.NONE));
        host.advance(RecordingHost.SECOND_MICROS);
        int before = host.sends.size();
        host.call(1);
        assertEquals(before + 1, host.sends.size(), "the first gap ends within a second");
        host.answer(Status.CANCELLED, Cause.NONE);
        host.call(1);
        assertEquals(before + 2, host.sends.size(), "a cancelled set-up does not count as unanswered");
    }

    /** Returns the set-ups sent in its first 2 s to the last of several exchanges that replaced one another. */
    private static int sentToLastReplacement(int replacements) {
        RecordingHost host = RecordingHost.network(2);
        host.reportGroup(1, 20, 20);
        host.reportGroup(2, 20, 20);
        long before = 1;
        for (int i = 0; i < 200; i++) {
            host.call(2);
            host.establish();
            host.advance(RecordingHost.SECOND_MICROS / 10);
        }
        for (long next = 11; next < 11 + replacements; next++) {
            host.control.onExchangeList(host.now, ListKind.DELTA, List.of(
                    new Exchange(before, 0, 0, 1, Readiness.GONE, 1, 0),
                    new Exchange(next, 0, 0, 1, Readiness.READY, 1, host.now)));
            host.reportGroup((int) next, 20, 20);
            before = next;
        }
        int sent = host.sends.size();
        for (int i = 0; i < 100; i++) {
            int had = host.sends.size();
            host.call(1);
            if (host.sends.size() > had) {
                host.establish();
            }
            host.advance(RecordingHost.SECOND_MICROS / 50);
        }
        return host.sends.size() - sent;
    }

    @Test
    void removedExchangesDoNotReduceShareOfTheirSuccessors() {
        int once = sentToLastReplacement(1);
        assertTrue(sentToLastReplacement(20) >= once - 1, "fewer set-ups than after one replacement: " + once);
    }

    @Test
    void repeatsAfterSignallingFaultOnSameRouteUpToMaxAttempts() {
        RecordingHost host = RecordingHost.network(1);
        long call = host.call(1);
        for (int i = 0; i < 6; i++) {
            assertEquals(call, host.lastSend().call());
            assertFalse(host.hasFinalAnswer(call));
            host.answer(Status.ERROR, Cause.NONE);
        }
        assertTrue(host.hasFinalAnswer(call));
        assertEquals(6, host.sends.size());
    }

    @Test
    void badAnswersFromSeveralExchangesCutOwnWindowInsteadOfTheirs() {
        RecordingHost host = RecordingHost.network(6);
        for (int i = 0; i < 60; i++) {
            int before = host.sends.size();
            host.call(1 + i % 6);
            if (host.sends.size() > before) {
                host.advance(RecordingHost.AIM_MICROS);
                host.answer(Status.TIMEOUT, Cause.NONE);
            }
            host.advance(RecordingHost.SECOND_MICROS);
        }
        assertEquals(List.of(), host.logLines, "no far exchange is gapped");
        int before = host.sends.size();
        for (int place = 1; place <= 6; place++) {
            host.call(place);
        }
        assertEquals(1, host.sends.size() - before);
    }

    @Test
    void badAnswersFromOneExchangeDoNotLimitOthers() {
        RecordingHost host = RecordingHost.network(6);
        for (int i = 0; i < 20; i++) {
            int before = host.sends.size();
            host.call(1);
            if (host.sends.size() > before) {
                host.advance(RecordingHost.AIM_MICROS);
                host.answer(Status.TIMEOUT, Cause.NONE);
            }
            host.advance(RecordingHost.SECOND_MICROS);
        }
        int before = host.sends.size();
        for (int place = 2; place <= 6; place++) {
            host.call(place);
        }
        assertEquals(5, host.sends.size() - before);
    }

    @Test
    void gapsProcessorThatIsFullAtMinWindow() {
        RecordingHost host = RecordingHost.network(1);
        int answered = 0;
        for (int i = 0; i < 200; i++) {
            host.call(1);
            while (answered < host.sends.size()) {
                host.answer(host.sends.get(answered++), Status.FULL, Cause.PROCESSOR_FULL);
            }
            host.advance(50_000);
        }
        assertTrue(host.logLines.contains("exchange 1 is overloaded or unresponsive, call gapping started"));
        assertTrue(host.sends.size() < 20, host.sends.size() + " set-ups to a processor that refuses them all");
    }

    /** Offers calls until exactly one set-up is sent. */
    private static void sendOne(RecordingHost host) {
        int before = host.sends.size();
        host.call(1);
        for (int i = 0; i < 100 && host.sends.size() == before; i++) {
            host.advance(RecordingHost.AIM_MICROS);
            host.call(1);
        }
        assertEquals(before + 1, host.sends.size());
    }

    @Test
    void windowDoesNotFallBelowMin() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 5; i++) {
            sendOne(host);
            host.advance(1_000);
            host.answer(Status.FULL, Cause.PROCESSOR_FULL);
            host.advance(10 * RecordingHost.SECOND_MICROS);
        }
        for (int i = 0; i < 14; i++) {
            sendOne(host);
            host.establish();
            host.advance(10 * RecordingHost.SECOND_MICROS);
        }
        host.advance(2 * RecordingHost.COLD_MICROS);
        assertEquals(2, window(host, 1));
    }

    @Test
    void windowDoesNotRiseAboveMax() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 5000; i++) {
            host.call(1);
            host.establish();
        }
        int before = host.sends.size();
        for (int i = 0; i < 150; i++) {
            host.call(1);
        }
        assertEquals(100, host.sends.size() - before);
    }

    @Test
    void limitsTandemsAfterCrankbacksOfManyDestinations() {
        RecordingHost[] host = new RecordingHost[1];
        int early = sendsOfCrankedBackCalls(host, 4);
        crankBackCalls(host[0], 50);
        assertTrue(early >= 6, early + " sends of 4 calls");
        assertTrue(host[0].sends.size() < 50, host[0].sends.size() + " sends of 54 calls");
    }

    @Test
    void doesNotLimitTandemsOfPairWithoutGroup() {
        RecordingHost[] host = new RecordingHost[1];
        sendsOfCrankedBackCalls(host, 50);
        host[0].reportGroup(30, 0, 0);
        host[0].advance(RecordingHost.SECOND_MICROS);
        int before = host[0].sends.size();
        host[0].call(30);
        assertEquals(before + 1, host[0].sends.size());
    }

    /** Returns the set-ups of calls to changing destinations without free circuits, whose tandems all refuse them. */
    private static int sendsOfCrankedBackCalls(RecordingHost[] hostResult, int calls) {
        RecordingHost host = RecordingHost.network(60);
        for (int place = 1; place <= 50; place++) {
            host.reportGroup(place, 0, 4);
        }
        hostResult[0] = host;
        crankBackCalls(host, calls);
        return host.sends.size();
    }

    private static void crankBackCalls(RecordingHost host, int calls) {
        for (int i = 0; i < calls; i++) {
            int before = host.sends.size();
            host.call(1 + i % 50);
            while (host.sends.size() > before) {
                before = host.sends.size();
                host.answer(Status.FULL, Cause.TANDEM_BLOCKED);
            }
            host.advance(10 * RecordingHost.SECOND_MICROS);
        }
    }

    @Test
    void pairWithoutGroupUsesReserveTowardTandem() {
        RecordingHost host = RecordingHost.network(2);
        host.reportGroup(2, 1, 9);
        host.reportGroup(1, 0, 9);
        host.call(1);
        assertEquals(0, host.sends.size());
        host.reportGroup(1, 0, 0);
        host.call(1);
        assertEquals(2, host.lastSend().exchange());
    }

    @Test
    void smallGroupKeepsNoReserve() {
        RecordingHost host = RecordingHost.network(2);
        host.reportGroup(1, 0, 4);
        host.reportGroup(2, 1, 4);
        host.call(1);
        assertEquals(2, host.lastSend().exchange());
    }

    @Test
    void restartReportedByListEndsGap() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 4; i++) {
            host.call(1);
            host.answer(Status.CONNECT_FAILED, Cause.NONE);
            host.advance(i < 3 ? RecordingHost.SECOND_MICROS * (1 << i) : 0);
        }
        int before = host.sends.size();
        host.call(1);
        host.advance(100_000);
        assertEquals(before, host.sends.size());
        host.control.onExchangeList(host.now, CallControl.ListKind.DELTA,
                List.of(RecordingHost.exchange(1, CallControl.Readiness.READY, host.now)));
        host.advance(3 * RecordingHost.SECOND_MICROS);
        host.call(1);
        assertEquals(before + 1, host.sends.size());
    }

    @Test
    void gapsGrowWithNumberOfSenders() {
        assertTrue(sendsToUnresponsiveExchange(8) > 2 * sendsToUnresponsiveExchange(80));
    }

    private static int sendsToUnresponsiveExchange(int senders) {
        RecordingHost host = RecordingHost.network(senders - 1);
        for (int i = 0; i < 600; i++) {
            int before = host.sends.size();
            host.call(1);
            if (host.sends.size() > before) {
                host.answer(Status.CONNECT_FAILED, Cause.NONE);
            }
            host.advance(100_000);
        }
        return host.sends.size();
    }
}
