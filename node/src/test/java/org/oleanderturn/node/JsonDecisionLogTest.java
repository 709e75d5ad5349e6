package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.distribution.VersionOrigin;
import org.oleanderturn.mesh.Decision;
import org.oleanderturn.mesh.GuardReply;
import org.oleanderturn.mesh.GuardStages;
import org.oleanderturn.mesh.LocalTarget;
import org.oleanderturn.mesh.SlotShare;
import org.oleanderturn.mesh.TargetReport;
import org.oleanderturn.mesh.TargetStart;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.CrashVerdict;
import org.oleanderturn.traffic.Fingerprint;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.traffic.SlotDecision;
import org.oleanderturn.traffic.SlotQueue;
import org.oleanderturn.traffic.WindowedRetryBudget;

final class JsonDecisionLogTest {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Path OPERATIONS_PAGE = Path.of("..", "docs", "OPERATIONS.md");
    private static final Pattern TABLE_ROW =
            Pattern.compile("\\| `(\\w+)` \\| (?:entry|guard|entry, guard) \\| (.*) \\|");
    private static final Pattern FIELD = Pattern.compile("`(\\w+)`");
    private static final Set<String> COMMON_FIELDS = Set.of("time", "node", "event", "request");
    private static final long CLOSE_TIMEOUT_MILLISECONDS = 10_000;
    private static final LoadReport LOAD = new LoadReport(9, 3, 1, 40);
    private static final NodeId NODE = NodeId.of("node");
    private static final ConfigurationVersion VERSION = ConfigurationVersion.of(4);
    private static final Fingerprint FINGERPRINT = Fingerprint.of("0".repeat(32));
    private static final GuardReply FULL_REPLY = new GuardReply.NotRun("FULL", false, Duration.ZERO);

    private static final GuardStages STAGES = new GuardStages(Duration.ZERO, Duration.ZERO, Duration.ZERO);

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final LogWriter writer = LogWriter.start(output);
    private final VersionTracker versions = new VersionTracker(() -> 1);
    private final JsonDecisionLog decisions =
            new JsonDecisionLog(NODE, writer, versions, () -> Optional.of(Duration.ofMillis(300)), () -> 1);

    private final NodeMetrics metrics = new NodeMetrics();
    private final Map<NodeId, Locality.Distance> distances = new HashMap<>();
    private final MeshMetrics metered =
            MeshMetrics.of(decisions, metrics, node -> Optional.ofNullable(distances.get(node)));

    @Test
    void shouldWriteTheDocumentedFieldsWhenADecisionIsRecorded() throws IOException {
        String id = requestId(false);
        decisions.record(placed(id));
        decisions.record(new Decision.AttemptFailed(
                id, 1, NODE, FULL_REPLY, FINGERPRINT, Duration.ZERO, false, new WindowedRetryBudget.Usage(2, 12.5)));
        decisions.record(new Decision.Withheld(id, "SERVICE_FULL", 12, OrganisationName.of("acme"), true));
        decisions.record(new Decision.Answered(
                id, 503, "FULL", 1, Duration.ZERO, Duration.ZERO, Optional.of(Duration.ofMillis(200)), VERSION));
        decisions.record(guarded(id, FULL_REPLY));
        decisions.record(new Decision.Suspected(id, FINGERPRINT, "target i-1 ended", 3, 1));
        decisions.record(new Decision.SuspectTried(id, FINGERPRINT, 2));
        decisions.record(new Decision.SuspectCleared(id, FINGERPRINT, 2));
        decisions.record(new Decision.Quarantined(
                id, FINGERPRINT, new CrashVerdict.Quarantined(2, false, Duration.ofSeconds(2))));
        List<JsonNode> lines = writtenLines();
        assertThat(lines).hasSize(9);
        for (JsonNode line : lines) {
            assertThat(fields(line))
                    .isEqualTo(documentedFields(line.get("event").asText()));
        }
    }

    @Test
    void shouldWriteOnlyTheFailedRequestWhenNeitherIsSampled() throws IOException {
        String served = requestId(false);
        decisions.record(placed(served));
        decisions.record(
                new Decision.Answered(served, 200, "", 1, Duration.ZERO, Duration.ZERO, Optional.empty(), VERSION));
        String failed = served + "x".repeat(JsonDecisionLog.isSampled(served + "x") ? 2 : 1);
        decisions.record(placed(failed));
        decisions.record(new Decision.Answered(
                failed, 504, "TIMED_OUT", 1, Duration.ZERO, Duration.ZERO, Optional.empty(), VERSION));
        assertThat(writtenLines().stream()
                        .map(line -> line.get("request").asText())
                        .toList())
                .containsExactly(failed, failed);
    }

