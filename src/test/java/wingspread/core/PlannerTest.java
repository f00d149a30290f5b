package wingspread.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wingspread.control.CallControl.CallClass;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Effect;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.Layout;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Obligations;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.RepeatGroup;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Reports;
import wingspread.control.CallControl.Settings;
import wingspread.control.CallControl.Status;
import wingspread.control.ControlParameters;
import wingspread.metrics.Metrics;
import wingspread.storm.StormParameters;

/** Tests the planner between a recording caller and a recording exchange, on a manual clock. */
class PlannerTest {
    private static final long TARGET_MICROS = 1_500_000;
    private static final long TIME_LEFT_MICROS = 3_000_000;
    private static final long DAY_MICROS = 86_400_000_000L;
    /** The ways of {@link #runCallToItsEnd}. */
    private static final int WAYS_TO_END = 6;
    private static final byte[] DESCRIPTION = {'v', '=', '0', '\r', '\n', (byte) 0xe9};

    private final List<String> recorded = new ArrayList<>();
    private final List<Long> checks = new ArrayList<>();
    private final List<String> endedCalls = new ArrayList<>();
    private Metrics metrics = new Metrics();
    private long lastWait;
    private long now = 1_000_000_000;
    private Planner planner;
    private boolean nextProcessCanNotify = true;
    private boolean callerReachable = true;

    private final class RecordingEndpoint implements ExchangeTransport, Caller, Caller.UnknownCallListener {
        @Override
        public void invite(Attempt attempt) {
            recorded.add("invite " + attempt.request().id() + " " + attempt.exchange());
        }

        @Override
        public void cancelAttempt(Attempt attempt) {
            recorded.add("cancel " + attempt.request().id());
        }

        @Override
        public void release(long exchange, String call, int cause) {
            recorded.add("release " + call + " " + cause);
        }

        @Override
        public void callEnded(long exchange, String call) {
            endedCalls.add(call);
        }

        @Override
        public void closeIdle(long exchange) {
            recorded.add("close idle " + exchange);
        }

        @Override
        public boolean checkLiveness(long exchange) {
            checks.add(exchange);
            return true;
        }

        @Override
        public void onEstablished(byte[] description) {
            recorded.add("established " + description.length);
        }

        @Override
        public void onAbandoned() {
            recorded.add("abandoned");
        }

        @Override
        public void onRefused(long wait) {
            lastWait = wait;
            recorded.add("refused");
        }

        @Override
        public void onFailed() {
            recorded.add("failed");
        }

        @Override
        public boolean isReachable() {
            return callerReachable;
        }

        @Override
        public boolean survivesRestart() {
            return nextProcessCanNotify;
        }

        @Override
        public void onEnded(String call, int cause) {
            recorded.add("unknown call ended " + call + " " + cause);
        }

        @Override
        public void onEnded(int cause) {
            recorded.add("ended " + cause);
        }
    }

    private final RecordingEndpoint endpoint = new RecordingEndpoint();
    private Settings settings;

    @BeforeEach
    void createPlannerWithTwoExchanges() {
        CallClass plain = new CallClass("plain", TARGET_MICROS, 9_000_000, 1, 0.1, 1, 10_000_000, Effect.SAFE,
                RepeatGroup.ALL, 0, List.of());
        settings = new Settings(Layout.NETWORK, 0, 0, 0, 3, List.of(plain), false, Reports.PIGGYBACK,
                false, false, true, false, false, true, 2_000_000, 6, 200_000, 0,
                new Obligations(20_000, 500_000, 0, 0.3, 14_000_000, 2, 1_000_000));
        planner = new Planner(() -> now, settings, ControlParameters.DEFAULTS, 7, 3, endpoint, endpoint, metrics);
        listExchanges();
    }

    private void listExchanges() {
        planner.post(new Event.Listed(ListKind.CACHED, List.of(exchange(1, Readiness.READY, 0),
                exchange(2, Readiness.READY, 0))));
        planner.post(new Event.Reported(1, reportWithFree(20)));
        planner.post(new Event.Reported(2, reportWithFree(20)));
        planner.turn();
    }

