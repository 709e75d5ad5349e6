package org.oleanderturn.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The timeline of one request, merged from the log lines of several nodes, with the versions of the configuration that the
 * entry took, or failed to take, around that time.
 *
 * <p>A guard's log line carries the time of the guard's clock. The guard wrote it after the entry's {@code Placed} line of
 * the same attempt and before the entry's next line. A time outside that interval is moved to the interval's nearer end;
 * the distance is a lower bound of the difference between the two clocks.
 *
 * <p>Invariant: the steps are ordered by their time on the entry's clock. Immutable and thread safe.
 *
 * @param request the request's id
 * @param steps the request's log lines and those of versions at its entry; empty when the request has none
 */
record RequestTimeline(String request, List<Step> steps) {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Set<String> FIELDS_OUTSIDE_FACTS = Set.of("time", "node", "event", "request", "attempt");
    private static final String PLACED = "Placed";
    private static final int RANKS_PER_ATTEMPT = 3;
    private static final String GUARDED = "Guarded";
    private static final String ANSWERED = "Answered";
    private static final Set<String> VERSION_EVENTS =
            Set.of("VersionAdopted", "VersionRejected", "TransferFailed", "FetchDeferred");

    /** How long before and after a request the versions at its entry are shown. */
    private static final long VERSION_MARGIN_MILLISECONDS = 10_000;

    RequestTimeline {
        Objects.requireNonNull(request, "request is null");
        steps = List.copyOf(steps);
    }

    /**
     * One log line of the request.
     *
     * @param timeMilliseconds the time on the entry's clock, in Unix milliseconds
     * @param skewMilliseconds a lower bound of how far the node's clock is ahead of the entry's; negative when behind, 0
     *     when the lines show no difference
     * @param attempt the attempt's number; empty on the line for the final response
     * @param facts the line's other fields, as {@code name=value} separated by spaces
     */
    record Step(
            long timeMilliseconds,
            long skewMilliseconds,
            String node,
            String event,
            Optional<Integer> attempt,
            String facts) {

        private boolean isSameAttempt(Step other) {
            return attempt.equals(other.attempt());
        }

        private Step withTime(long time) {
            return new Step(time, timeMilliseconds - time, node, event, attempt, facts);
        }
    }

    // -- static factories

    /** Returns the timeline of a request; lines that are not decision log lines of the request are skipped. */
    static RequestTimeline of(String request, List<String> lines) {
        List<Step> steps = new ArrayList<>();
        for (String line : lines) {
            if (line.contains(request)) {
                parseStep(request, line).ifPresent(steps::add);
            }
        }
        List<Step> versions = versionSteps(steps, lines);
        return new RequestTimeline(
                request,
                Stream.concat(versions.stream(), steps.stream())
                        .map(step -> step.event().equals(GUARDED) ? withSkewCorrected(step, steps) : step)
                        .sorted(Comparator.comparingLong(Step::timeMilliseconds)
                                .thenComparingInt(RequestTimeline::causalRank))
                        .toList());
    }

    // -- queries

    boolean isEmpty() {
        return steps.isEmpty();
    }

    /** Returns the timeline as a table, with times in milliseconds since the first step of the request. */
    String describe() {
        if (isEmpty()) {
            return "no log lines for request " + request;
        }
        long start = steps.stream()
                .filter(step -> !VERSION_EVENTS.contains(step.event()))
                .mapToLong(Step::timeMilliseconds)
                .min()
                .orElse(0);
        TextTable table = TextTable.of("MS", "NODE", "EVENT", "ATTEMPT", "SKEW", "FACTS");
        for (Step step : steps) {
            table = table.withRow(
                    step.timeMilliseconds() - start,
                    step.node(),
                    step.event(),
                    step.attempt().map(String::valueOf).orElse(""),
                    step.skewMilliseconds() == 0 ? "" : step.skewMilliseconds(),
                    step.facts());
        }
        return table.toString();
    }

    // -- parsing