    @Test
    void shouldWriteEveryLineWhenTheRequestIsSampled() throws IOException {
        String id = requestId(true);
        decisions.record(placed(id));
        decisions.record(
                new Decision.Answered(id, 200, "", 1, Duration.ZERO, Duration.ZERO, Optional.empty(), VERSION));
        assertThat(writtenLines()).hasSize(2);
    }

    @Test
    void shouldWriteWhatTheNodeKnewWhenItDeniesARequest() {
        versions.recordHeld(VERSION);
        versions.recordNews(
                new VersionOrigin.Advertisement(Address.of("127.0.0.1", 1)), ConfigurationVersion.of(6), 250);
        decisions.record(new Decision.Answered(
                "a1",
                503,
                "CONFIGURATION_BEHIND",
                0,
                Duration.ofMillis(4),
                Duration.ofMillis(12),
                Optional.of(Duration.ofMillis(400)),
                VERSION));
        writer.close(CLOSE_TIMEOUT_MILLISECONDS);
        assertThat(output.toString(StandardCharsets.UTF_8))
                .isEqualTo(
                        "{\"attempts\":0,\"behindMilliseconds\":250,\"configuration\":4,\"confirmedMilliseconds\":300,"
                                + "\"event\":\"Answered\",\"newest\":6,\"node\":\"node\",\"readMilliseconds\":4,"
                                + "\"reason\":\"CONFIGURATION_BEHIND\","
                                + "\"request\":\"a1\",\"retryAfterMilliseconds\":400,\"status\":503,\"takenMilliseconds\":12,"
                                + "\"time\":1}\n");
    }

    @Test
    void shouldLeaveOutWhatTheNodeKnewWhenTheTargetAnswered() throws IOException {
        decisions.record(new Decision.Answered(
                "a1", 404, "DELIVERED", 1, Duration.ZERO, Duration.ZERO, Optional.empty(), VERSION));
        assertThat(fields(writtenLines().getFirst()))
                .containsExactly(
                        "status", "reason", "attempts", "readMilliseconds", "takenMilliseconds", "configuration");
    }

    // -- metrics of the decisions

    @Test
    void shouldCountSlotDecisionsByReasonAndShareOfTheOrganisation() {
        OrganisationName acme = OrganisationName.of("acme");
        metered.record(guarded("a", new SlotShare(12, Optional.empty(), true, Optional.empty())));
        metered.record(guarded("b", new SlotShare(12, Optional.of(acme), false, Optional.empty())));
        for (SlotDecision.Reason reason : SlotDecision.Reason.values()) {
            metered.record(guarded("c", new SlotShare(12, Optional.of(acme), true, Optional.of(reason))));
        }
        assertThat(samples("oleanderturn_slot_decisions_total"))
                .containsExactly(
                        "{decision=\"GRANTED\",share=\"none\"} 1.0",
                        "{decision=\"GRANTED\",share=\"within\"} 1.0",
                        "{decision=\"FULL\",share=\"over\"} 1.0",
                        "{decision=\"OVERTAKEN\",share=\"over\"} 1.0",
                        "{decision=\"RATE_LIMITED\",share=\"over\"} 1.0",
                        "{decision=\"CLOSED\",share=\"over\"} 1.0",
                        "{decision=\"SHEDDING\",share=\"over\"} 1.0",
                        "{decision=\"WITHDRAWN\",share=\"over\"} 1.0",
                        "{decision=\"KEY_REMOVED\",share=\"over\"} 1.0");
    }

    @Test
    void shouldCountRefusalsOfTheEntryByReasonAndShareOfTheOrganisation() {
        for (String reason : List.of("SERVICE_FULL", "SERVICE_FULL", "NODE_BUSY")) {
            metered.record(
                    new Decision.Withheld("a", reason, 12, OrganisationName.of("acme"), reason.equals("SERVICE_FULL")));
        }
        assertThat(samples("oleanderturn_entry_refusals_total"))
                .containsExactly(
                        "{reason=\"SERVICE_FULL\",share=\"over\"} 2.0", "{reason=\"NODE_BUSY\",share=\"within\"} 1.0");
    }

