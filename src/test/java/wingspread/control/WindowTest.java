package wingspread.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Status;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The window of the paper and the routes of the design. */
class WindowTest {

    /** Set-ups that go out unanswered when a hundred calls come at once: the window, rounded up. */
    private static int window(RecordingHost host, int place) {
        int before = host.sends.size();
        for (int i = 0; i < 100; i++) {
            host.call(place);
        }
        return host.sends.size() - before;
    }

    @Test
    void aCallGoesWhileTheUnansweredAreFewerThanTheWindow() {
        RecordingHost host = RecordingHost.network(1);
        assertEquals(2, window(host, 1));
    }

    @Test
    void anAnswerMakesRoomForACallHeldAtSource() {
        RecordingHost host = RecordingHost.network(1);
        host.call(1);
        host.call(1);
        long held = host.call(1);
        assertEquals(2, host.sends.size());
        host.stand();
        assertEquals(held, host.last().call());
    }

    @Test
    void theWindowGrowsByATenthAtTwoGoodAnswers() {
        RecordingHost host = RecordingHost.network(1);
        host.call(1);
        host.stand();
        host.call(1);
        host.stand();
        assertEquals(3, window(host, 1));
    }

    @Test
    void oneGoodAnswerAloneDoesNotGrowTheWindow() {
        RecordingHost host = RecordingHost.network(1);
        host.call(1);
        host.stand();
        assertEquals(2, window(host, 1));
    }

    @Test
    void processorFullCutsTheWindowAndClearsTheCounter() {
        RecordingHost host = RecordingHost.network(1);
        host.call(1);
        host.stand();
        for (int i = 0; i < 2; i++) {
            host.call(1);
            host.answer(Status.FULL, Cause.PROCESSOR_FULL);
        }
        host.call(1);
        host.stand();
        assertEquals(1, window(host, 1));
    }

    @Test
    void timeOutAndResetCutTheWindow() {
        for (Status bad : new Status[] {Status.TIMEOUT, Status.RESET}) {
            RecordingHost host = RecordingHost.network(1);
            for (int i = 0; i < 2; i++) {
                host.call(1);
                host.pass(RecordingHost.AIM);
                host.answer(bad, Cause.NONE);
            }
            assertEquals(1, window(host, 1), bad.toString());
        }
    }

