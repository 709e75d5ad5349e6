package org.oleanderturn.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.oleanderturn.mesh.Decision;
import org.oleanderturn.mesh.DecisionLog;
import org.oleanderturn.mesh.GuardReply;
import org.oleanderturn.mesh.SlotShare;
import org.oleanderturn.mesh.TargetReport;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.traffic.CrashVerdict;
import org.oleanderturn.traffic.Fingerprint;

/**
 * Writes decisions as JSON lines: those of every request that fails or is retried, and those of a sample of the others.
 *
 * <p>Invariants: sampling depends on the attempt id only, so all nodes sample the same requests; the number of requests
 * whose decisions are buffered is bounded. Thread safe; never blocks.
 */
final class JsonDecisionLog implements DecisionLog {
    /** One in this many attempt ids is sampled, regardless of the outcome. */
    private static final int SAMPLING_DIVISOR = 64;

    /** Maximum number of requests whose decisions are buffered until their outcome is known. */
    private static final int MAXIMUM_PENDING_REQUESTS = 10_000;

    private final NodeId node;
    private final LogWriter writer;
    private final VersionTracker versions;
    private final Supplier<Optional<Duration>> confirmationAge;
    private final LongSupplier milliseconds;
    private final ConcurrentHashMap<String, List<TimestampedDecision>> pending = new ConcurrentHashMap<>();

    /**
     * Creates the log of a node.
     *
     * @param versions knows the versions that the node has heard of
     * @param confirmationAge returns how long ago a version was last confirmed as the newest; empty before the first time
     * @param milliseconds the time in milliseconds since the epoch
     */
    JsonDecisionLog(
            NodeId node,
            LogWriter writer,
            VersionTracker versions,
            Supplier<Optional<Duration>> confirmationAge,
            LongSupplier milliseconds) {
        this.node = Objects.requireNonNull(node, "node is null");
        this.writer = Objects.requireNonNull(writer, "writer is null");
        this.versions = Objects.requireNonNull(versions, "versions is null");
        this.confirmationAge = Objects.requireNonNull(confirmationAge, "confirmationAge is null");
        this.milliseconds = Objects.requireNonNull(milliseconds, "milliseconds is null");
    }

    @Override
    public void record(Decision decision) {
        switch (decision) {
            case Decision.Placed placed -> buffer(placed);
            case Decision.Answered answered -> complete(answered);
            case Decision.AttemptFailed failed -> buffer(failed);
            case Decision.Withheld withheld -> buffer(withheld);
            case Decision.Suspected _, Decision.SuspectTried _, Decision.SuspectCleared _, Decision.Quarantined _ ->
                writer.offer(line(decision));
            case Decision.Guarded guarded -> {
                if (guarded.isFailure() || isSampled(guarded.attemptId())) {
                    writer.offer(line(guarded));
                }
            }
        }
    }

    static boolean isSampled(String attemptId) {
        return Math.floorMod(attemptId.hashCode(), SAMPLING_DIVISOR) == 0;
    }

    private void buffer(Decision decision) {
        if (isSampled(decision.attemptId())) {
            writer.offer(line(decision));
        } else if (pending.size() < MAXIMUM_PENDING_REQUESTS) {
            pending.computeIfAbsent(decision.attemptId(), _ -> new ArrayList<>())
                    .add(new TimestampedDecision(milliseconds.getAsLong(), decision));
        }
    }

    private void complete(Decision.Answered answered) {
        List<TimestampedDecision> buffered = pending.remove(answered.attemptId());
        boolean isWritten = answered.isFailure() || answered.attempts() > 1;
        if (buffered != null && isWritten) {
            buffered.forEach(timestamped -> writer.offer(line(timestamped)));
        }
        if (isWritten || isSampled(answered.attemptId())) {
            writer.offer(line(answered));
        }
    }

    // -- lines

    /** A decision and the time at which it was made, in milliseconds since the epoch. */
    private record TimestampedDecision(long milliseconds, Decision decision) {}

    private String line(Decision decision) {
        return line(new TimestampedDecision(milliseconds.getAsLong(), decision));
    }