    /** A report that there was none of must not look like a fresh one. */
    @Test
    void shouldCountChoicesByDistanceAndMeasureTheAgeOfKnownLoadsOnly() {
        metered.record(placed("a"));
        distances.put(NODE, Locality.Distance.OTHER_REGION);
        metered.record(new Decision.Placed(
                "b",
                1,
                RouteName.of("route"),
                ServiceName.of("bookings"),
                NODE,
                VERSION,
                Optional.empty(),
                0,
                Duration.ofMillis(700)));
        assertThat(samples("oleanderturn_choices_total"))
                .containsExactly("{distance=\"unknown\"} 1.0", "{distance=\"other_region\"} 1.0");
        assertThat(samples("oleanderturn_choice_load_age_seconds_count")).containsExactly(" 1");
        assertThat(samples("oleanderturn_choice_load_age_seconds_sum")).containsExactly(" 0.02");
    }

    @Test
    void shouldCountAttemptsThatWereRefusedForLackOfRoomOnly() {
        for (String reason : List.of("FULL", "RATE_LIMITED", "SHEDDING", "MEMORY_FULL", "OVERTAKEN", "DEADLINE")) {
            GuardReply reply = new GuardReply.NotRun(reason, false, Duration.ZERO);
            metered.record(new Decision.AttemptFailed(
                    "a", 1, NODE, reply, FINGERPRINT, Duration.ZERO, false, new WindowedRetryBudget.Usage(2, 12.5)));
        }
        assertThat(samples("oleanderturn_refused_as_full_total")).containsExactly(" 4.0");
    }

    private List<String> samples(String metric) {
        return metrics.text()
                .lines()
                .filter(line -> line.startsWith(metric + "{") || line.startsWith(metric + " "))
                .map(line -> line.substring(metric.length()))
                .toList();
    }

    // -- helpers

    /** Returns an id that is sampled, or one that is not. */
    private static String requestId(boolean isSampled) {
        return IntStream.iterate(0, number -> number + 1)
                .mapToObj(number -> "id-" + number)
                .filter(id -> JsonDecisionLog.isSampled(id) == isSampled)
                .findFirst()
                .orElseThrow();
    }

    private static Decision placed(String id) {
        return new Decision.Placed(
                id,
                1,
                RouteName.of("route"),
                ServiceName.of("bookings"),
                NODE,
                VERSION,
                Optional.of(LOAD),
                20,
                Duration.ofMillis(700));
    }

    private static Decision guarded(String id, GuardReply reply) {
        return guarded(
                id,
                reply,
                new SlotShare(
                        12, Optional.of(OrganisationName.of("acme")), true, Optional.of(SlotDecision.Reason.FULL)));
    }

    private static Decision guarded(String id, SlotShare share) {
        return guarded(id, FULL_REPLY, share);
    }

    private static Decision guarded(String id, GuardReply reply, SlotShare share) {
        ServiceName service = ServiceName.of("bookings");
        LocalTarget target =
                LocalTarget.of(NodeId.of("node-1"), service, SlotQueue.of(() -> 0), Duration.ofSeconds(5), () -> 0);
        target.applyReport(new TargetReport(new TargetStart("i-1", 1), 1, service, 9, false));
        return new Decision.Guarded(id, 1, reply, share, STAGES, LOAD, target.status(), OptionalDouble.of(8));
    }

    private List<JsonNode> writtenLines() throws IOException {
        writer.close(CLOSE_TIMEOUT_MILLISECONDS);
        List<JsonNode> lines = new ArrayList<>();
        for (String line : output.toString(StandardCharsets.UTF_8).lines().toList()) {
            lines.add(MAPPER.readTree(line));
        }
        return lines;
    }

    private static Set<String> fields(JsonNode line) {
        Set<String> names = new TreeSet<>();
        line.fieldNames().forEachRemaining(names::add);
        names.removeAll(COMMON_FIELDS);
        return names;
    }

    private static Set<String> documentedFields(String event) throws IOException {
        for (String line : Files.readAllLines(OPERATIONS_PAGE)) {
            Matcher row = TABLE_ROW.matcher(line);
            if (row.matches() && row.group(1).equals(event)) {
                return FIELD.matcher(row.group(2))
                        .results()
                        .map(result -> result.group(1))
                        .collect(Collectors.toCollection(TreeSet::new));
            }
        }
        return Set.of();
    }
}