    @Test
    void aSlowAnswerCutsTheWindow() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 2; i++) {
            host.call(1);
            host.pass(RecordingHost.AIM / 2);
            host.stand();
        }
        assertEquals(1, window(host, 1));
        RecordingHost quick = RecordingHost.network(1);
        for (int i = 0; i < 2; i++) {
            quick.call(1);
            quick.pass(RecordingHost.AIM / 10);
            quick.stand();
        }
        assertEquals(3, window(quick, 1));
    }

    @Test
    void belowOneACallGoesWithThatProbability() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 3; i++) {
            host.call(1);
            host.answer(Status.FULL, Cause.PROCESSOR_FULL);
        }
        for (int i = 0; i < 60; i++) {
            long call = host.call(1);
            if (host.last().call() == call) {
                host.answer(Status.CANCELLED, Cause.NONE);
            }
            host.pass(3 * RecordingHost.SECOND);
        }
        int sent = host.sends.size() - 3;
        assertTrue(sent >= 15 && sent <= 45, sent + " of 60 went");
    }

    @Test
    void aTurnBackForAFullDestinationCutsItsWindowNotTheTandems() {
        RecordingHost host = RecordingHost.network(2);
        for (int i = 0; i < 2; i++) {
            host.group(1, 0, 50);
            host.group(2, 50, 50);
            host.call(1);
            assertEquals(2, host.last().exchange());
            host.answer(Status.FULL, Cause.BEYOND_FULL);
        }
        host.group(1, 50, 50);
        assertEquals(1, window(host, 1));
        assertEquals(3, window(host, 2));
    }

    @Test
    void theDestinationsWindowRefusedMeansNoTandem() {
        RecordingHost host = RecordingHost.network(2);
        host.group(1, 50, 50);
        host.group(2, 50, 50);
        window(host, 1);
        assertTrue(host.sends.stream().allMatch(send -> send.exchange() == 1));
    }

    @Test
    void directFirstThenTheTandemThatWorked() {
        RecordingHost host = RecordingHost.network(5);
        for (int place = 1; place <= 5; place++) {
            host.group(place, 50, 50);
        }
        host.call(1);
        assertEquals(1, host.last().exchange());
        host.group(1, 0, 50);
        host.call(1);
        long tandem = host.last().exchange();
        host.stand();
        for (int i = 0; i < 10; i++) {
            host.call(1);
            assertEquals(tandem, host.last().exchange());
            host.stand();
        }
    }

    @Test
    void anotherTandemIsDrawnAfterATurnBackAndThenAPauseIsMade() {
        RecordingHost host = RecordingHost.network(5);
        host.group(1, 0, 50);
        long call = host.call(1);
        long first = host.last().exchange();
        host.answer(Status.FULL, Cause.TANDEM_BLOCKED);
        assertEquals(call, host.last().call());
        assertFalse(first == host.last().exchange());
        host.answer(Status.FULL, Cause.TANDEM_BLOCKED);
        host.call(1);
        assertEquals(2, host.sends.size());
        host.pass(RecordingHost.SECOND);
        host.call(1);
        assertEquals(3, host.sends.size());
    }

    @Test
    void aTandemTurnsTransitBackWhenFewOnwardCircuitsAreFree() {
        RecordingHost host = RecordingHost.network(2);
        host.group(1, 8, 49);
        host.transit(1);
        assertEquals(1, host.last().exchange());
        long turnedBack = host.transit(1);
        assertTrue(host.refusals.contains(turnedBack));
        host.call(1);
        assertEquals(2, host.sends.size());
    }

    @Test
    void aRedialPastItsAimLeavesTheReserve() {
        RecordingHost host = RecordingHost.network(1);
        host.group(1, 0, 49);
        long first = host.call(1, 77);
        host.pass(RecordingHost.AIM);
        assertTrue(host.refusals.contains(first));
        host.group(1, 7, 49);
        host.call(1, 77);
        assertEquals(0, host.sends.size());
        host.call(1, 78);
        assertEquals(1, host.sends.size());
    }

    @Test
    void moreWorthPerCircuitIsServedFirst() {
        RecordingHost host = RecordingHost.network(1);
        host.group(1, 0, 49);
        long wide = host.call(1, 1, 0, 3 * RecordingHost.SECOND, -1, false);
        long narrow = host.call(1);
        host.group(1, 4, 49);
        assertEquals(narrow, host.sends.get(0).call());
        assertFalse(host.answered(wide));
    }

    @Test
    void aBusyNumberIsHeldAtSource() {
        RecordingHost host = RecordingHost.network(1);
        host.call(1, 77);
        host.answer(Status.ERROR, Cause.LINES_BUSY);
        long held = host.call(1, 77);
        assertTrue(host.refusals.contains(held));
        host.call(1, 78);
        assertEquals(2, host.sends.size());
        host.pass(RecordingHost.SECOND);
        host.call(1, 77);
        assertEquals(3, host.sends.size());
    }

    @Test
    void aWindowOfSetUpsThatGoUnansweredTogetherMakesOneGap() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 100; i++) {
            host.call(1);
            host.stand();
        }
        for (int i = 0; i < 6; i++) {
            host.call(1);
        }
        List<RecordingHost.Send> out = List.copyOf(host.sends.subList(100, 106));
        host.pass(RecordingHost.AIM);
        out.forEach(send -> host.answer(send, Status.TIMEOUT, Cause.NONE));
        host.pass(RecordingHost.SECOND);
        int before = host.sends.size();
        host.call(1);
        assertEquals(before + 1, host.sends.size(), "the first gap is over after a second");
        host.answer(Status.CANCELLED, Cause.NONE);
        host.call(1);
        assertEquals(before + 2, host.sends.size(), "a set-up that was given up tells nothing");
    }

    /** Calls sent to the last of many exchanges that took each other's place, in its first seconds. */
    private static int sentToTheLastOf(int replacements) {
        RecordingHost host = RecordingHost.network(2);
        host.group(1, 20, 20);
        host.group(2, 20, 20);
        long before = 1;
        for (int i = 0; i < 200; i++) {
            host.call(2);
            host.stand();
            host.pass(RecordingHost.SECOND / 10);
        }
        for (long next = 11; next < 11 + replacements; next++) {
            host.control.onExchangeList(host.now, ListKind.DELTA, List.of(
                    new Exchange(before, 0, 0, 1, Readiness.GONE, 1, 0),
                    new Exchange(next, 0, 0, 1, Readiness.READY, 1, host.now)));
            host.group((int) next, 20, 20);
            before = next;
        }
        int sent = host.sends.size();
        for (int i = 0; i < 100; i++) {
            int had = host.sends.size();
            host.call(1);
            if (host.sends.size() > had) {
                host.stand();
            }
            host.pass(RecordingHost.SECOND / 50);
        }
        return host.sends.size() - sent;
    }

    @Test
    void anExchangeThatHasGoneTakesNothingFromTheShareOfItsSuccessors() {
        int once = sentToTheLastOf(1);
        assertTrue(sentToTheLastOf(20) >= once - 1, "as many as after one replacement: " + once);
    }

    @Test
    void aSignallingFaultIsTriedAgainOnTheSameRouteUpToTheMostAttempts() {
        RecordingHost host = RecordingHost.network(1);
        long call = host.call(1);
        for (int i = 0; i < 6; i++) {
            assertEquals(call, host.last().call());
            assertFalse(host.answered(call));
            host.answer(Status.ERROR, Cause.NONE);
        }
        assertTrue(host.answered(call));
        assertEquals(6, host.sends.size());
    }

    @Test
    void badAnswersFromSeveralExchangesCutTheOwnWindowInsteadOfTheirs() {
        RecordingHost host = RecordingHost.network(6);
        for (int i = 0; i < 60; i++) {
            int before = host.sends.size();
            host.call(1 + i % 6);
            if (host.sends.size() > before) {
                host.pass(RecordingHost.AIM);
                host.answer(Status.TIMEOUT, Cause.NONE);
            }
            host.pass(RecordingHost.SECOND);
        }
        assertEquals(List.of(), host.lines, "no far exchange is held to be silent");
        int before = host.sends.size();
        for (int place = 1; place <= 6; place++) {
            host.call(place);
        }
        assertEquals(1, host.sends.size() - before);
    }

    @Test
    void badAnswersFromOneExchangeLeaveTheOthersAlone() {
        RecordingHost host = RecordingHost.network(6);
        for (int i = 0; i < 20; i++) {
            int before = host.sends.size();
            host.call(1);
            if (host.sends.size() > before) {
                host.pass(RecordingHost.AIM);
                host.answer(Status.TIMEOUT, Cause.NONE);
            }
            host.pass(RecordingHost.SECOND);
        }
        int before = host.sends.size();
        for (int place = 2; place <= 6; place++) {
            host.call(place);
        }
        assertEquals(5, host.sends.size() - before);
    }

    @Test
    void aProcessorFullAtTheLeastWindowIsGapped() {
        RecordingHost host = RecordingHost.network(1);
        int answered = 0;
        for (int i = 0; i < 200; i++) {
            host.call(1);
            while (answered < host.sends.size()) {
                host.answer(host.sends.get(answered++), Status.FULL, Cause.PROCESSOR_FULL);
            }
            host.pass(50_000);
        }
        assertTrue(host.lines.contains("exchange 1 is overloaded or unresponsive, call gapping started"));
        assertTrue(host.sends.size() < 20, host.sends.size() + " set-ups to a processor that refuses them all");
    }

    /** Calls until one is sent, with none held by then. */
    private static void sendOne(RecordingHost host) {
        int before = host.sends.size();
        host.call(1);
        for (int i = 0; i < 100 && host.sends.size() == before; i++) {
            host.pass(RecordingHost.AIM);
            host.call(1);
        }
        assertEquals(before + 1, host.sends.size());
    }

    @Test
    void theWindowDoesNotFallBelowItsLeast() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 5; i++) {
            sendOne(host);
            host.pass(1_000);
            host.answer(Status.FULL, Cause.PROCESSOR_FULL);
            host.pass(10 * RecordingHost.SECOND);
        }
        for (int i = 0; i < 14; i++) {
            sendOne(host);
            host.stand();
            host.pass(10 * RecordingHost.SECOND);
        }
        host.pass(2 * RecordingHost.COLD);
        assertEquals(2, window(host, 1));
    }

    @Test
    void theWindowDoesNotRiseAboveAHundred() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 5000; i++) {
            host.call(1);
            host.stand();
        }
        int before = host.sends.size();
        for (int i = 0; i < 150; i++) {
            host.call(1);
        }
        assertEquals(100, host.sends.size() - before);
    }

    @Test
    void turnBacksOfManyDestinationsTogetherMakeTandemsRare() {
        RecordingHost[] host = new RecordingHost[1];
        int early = turnedBackTandems(host, 4);
        turnBack(host[0], 50);
        assertTrue(early >= 6, early + " sends of 4 calls");
        assertTrue(host[0].sends.size() < 50, host[0].sends.size() + " sends of 54 calls");
    }

    @Test
    void aPairWithoutAGroupKeepsItsTandems() {
        RecordingHost[] host = new RecordingHost[1];
        turnedBackTandems(host, 50);
        host[0].group(30, 0, 0);
        host[0].pass(RecordingHost.SECOND);
        int before = host[0].sends.size();
        host[0].call(30);
        assertEquals(before + 1, host[0].sends.size());
    }

    /** Calls to ever other destinations without room, whose tandems all turn them back; the sends. */
    private static int turnedBackTandems(RecordingHost[] made, int calls) {
        RecordingHost host = RecordingHost.network(60);
        for (int place = 1; place <= 50; place++) {
            host.group(place, 0, 4);
        }
        made[0] = host;
        turnBack(host, calls);
        return host.sends.size();
    }

    private static void turnBack(RecordingHost host, int calls) {
        for (int i = 0; i < calls; i++) {
            int before = host.sends.size();
            host.call(1 + i % 50);
            while (host.sends.size() > before) {
                before = host.sends.size();
                host.answer(Status.FULL, Cause.TANDEM_BLOCKED);
            }
            host.pass(10 * RecordingHost.SECOND);
        }
    }

    @Test
    void aPairWithoutAGroupUsesTheReserveTowardItsTandem() {
        RecordingHost host = RecordingHost.network(2);
        host.group(2, 1, 9);
        host.group(1, 0, 9);
        host.call(1);
        assertEquals(0, host.sends.size());
        host.group(1, 0, 0);
        host.call(1);
        assertEquals(2, host.last().exchange());
    }

    @Test
    void aSmallGroupKeepsNoReserve() {
        RecordingHost host = RecordingHost.network(2);
        host.group(1, 0, 4);
        host.group(2, 1, 4);
        host.call(1);
        assertEquals(2, host.last().exchange());
    }

    @Test
    void aStartToldByTheListEndsTheGap() {
        RecordingHost host = RecordingHost.network(1);
        for (int i = 0; i < 4; i++) {
            host.call(1);
            host.answer(Status.CONNECT_FAILED, Cause.NONE);
            host.pass(i < 3 ? RecordingHost.SECOND * (1 << i) : 0);
        }
        int before = host.sends.size();
        host.call(1);
        host.pass(100_000);
        assertEquals(before, host.sends.size());
        host.control.onExchangeList(host.now, CallControl.ListKind.DELTA,
                List.of(RecordingHost.exchange(1, CallControl.Readiness.READY, host.now)));
        host.pass(3 * RecordingHost.SECOND);
        host.call(1);
        assertEquals(before + 1, host.sends.size());
    }

    @Test
    void gapsGrowWithTheNumberOfSenders() {
        assertTrue(sendsToASilentExchange(8) > 2 * sendsToASilentExchange(80));
    }

    private static int sendsToASilentExchange(int senders) {
        RecordingHost host = RecordingHost.network(senders - 1);
        for (int i = 0; i < 600; i++) {
            int before = host.sends.size();
            host.call(1);
            if (host.sends.size() > before) {
                host.answer(Status.CONNECT_FAILED, Cause.NONE);
            }
            host.pass(100_000);
        }
        return host.sends.size();
    }
}
