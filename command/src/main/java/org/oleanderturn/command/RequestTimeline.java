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

/**
 * The course of one request, put together from the log lines of several nodes.
 *
 * <p>A guard's line has the time of the guard's clock. It was written between the entry's placement and the entry's next
 * line, so a time outside shows how far the clocks differ at least; the step is shown at the nearer of the two.
 *
 * <p>Invariant: the steps are in order of their time by the entry's clock. Immutable and thread safe.
 *
 * @param request the request's id
 */
record RequestTimeline(String request, List<Step> steps) {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Set<String> SHOWN_APART = Set.of("time", "node", "event", "request", "attempt");
    private static final String PLACED = "Placed";
    private static final int STEPS_OF_ATTEMPT = 3;
    private static final String GUARDED = "Guarded";

    RequestTimeline {
        Objects.requireNonNull(request, "request is null");
        steps = List.copyOf(steps);
    }

    /**
     * One line of the request.
     *
     * @param timeMilliseconds when it was, by the entry's clock, in Unix milliseconds
     * @param skewMilliseconds how far the node's clock was ahead of the entry's at least; negative when behind
     * @param attempt the attempt's number, absent on the answer
     * @param facts the line's other fields
     */
    record Step(
            long timeMilliseconds,
            long skewMilliseconds,
            String node,
            String event,
            Optional<Integer> attempt,
            String facts) {

        private boolean isOfAttempt(Step other) {
            return attempt.equals(other.attempt());
        }

        private Step movedTo(long time) {
            return new Step(time, timeMilliseconds - time, node, event, attempt, facts);
        }
    }

    // -- static factories

    /** Returns the timeline of a request from the lines of any number of logs; other lines are passed over. */
    static RequestTimeline of(String request, List<String> lines) {
        List<Step> steps = new ArrayList<>();
        for (String line : lines) {
            if (line.contains(request)) {
                read(request, line).ifPresent(steps::add);
            }
        }
        return new RequestTimeline(
                request,
                steps.stream()
                        .map(step -> step.event().equals(GUARDED) ? corrected(step, steps) : step)
                        .sorted(Comparator.comparingLong(Step::timeMilliseconds)
                                .thenComparingInt(RequestTimeline::rank))
                        .toList());
    }

    // -- queries

    boolean isEmpty() {
        return steps.isEmpty();
    }

    /** Returns the timeline for people. */
    String describe() {
        if (isEmpty()) {
            return "no line of request " + request;
        }
        long begun = steps.getFirst().timeMilliseconds();
        TextTable table = TextTable.of("MS", "NODE", "EVENT", "ATTEMPT", "SKEW", "FACTS");
        for (Step step : steps) {
            table = table.with(
                    step.timeMilliseconds() - begun,
                    step.node(),
                    step.event(),
                    step.attempt().map(String::valueOf).orElse(""),
                    step.skewMilliseconds() == 0 ? "" : step.skewMilliseconds(),
                    step.facts());
        }
        return table.toString();
    }

    // -- reading

    private static Optional<Step> read(String request, String line) {
        JsonNode fields;
        try {
            fields = MAPPER.readTree(line);
        } catch (JsonProcessingException otherLine) {
            return Optional.empty();
        }
        boolean isDecision = fields.path("request").asText().equals(request)
                && fields.path("time").canConvertToLong()
                && fields.path("event").isTextual();
        if (!isDecision) {
            return Optional.empty();
        }
        String facts = fields.properties().stream()
                .filter(field -> !SHOWN_APART.contains(field.getKey()))
                .map(field -> field.getKey() + "=" + field.getValue().asText())
                .collect(Collectors.joining(" "));
        Optional<Integer> attempt =
                Optional.of(fields.path("attempt")).filter(JsonNode::isInt).map(JsonNode::asInt);
        return Optional.of(new Step(
                fields.path("time").asLong(),
                0,
                fields.path("node").asText(),
                fields.path("event").asText(),
                attempt,
                facts));
    }

    /** Returns a guard's step at a time that agrees with the entry's lines. */
    private static Step corrected(Step guarded, List<Step> steps) {
        OptionalLong placed = steps.stream()
                .filter(step -> step.event().equals(PLACED) && step.isOfAttempt(guarded))
                .mapToLong(Step::timeMilliseconds)
                .min();
        if (placed.isEmpty()) {
            return guarded;
        }
        long first = placed.getAsLong();
        long last = steps.stream()
                .filter(step ->
                        !step.event().equals(GUARDED) && !(step.event().equals(PLACED) && step.isOfAttempt(guarded)))
                .mapToLong(Step::timeMilliseconds)
                .filter(time -> time >= first)
                .min()
                .orElse(Long.MAX_VALUE);
        long time = Math.clamp(guarded.timeMilliseconds(), first, last);
        return time == guarded.timeMilliseconds() ? guarded : guarded.movedTo(time);
    }

    /** Orders steps of the same millisecond as they follow from each other: by attempt, then within it. */
    private static int rank(Step step) {
        int within = switch (step.event()) {
            case PLACED -> 0;
            case GUARDED -> 1;
            default -> 2;
        };
        return step.attempt().orElse(Integer.MAX_VALUE / STEPS_OF_ATTEMPT - 1) * STEPS_OF_ATTEMPT + within;
    }
}