    /** Returns the lines of versions at the node that answered the request, around the time of the given steps. */
    private static List<Step> versionSteps(List<Step> steps, List<String> lines) {
        Optional<Step> answered =
                steps.stream().filter(step -> step.event().equals(ANSWERED)).findFirst();
        if (answered.isEmpty()) {
            return List.of();
        }
        String entry = answered.get().node();
        List<Step> atEntry =
                steps.stream().filter(step -> step.node().equals(entry)).toList();
        long earliest =
                atEntry.stream().mapToLong(Step::timeMilliseconds).min().orElseThrow() - VERSION_MARGIN_MILLISECONDS;
        long latest = answered.get().timeMilliseconds() + VERSION_MARGIN_MILLISECONDS;
        return lines.stream()
                .filter(line -> VERSION_EVENTS.stream().anyMatch(line::contains))
                .flatMap(line -> parseVersionStep(line).stream())
                .filter(step -> step.node().equals(entry))
                .filter(step -> step.timeMilliseconds() >= earliest && step.timeMilliseconds() <= latest)
                .toList();
    }

    private static Optional<Step> parseStep(String request, String line) {
        return parseEvent(line)
                .filter(fields -> fields.path("request").asText().equals(request))
                .map(RequestTimeline::step);
    }

    private static Optional<Step> parseVersionStep(String line) {
        return parseEvent(line)
                .filter(fields -> VERSION_EVENTS.contains(fields.path("event").asText()))
                .map(RequestTimeline::step);
    }

    /** Returns the fields of a line that tells an event; empty for any other line. */
    private static Optional<JsonNode> parseEvent(String line) {
        JsonNode fields;
        try {
            fields = MAPPER.readTree(line);
        } catch (JsonProcessingException notJson) {
            return Optional.empty();
        }
        return Optional.of(fields)
                .filter(event -> event.path("time").canConvertToLong()
                        && event.path("event").isTextual());
    }

    private static Step step(JsonNode fields) {
        String facts = fields.properties().stream()
                .filter(field -> !FIELDS_OUTSIDE_FACTS.contains(field.getKey()))
                .map(field -> field.getKey() + "=" + field.getValue().asText())
                .collect(Collectors.joining(" "));
        Optional<Integer> attempt =
                Optional.of(fields.path("attempt")).filter(JsonNode::isInt).map(JsonNode::asInt);
        return new Step(
                fields.path("time").asLong(),
                0,
                fields.path("node").asText(),
                fields.path("event").asText(),
                attempt,
                facts);
    }

    /** Returns a guard's step with its time moved into the interval given by the entry's lines. */
    private static Step withSkewCorrected(Step guarded, List<Step> steps) {
        OptionalLong placed = steps.stream()
                .filter(step -> step.event().equals(PLACED) && step.isSameAttempt(guarded))
                .mapToLong(Step::timeMilliseconds)
                .min();
        if (placed.isEmpty()) {
            return guarded;
        }
        long earliest = placed.getAsLong();
        long latest = steps.stream()
                .filter(step ->
                        !step.event().equals(GUARDED) && !(step.event().equals(PLACED) && step.isSameAttempt(guarded)))
                .mapToLong(Step::timeMilliseconds)
                .filter(time -> time >= earliest)
                .min()
                .orElse(Long.MAX_VALUE);
        long time = Math.clamp(guarded.timeMilliseconds(), earliest, latest);
        return time == guarded.timeMilliseconds() ? guarded : guarded.withTime(time);
    }

    /** Returns the order of steps in the same millisecond: by attempt, then by cause and effect within the attempt. */
    private static int causalRank(Step step) {
        int rankInAttempt = switch (step.event()) {
            case PLACED -> 0;
            case GUARDED -> 1;
            default -> 2;
        };
        return step.attempt().orElse(Integer.MAX_VALUE / RANKS_PER_ATTEMPT - 1) * RANKS_PER_ATTEMPT + rankInAttempt;
    }
}
