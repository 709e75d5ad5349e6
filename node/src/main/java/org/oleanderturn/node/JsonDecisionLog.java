package org.oleanderturn.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.oleanderturn.mesh.Decision;
import org.oleanderturn.mesh.DecisionLog;
import org.oleanderturn.mesh.GuardReply;
import org.oleanderturn.mesh.TargetReport;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.NodeId;

/**
 * Writes decisions as JSON lines: all of a request that fails, and of a stable share of the others.
 *
 * <p>Invariants: whether an id is sampled is the same on every node, so a sampled request has all its lines; what waits
 * for an outcome is bounded. Thread safe; never blocks.
 */
final class JsonDecisionLog implements DecisionLog {
    /** Of this many ids one is sampled, whatever becomes of its request. */
    private static final int SAMPLED_ONE_IN = 64;

    /** The most requests whose placements wait for their outcome. */
    private static final int MOST_PENDING = 10_000;

    private final NodeId node;
    private final LogWriter writer;
    private final LongSupplier milliseconds;
    private final ConcurrentHashMap<String, List<Stamped>> pending = new ConcurrentHashMap<>();

    JsonDecisionLog(NodeId node, LogWriter writer, LongSupplier milliseconds) {
        this.node = Objects.requireNonNull(node, "node is null");
        this.writer = Objects.requireNonNull(writer, "writer is null");
        this.milliseconds = Objects.requireNonNull(milliseconds, "milliseconds is null");
    }

    @Override
    public void record(Decision decision) {
        switch (decision) {
            case Decision.Placed placed -> keep(placed);
            case Decision.Answered answered -> settle(answered);
            case Decision.AttemptFailed failed -> keep(failed);
            case Decision.Guarded guarded -> {
                if (guarded.isFailure() || isSampled(guarded.attemptId())) {
                    writer.offer(line(guarded));
                }
            }
        }
    }

    static boolean isSampled(String attemptId) {
        return Math.floorMod(attemptId.hashCode(), SAMPLED_ONE_IN) == 0;
    }

    private void keep(Decision decision) {
        if (isSampled(decision.attemptId())) {
            writer.offer(line(decision));
        } else if (pending.size() < MOST_PENDING) {
            pending.computeIfAbsent(decision.attemptId(), _ -> new ArrayList<>())
                    .add(new Stamped(milliseconds.getAsLong(), decision));
        }
    }

    private void settle(Decision.Answered answered) {
        List<Stamped> kept = pending.remove(answered.attemptId());
        boolean isWritten = answered.isFailure() || answered.attempts() > 1;
        if (kept != null && isWritten) {
            kept.forEach(stamped -> writer.offer(line(stamped)));
        }
        if (isWritten || isSampled(answered.attemptId())) {
            writer.offer(line(answered));
        }
    }

    // -- lines

    /** A decision that waits for its request's outcome. */
    private record Stamped(long milliseconds, Decision decision) {}

    private String line(Decision decision) {
        return line(new Stamped(milliseconds.getAsLong(), decision));
    }

    private String line(Stamped stamped) {
        Decision decision = stamped.decision();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("time", stamped.milliseconds());
        fields.put("node", node.value());
        fields.put("event", decision.getClass().getSimpleName());
        fields.put("request", decision.attemptId());
        switch (decision) {
            case Decision.Placed placed -> add(fields, placed);
            case Decision.Guarded guarded -> add(fields, guarded);
            case Decision.AttemptFailed failed -> add(fields, failed);
            case Decision.Answered answered -> add(fields, answered);
        }
        return Codec.json().encodeText(fields);
    }

    private static void add(Map<String, Object> fields, Decision.Placed placed) {
        fields.put("attempt", placed.attempt());
        fields.put("route", placed.route().value());
        fields.put("service", placed.service().value());
        fields.put("guard", placed.node().value());
        fields.put("configuration", placed.version().number());
        placed.report().ifPresent(report -> fields.put("load", report.headerValue()));
        fields.put("loadAgeMilliseconds", placed.reportAgeMilliseconds());
        fields.put("leftMilliseconds", placed.remaining().toMillis());
    }

    private static void add(Map<String, Object> fields, Decision.Guarded guarded) {
        fields.put("attempt", guarded.attempt());
        fields.put("outcome", outcome(guarded.reply()));
        fields.put("waitedMilliseconds", guarded.slotWait().toMillis());
        fields.put("load", guarded.load().headerValue());
        fields.put("target", guarded.target().state().name());
        guarded.target().report().map(TargetReport::start).ifPresent(start -> fields.put("instance", start.instance()));
    }

    private static void add(Map<String, Object> fields, Decision.AttemptFailed failed) {
        fields.put("attempt", failed.attempt());
        fields.put("guard", failed.node().value());
        fields.put("outcome", outcome(failed.reply()));
        fields.put("takenMilliseconds", failed.duration().toMillis());
        fields.put("sentAgain", failed.isRetried());
    }

    private static void add(Map<String, Object> fields, Decision.Answered answered) {
        fields.put("status", answered.status());
        fields.put("reason", answered.reason());
        fields.put("attempts", answered.attempts());
        fields.put("takenMilliseconds", answered.duration().toMillis());
        answered.retryAfter().map(Duration::toMillis).ifPresent(span -> fields.put("retryAfterMilliseconds", span));
        fields.put("configuration", answered.version().number());
    }

    private static String outcome(GuardReply reply) {
        return switch (reply) {
            case GuardReply.Ran ran -> "ran " + ran.answer().status();
            case GuardReply.NotRun notRun -> "not run: " + notRun.reason();
            case GuardReply.Unknown unknown -> "unknown: " + unknown.reason();
            case GuardReply.Abandoned _ -> "abandoned";
        };
    }
}