    private static Exchange exchange(int place, Readiness readiness, long upSince) {
        return new Exchange(place, 0, 0, place, readiness, 1, upSince);
    }

    private static Report reportWithFree(double circuits) {
        return new Report(circuits, 20, Double.NaN, 0, Double.NaN, Double.NaN, 100, Double.NaN);
    }

    private static Report reportOfLargeGroup(double freeCircuits) {
        return new Report(freeCircuits, 100, Double.NaN, 0, Double.NaN, Double.NaN, 100, Double.NaN);
    }

    private void process(Event event) {
        planner.post(event);
        planner.turn();
    }

    private void offer(String id) {
        process(new Event.Offered(new Request(id, "plain", 0, "ab", DESCRIPTION, now + TIME_LEFT_MICROS, 1, 1, -1,
                false, false, false), endpoint));
    }

    private void advance(long micros) {
        now += micros;
        planner.turn();
    }

    private void assertRecorded(String... expected) {
        assertEquals(List.of(expected), recorded);
        recorded.clear();
    }

    private void offer(String id, boolean redial, boolean transit) {
        process(new Event.Offered(new Request(id, "plain", 0, "ab" + id, DESCRIPTION, now + TIME_LEFT_MICROS, 1,
                1, 2, redial, transit, false), endpoint));
    }

    @Test
    void refusesOnlyRedialsDuringStormAndAdvisesAWait() {
        metrics = new Metrics();
        planner = new Planner(() -> now, settings, ControlParameters.DEFAULTS, 7, 1_000, endpoint, endpoint, metrics,
                StormParameters.DEFAULTS);
        for (int i = 0; i < 200; i++) {
            now += 10_000;
            offer("redial" + i, true, false);
        }
        long refusedCount = metrics.value("answered.storm");
        assertTrue(refusedCount > 100, refusedCount + " of 200");
        recorded.clear();
        offer("one more", true, false);
        assertRecorded("refused");
        assertTrue(lastWait > 0 && lastWait <= settings.maxRetryAfter(), "wait " + lastWait);
        assertEquals(refusedCount + 1, metrics.value("answered.storm"));
        offer("first", false, false);
        offer("in transit", true, true);
        assertEquals(refusedCount + 1, metrics.value("answered.storm"));
        // Redials scheduled beyond the maximum wait are spread over it too and do not all get the same wait.
        long maxWait = settings.maxRetryAfter();
        int lateCount = 0;
        for (int i = 0; i < 200; i++) {
            offer("late" + i, true, false);
            assertTrue(lastWait > 0 && lastWait <= maxWait, "wait " + lastWait);
            lateCount += lastWait > maxWait * 9 / 10 ? 1 : 0;
        }
        assertTrue(lateCount < 40, lateCount + " of 200 redials fall in the last tenth of the maximum wait");
    }

    @Test
    void establishesCallAndNotifiesCallerOfItsEnd() {
        offer("a");
        assertRecorded("invite a 1");
        process(new Event.Answered(1, "a", DESCRIPTION));
        assertRecorded("established 6");
        advance(TIME_LEFT_MICROS);
        assertRecorded();
        process(new Event.Released(1, "a", 16, Report.EMPTY));
        assertRecorded("ended 16");
        assertEquals(0, planner.unansweredCalls());
    }

    @Test
    void acceptsAnswerToSecondAttemptAtSameExchange() {
        offer("a");
        process(new Event.Rejected(1, "a", Status.ERROR, Cause.NONE, Report.EMPTY));
        process(new Event.Answered(1, "a", DESCRIPTION));
        assertRecorded("invite a 1", "invite a 1", "established 6");
    }

    @Test
    void releasesCallAnsweredAfterTimeout() {
        offer("a");
        advance(TARGET_MICROS);
        assertRecorded("invite a 1", "cancel a", "refused");
        process(new Event.Answered(1, "a", DESCRIPTION));
        assertRecorded("release a 16");
    }