    private String line(TimestampedDecision timestamped) {
        Decision decision = timestamped.decision();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("time", timestamped.milliseconds());
        fields.put("node", node.value());
        fields.put("event", decision.getClass().getSimpleName());
        fields.put("request", decision.attemptId());
        switch (decision) {
            case Decision.Placed placed -> add(fields, placed);
            case Decision.Guarded guarded -> add(fields, guarded);
            case Decision.AttemptFailed failed -> add(fields, failed);
            case Decision.Withheld withheld -> add(fields, withheld);
            case Decision.Suspected suspected -> add(fields, suspected);
            case Decision.SuspectTried tried -> addSuspicion(fields, tried.fingerprint(), tried.level());
            case Decision.SuspectCleared cleared -> addSuspicion(fields, cleared.fingerprint(), cleared.level());
            case Decision.Quarantined quarantined -> add(fields, quarantined);
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
        SlotShare share = guarded.share();
        share.organisation()
                .ifPresent(organisation -> addShare(fields, share.rank(), organisation, share.isOverShare()));
        fields.put("readMilliseconds", guarded.stages().readDelay().toMillis());
        fields.put("waitedMilliseconds", guarded.stages().slotWait().toMillis());
        fields.put("ranMilliseconds", guarded.stages().run().toMillis());
        fields.put("load", guarded.load().headerValue());
        guarded.requestsPerSecond().ifPresent(limit -> fields.put("requestsPerSecond", limit));
        fields.put("target", guarded.target().state().name());
        guarded.target().report().map(TargetReport::start).ifPresent(start -> fields.put("instance", start.instance()));
    }

    private static void add(Map<String, Object> fields, Decision.Withheld withheld) {
        fields.put("reason", withheld.reason());
        addShare(fields, withheld.rank(), withheld.organisation(), withheld.isOverShare());
    }

    private static void addShare(
            Map<String, Object> fields, int rank, OrganisationName organisation, boolean isOverShare) {
        fields.put("rank", rank);
        fields.put("organisation", organisation.value());
        fields.put("overShare", isOverShare);
    }

    private static void add(Map<String, Object> fields, Decision.AttemptFailed failed) {
        fields.put("attempt", failed.attempt());
        fields.put("guard", failed.node().value());
        fields.put("outcome", outcome(failed.reply()));
        fields.put("takenMilliseconds", failed.duration().toMillis());
        fields.put("fingerprint", failed.fingerprint().value());
        fields.put("sentAgain", failed.isRetried());
        fields.put("retries", failed.retryBudget().retries());
        fields.put("retryLimit", failed.retryBudget().limit());
    }

    private static void addSuspicion(Map<String, Object> fields, Fingerprint fingerprint, int level) {
        fields.put("fingerprint", fingerprint.value());
        fields.put("level", level);
    }

    private static void add(Map<String, Object> fields, Decision.Suspected suspected) {
        addSuspicion(fields, suspected.fingerprint(), suspected.level());
        fields.put("cause", suspected.cause());
        fields.put("runs", suspected.runs());
    }

    private static void add(Map<String, Object> fields, Decision.Quarantined quarantined) {
        CrashVerdict.Quarantined verdict = quarantined.verdict();
        addSuspicion(fields, quarantined.fingerprint(), verdict.level());
        fields.put("trial", verdict.isTrial());
        fields.put("remainingMilliseconds", verdict.remaining().toMillis());
    }

    private void add(Map<String, Object> fields, Decision.Answered answered) {
        fields.put("status", answered.status());
        fields.put("reason", answered.reason());
        fields.put("attempts", answered.attempts());
        fields.put("readMilliseconds", answered.readDelay().toMillis());
        fields.put("takenMilliseconds", answered.duration().toMillis());
        answered.retryAfter()
                .map(Duration::toMillis)
                .ifPresent(duration -> fields.put("retryAfterMilliseconds", duration));
        fields.put("configuration", answered.version().number());
        if (!answered.isDelivered()) {
            fields.put("newest", versions.newest().number());
            fields.put("behindMilliseconds", versions.behindMilliseconds());
            confirmationAge.get().map(Duration::toMillis).ifPresent(age -> fields.put("confirmedMilliseconds", age));
        }
    }

    private static String outcome(GuardReply reply) {
        return switch (reply) {
            case GuardReply.Ran ran -> "ran " + ran.response().status();
            case GuardReply.NotRun notRun -> "not run: " + notRun.reason();
            case GuardReply.Unknown unknown -> "unknown: " + unknown.reason();
            case GuardReply.Quarantined _ -> "not run: QUARANTINED";
            case GuardReply.Abandoned _ -> "abandoned";
        };
    }
}
