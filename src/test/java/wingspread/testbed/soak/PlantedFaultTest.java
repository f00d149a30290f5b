package wingspread.testbed.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import wingspread.lab.rules.Breach.Rule;

/**
 * Verifies that the soak detects faults: for each group of faults, a deliberate fault in the program must be found by
 * one of a few seeds.
 */
class PlantedFaultTest {
    private static final int SECONDS = 5;
    private static final int SEEDS = 2;

    @TempDir
    Path folder;

    static Stream<Arguments> plantedBuilds() {
        return Stream.of(
                Arguments.of(new PlantedBuild("answers are dropped after SIGTERM", "core/Planner.java",
                        "notification.run();",
                        "if (answerDeadline == Long.MAX_VALUE) {\n            notification.run();\n        }"),
                        Set.of(FaultKind.RESTART), Rule.ONE_ANSWER),
                Arguments.of(new PlantedBuild("a draining exchange counts as ready", "directory/Roster.java",
                        "srv.priority() == 0 ? Readiness.READY : Readiness.DRAINING", "Readiness.READY"),
                        Set.of(FaultKind.DRAIN), Rule.CLEAN_DRAIN),
                Arguments.of(new PlantedBuild("a repeated id of an open call starts a second attempt",
                        "core/Planner.java",
                        "if (byId.containsKey(request.id()) || endedCallIds.contains(request.id())) {",
                        "if (request.id().isEmpty()) {"),
                        Set.of(FaultKind.REPEATED_ID), Rule.ONE_ATTEMPT),
                Arguments.of(new PlantedBuild("unresponsive exchanges are not monitored", "core/ExchangeMonitor.java",
                        "if (!exchanges.needsLivenessChecks()) {", "if (shuttingDown || !shuttingDown) {"),
                        Set.of(FaultKind.VANISH), Rule.RELEASE_TOLD),
                Arguments.of(new PlantedBuild("the first segment of a message is lost", "net/MessageHandler.java",
                        "scheduled = false;\n            scheduleIncompleteMessageCheck(context);",
                        "scheduled = false;\n            dropInput();"),
                        Set.of(FaultKind.SLOW_WRITER), Rule.ONE_ANSWER),
                Arguments.of(new PlantedBuild("an id that an exchange may have run is sent again", "core/Planner.java",
                        " || endedCallIds.contains(request.id())) {", ") {"),
                        Set.of(FaultKind.LEAVE_AND_REPEAT), Rule.RELEASE_FIRST),
                Arguments.of(new PlantedBuild("widths of callers are not checked", "front/jsonl/OfferParser.java",
                        "require(text == null || finite(\"width\", text) == callClass.width(),", "require(true,"),
                        Set.of(FaultKind.FORGERY), Rule.PROCESS),
                Arguments.of(new PlantedBuild("attributes that were cut off count as zero", "directory/Roster.java",
                        ".getOrDefault(host, HostRecords.UNKNOWN);\n        if (awaitedHosts",
                        ".getOrDefault(host, new HostRecords(null, new HostAttributes(\"\", 0, 0)));\n"
                                + "        if (awaitedHosts"),
                        Set.of(FaultKind.RETURN_WITHOUT_HOSTS), Rule.ROUTE),
                Arguments.of(new PlantedBuild("descriptors of idle connections leak", "net/Admission.java",
                        "boolean hasCapacity = awaitingFirstMessage.size() + active.size() < maxConnections.getAsInt()"
                                + " || evictOne();",
                        "boolean hasCapacity = true;"),
                        Set.of(FaultKind.CROWD), Rule.PROCESS));
    }

    @ParameterizedTest
    @MethodSource("plantedBuilds")
    void findsPlantedFault(PlantedBuild planted, Set<FaultKind> only, Rule rule)
            throws IOException, InterruptedException {
        List<Path> build = planted.compile(folder);
        Soak soak = new Soak(new Soak.Plan(1, SEEDS, SECONDS, only, SEEDS, 0, build), folder.resolve("trials"),
                outcome -> { });
        List<Soak.Outcome> outcomes = soak.run();
        assertTrue(outcomes.stream().filter(o -> o.result() != null)
                .anyMatch(o -> o.result().breaches().stream().anyMatch(breach -> breach.rule() == rule)),
                () -> planted.name() + " was not found: "
                        + String.join("; ", outcomes.stream().map(SoakReport::describe).toList()));
    }
}