    @Test
    void confirmsAbandonedCallOnceAndCancelsItsSetUp() {
        offer("a");
        process(new Event.CallerAbandoned("a", endpoint));
        assertRecorded("invite a 1", "abandoned", "cancel a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        assertRecorded("release a 16");
    }

    @Test
    void keepsWindowsOpenWhenSetUpsAreAbandonedInTheirFirstTurn() {
        for (int i = 0; i < 20; i++) {
            String id = "w" + i;
            planner.post(new Event.Offered(new Request(id, "plain", 0, "ab", DESCRIPTION, now + TIME_LEFT_MICROS, 1, 1,
                    -1, false, false, false), endpoint));
            process(new Event.CallerAbandoned(id, endpoint));
            advance(1);
            assertRecorded("abandoned");
        }
        offer("a");
        assertRecorded("invite a 1");
    }

    @Test
    void ignoresAbandonmentByAnotherCallerWithSameCallId() {
        RecordingEndpoint other = new RecordingEndpoint();
        offer("a");
        process(new Event.CallerAbandoned("a", other));
        assertRecorded("invite a 1");
        process(new Event.Answered(1, "a", DESCRIPTION));
        process(new Event.CallerAbandoned("a", other));
        assertRecorded("established 6");
        process(new Event.Released(1, "a", 16, Report.EMPTY));
        assertRecorded("ended 16");
    }

    @Test
    void passesOnReleaseOfCallFromBeforeRestartOnce() {
        process(new Event.Released(1, "before", 16, Report.EMPTY));
        process(new Event.Released(1, "before", 16, Report.EMPTY));
        assertRecorded("unknown call ended before 16");
        offer("a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        process(new Event.Released(1, "a", 16, Report.EMPTY));
        process(new Event.Released(1, "a", 16, Report.EMPTY));
        assertRecorded("invite a 1", "established 6", "ended 16");
    }

    @Test
    void tellsTransportOfEachEstablishedCallThatEndsWithoutRelease() {
        offer("a");
        offer("b");
        offer("c");
        for (String call : List.of("a", "b", "c")) {
            process(new Event.Answered(1, call, DESCRIPTION));
        }
        process(new Event.Released(1, "a", 16, Report.EMPTY));
        assertEquals(List.of("a"), endedCalls);
        process(new Event.CallerReleased("b", 16));
        assertTrue(recorded.contains("release b 16"), recorded::toString);
        process(new Event.ExchangeDown(1));
        assertEquals(List.of("a", "c"), endedCalls);
    }

    @Test
    void countsReleasesThatEndNothingByReason() {
        offer("a");
        process(new Event.Released(2, "a", 16, Report.EMPTY));
        process(new Event.Answered(1, "a", DESCRIPTION));
        process(new Event.Released(2, "a", 16, Report.EMPTY));
        assertRecorded("invite a 1", "established 6");
        assertEquals(2, metrics.value("taken.releases-ignored.OTHER_EXCHANGE"));
        process(new Event.Released(1, "a", 16, Report.EMPTY));
        process(new Event.Released(1, "a", 16, Report.EMPTY));
        assertRecorded("ended 16");
        assertEquals(1, metrics.value("taken.releases-ignored.ALREADY_ENDED"));
    }

    @Test
    void keepsCallAtHandOverUnlessNextProcessCannotNotifyItsCaller() {
        offer("a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        planner.handOver();
        assertRecorded("invite a 1", "established 6");
        nextProcessCanNotify = false;
        planner.handOver();
        assertRecorded("release a 41", "ended 41");
    }

    private void offerInTransit(String id) {
        process(new Event.Offered(new Request(id, "plain", 0, "ab" + id, DESCRIPTION, now + 3 * TIME_LEFT_MICROS, 1,
                1, 2, false, true, false), endpoint));
    }

    @Test
    void answersEveryCallByTheShutdownDeadline() {
        offerInTransit("open");
        assertRecorded("invite open 1");
        planner.setAnswerDeadline(now + TIME_LEFT_MICROS);
        advance(TIME_LEFT_MICROS / 2);
        offerInTransit("late");
        assertRecorded("invite late 1");
        advance(TIME_LEFT_MICROS / 2 - 1);
        assertEquals(1, planner.unansweredCalls());
        recorded.clear();
        advance(1);
        assertRecorded("failed", "cancel open");
        assertEquals(0, planner.unansweredCalls());
        process(new Event.Answered(1, "open", DESCRIPTION));
        assertRecorded("release open 16");
    }

    @Test
    void releasesExchangeOnceWhenCallerReleasesEstablishedCall() {
        offer("a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        process(new Event.CallerReleased("a", 31));
        assertRecorded("invite a 1", "established 6", "release a 31");
        process(new Event.CallerReleased("a", 31));
        process(new Event.CallerReleased("unknown", 16));
        assertRecorded();
    }

    @Test
    void failsRepeatedSetUpWithoutSecondAttempt() {
        offer("a");
        offer("a");
        assertRecorded("invite a 1", "failed");
    }

    @Test
    void refusesCallsBeyondTheMaximum() {
        offer("a");
        offer("b");
        recorded.clear();
        offer("c");
        offer("d");
        assertEquals("refused", recorded.get(recorded.size() - 1));
    }

    @Test
    void cutsOnlyCallsThroughExchangeThatGoesDown() {
        offer("a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        process(new Event.ExchangeDown(2));
        assertRecorded("invite a 1", "established 6");
        process(new Event.ExchangeDown(1));
        assertRecorded("ended 41");
    }

    @Test
    void refusesNewCallsWhileDrainingAndContinuesOpenOnes() {
        offer("a");
        planner.refuseNewCalls();
        offer("b");
        process(new Event.Answered(1, "a", DESCRIPTION));
        assertRecorded("invite a 1", "refused", "established 6");
    }

    private void advanceInSteps(long micros) {
        for (long until = now + micros; now < until; ) {
            advance(Math.min(until - now, Math.max(1, planner.nextDue() - now)));
        }
    }

    @Test
    void checksUnresponsiveExchangeAndEndsItsCallsWithinTheLimit() {
        offer("a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        recorded.clear();
        advanceInSteps(1_000_000);
        assertEquals(List.of(), checks);
        advanceInSteps(6_000_000);
        assertTrue(checks.size() > 5, checks::toString);
        assertRecorded();
        advanceInSteps(1_000_000);
        assertRecorded("release a 41", "ended 41");
        int before = checks.size();
        advanceInSteps(10_000_000);
        assertEquals(before, checks.size());
    }

    @Test
    void keepsCallsOfExchangeThatRespondsOnNewConnection() {
        offer("a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        recorded.clear();
        for (int i = 0; i < 20; i++) {
            advanceInSteps(3_000_000);
            process(i % 2 == 0 ? new Event.ExchangeAlive(1) : new Event.Reported(1, reportWithFree(19), now));
        }
        assertRecorded();
        assertTrue(checks.stream().allMatch(exchange -> exchange == 1), checks::toString);
    }

    @Test
    void endsCallsThatReconnectedExchangeHasLost() {
        offer("a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        offer("b");
        process(new Event.Answered(1, "b", DESCRIPTION));
        recorded.clear();
        // One of the two calls has ended in the meantime; its release follows on the new connection.
        advance(200_000);
        process(new Event.Reported(1, reportWithFree(19), now));
        process(new Event.Released(1, "a", 16, Report.EMPTY));
        advanceInSteps(600_000);
        assertRecorded("ended 16");
        process(new Event.Reported(1, reportWithFree(20)));
        advanceInSteps(600_000);
        assertRecorded();
        // This report was composed before the call was established.
        process(new Event.Reported(1, reportWithFree(20), now - 1_350_000));
        advanceInSteps(600_000);
        assertRecorded();
        process(new Event.Reported(1, reportWithFree(20), now));
        advanceInSteps(600_000);
        assertRecorded("release b 41", "ended 41");
    }

    /**
     * Guards against a call that runs twice: its client left while an exchange worked on it, and sent it again under
     * the same id on another connection.
     */
    @Test
    void doesNotSendAnIdAgainThatAnExchangeMayHaveRun() {
        offer("a");
        process(new Event.CallerAbandoned("a", endpoint));
        assertRecorded("invite a 1", "abandoned", "cancel a");
        offer("a");
        assertRecorded("failed");
        advance(4_000_000);
        offer("a");
        assertRecorded("failed");
    }

    /** A caller sends a set-up again that crossed the close of its connection. */
    @Test
    void sendsAnIdAgainThatNoExchangeHasRun() {
        planner.post(new Event.Offered(new Request("a", "plain", 0, "ab", DESCRIPTION, now + TIME_LEFT_MICROS, 1, 1, -1,
                false, false, false), endpoint));
        process(new Event.CallerAbandoned("a", endpoint));
        assertRecorded("abandoned");
        offer("a");
        assertRecorded("invite a 1");
    }

    /** Guards against a caller whose figure for its own call cuts the calls of all others on a live exchange. */
    @Test
    void keepsCallsOfLiveExchangeWhateverWidthACallerNames() {
        process(new Event.Reported(1, reportOfLargeGroup(100)));
        process(new Event.Offered(new Request("a", "plain", 0, "ab", DESCRIPTION, now + TIME_LEFT_MICROS, 1, 57, -1,
                false, false, false), endpoint));
        process(new Event.Answered(1, "a", DESCRIPTION));
        assertRecorded("invite a 1", "established 6");
        advance(200_000);
        process(new Event.Reported(1, reportOfLargeGroup(99), now));
        advanceInSteps(600_000);
        assertRecorded();
    }

    @Test
    void endsCallsOnUnresponsiveExchangeAtHandOver() {
        offer("a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        recorded.clear();
        planner.setAnswerDeadline(now + 3_000_000);
        advanceInSteps(700_000);
        assertTrue(!checks.isEmpty());
        planner.handOver();
        assertRecorded("release a 41", "ended 41");
    }

    /**
     * Guards against a call that is cut at a restart without its caller being told: the exchange only hung, and no
     * caller was connected, so that the notification ended with the process.
     */
    @Test
    void keepsCallsOnUnresponsiveExchangeAtHandOverWhileNoCallerIsReachable() {
        offer("a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        recorded.clear();
        planner.setAnswerDeadline(now + 3_000_000);
        advanceInSteps(700_000);
        assertTrue(!checks.isEmpty());
        callerReachable = false;
        planner.handOver();
        assertRecorded();
    }

    /**
     * Guards against a call that is left standing at a process which took the address of the exchange that its caller's
     * call was meant for, before the directory told of the change.
     */
    @Test
    void releasesCallsTowardExchangeThatHasLeftTheDirectory() {
        offer("a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        recorded.clear();
        process(new Event.Listed(ListKind.DELTA, List.of(exchange(1, Readiness.GONE, 0))));
        assertRecorded("release a 41", "ended 41");
    }

    /**
     * Guards against a release that is lost at a restart: an exchange repeats it on the next connection, and a check of
     * the process that is about to exit took it from the next process.
     */
    @Test
    void checksNoExchangeDuringShutdownWhileNoCallerIsReachable() {
        offer("a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        callerReachable = false;
        planner.setAnswerDeadline(now + 3_000_000);
        advanceInSteps(1_500_000);
        assertEquals(List.of(), checks);
        callerReachable = true;
        advanceInSteps(1_000_000);
        assertTrue(!checks.isEmpty());
    }

    @Test
    void cutsOnlyCallsSentBeforeExchangeRestart() {
        offer("a");
        process(new Event.Answered(1, "a", DESCRIPTION));
        recorded.clear();
        process(new Event.Listed(ListKind.DELTA, List.of(exchange(1, Readiness.READY, now - 1))));
        assertRecorded();
        process(new Event.Listed(ListKind.DELTA, List.of(exchange(1, Readiness.READY, now + 1))));
        assertRecorded("ended 41");
    }

    @Test
    void ignoresRejectionOfTimedOutSetUp() {
        offer("a");
        advance(TIME_LEFT_MICROS);
        recorded.clear();
        process(new Event.Rejected(1, "a", Status.FULL, Cause.PROCESSOR_FULL, Report.EMPTY));
        assertRecorded();
    }

    private void offerWithFarDeadline(String id, int destination) {
        process(new Event.Offered(new Request(id, "plain", 0, id, DESCRIPTION, now + DAY_MICROS, destination, 1, -1,
                false, false, false), endpoint));
    }

    /** Runs one call from its offer to its end, in the way that the index selects. */
    private void runCallToItsEnd(String id, int way) {
        process(new Event.Reported(1, reportWithFree(20)));
        offerWithFarDeadline(id, way == 0 ? 9 : 1);
        switch (way) {
            case 0 -> { }
            case 1 -> process(new Event.Rejected(1, id, Status.ERROR, Cause.LINES_BUSY, Report.EMPTY));
            case 2 -> {
                process(new Event.Answered(1, id, DESCRIPTION));
                process(new Event.Released(1, id, 16, Report.EMPTY));
            }
            case 3 -> {
                process(new Event.Answered(1, id, DESCRIPTION));
                process(new Event.CallerReleased(id, 16));
            }
            case 4 -> process(new Event.CallerAbandoned(id, endpoint));
            default -> advance(TARGET_MICROS);
        }
    }

    /**
     * Guards against an OutOfMemoryError by ended calls, to which timers of the planner and of the call control
     * referred until the deadline that the client named.
     */
    @Test
    void keepsNoTimersOfEndedCallsWithFarDeadlines() {
        metrics = new Metrics();
        planner = new Planner(() -> now, settings, ControlParameters.DEFAULTS, 7, 3, endpoint, endpoint, metrics);
        listExchanges();
        for (int way = 0; way < WAYS_TO_END; way++) {
            for (int i = 0; i < 100; i++) {
                runCallToItsEnd("way " + way + " call " + i, way);
                assertEquals(0, metrics.value("kept.calls"), "open calls after way " + way);
                // The monitor of the exchange with established calls has one timer.
                assertTrue(metrics.value("kept.timers") <= 1, metrics + " after way " + way + " call " + i);
            }
        }
        assertTrue(metrics.value("answered.refused") >= 100, metrics::toString);
        assertEquals(200, metrics.value("answered.stood"), metrics::toString);
        assertEquals(0, metrics.value("kept.request-bytes"), metrics::toString);
    }

    /** Guards against an OutOfMemoryError by open calls whose ids and numbers are as long as a message may be. */
    @Test
    void countsIdsAndNumbersOfOpenCallsTowardTheMaximumOfBytes() {
        metrics = new Metrics();
        planner = new Planner(() -> now, settings, ControlParameters.DEFAULTS, 7, 4_096, endpoint, endpoint, metrics);
        listExchanges();
        String padding = "x".repeat(8_000);
        for (int i = 0; i < 2_000; i++) {
            process(new Event.Offered(new Request(padding + i, "plain", 0, padding + i, new byte[0],
                    now + TIME_LEFT_MICROS, 1, 1, -1, false, false, false), endpoint));
        }
        assertTrue(metrics.value("answered.overfull") >= 900, metrics::toString);
        assertTrue(metrics.value("kept.request-bytes") <= 16 << 20, metrics::toString);
        advance(TIME_LEFT_MICROS);
        assertEquals(0, metrics.value("kept.request-bytes"), metrics::toString);
    }
}
