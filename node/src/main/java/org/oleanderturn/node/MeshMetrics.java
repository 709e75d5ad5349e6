package org.oleanderturn.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.mesh.Decision;
import org.oleanderturn.mesh.DecisionLog;
import org.oleanderturn.mesh.GuardReply;
import org.oleanderturn.mesh.SlotShare;
import org.oleanderturn.traffic.SlotDecision;

/**
 * Records metrics for each decision before passing it to another decision log.
 *
 * <p>Invariant: labels are kinds of outcomes, never ids, so the number of time series is bounded. Thread safe.
 */
final class MeshMetrics implements DecisionLog {
    private static final String RATE_LIMITED = SlotDecision.Reason.RATE_LIMITED.name();
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5
    };

    private final DecisionLog delegate;
    private final Counter decisions;
    private final Counter ownResponses;
    private final Counter slotDecisions;
    private final Counter entryRefusals;
    private final Histogram responseLatency;
    private final Histogram failedAttemptLatency;
    private final Histogram slotWait;
    private final Histogram readDelay;

    private MeshMetrics(DecisionLog delegate, NodeMetrics metrics) {
        this.delegate = delegate;
        this.decisions = Counter.builder()
                .name("oleanderturn_decisions_total")
                .help("Decisions on requests by kind and outcome.")
                .withoutExemplars()
                .labelNames("decision", "outcome")
                .register(metrics.registry());
        this.ownResponses = Counter.builder()
                .name("oleanderturn_own_responses_total")
                .help("Responses to clients without an attempt at a target, by status and reason.")
                .labelNames("status", "reason")
                .register(metrics.registry());
        this.slotDecisions = Counter.builder()
                .name("oleanderturn_slot_decisions_total")
                .help("Decisions of the guard on slots, by reason of a refusal and share of the organisation.")
                .withoutExemplars()
                .labelNames("decision", "share")
                .register(metrics.registry());
        this.entryRefusals = Counter.builder()
                .name("oleanderturn_entry_refusals_total")
                .help("Requests of organisations that the entry refused, by reason and share of the organisation.")
                .withoutExemplars()
                .labelNames("reason", "share")
                .register(metrics.registry());
        this.responseLatency =
                histogram(metrics, "oleanderturn_answer_seconds", "Seconds from a request to its response.");
        this.failedAttemptLatency =
                histogram(metrics, "oleanderturn_failed_attempt_seconds", "Seconds that a failed attempt took.");
        this.slotWait =
                histogram(metrics, "oleanderturn_slot_wait_seconds", "Seconds that a request waited for a slot.");
        this.readDelay = histogram(
                metrics,
                "oleanderturn_read_delay_seconds",
                "Estimated seconds from the arrival of a request until the node read it.");
    }

    /** Returns a log that registers its metrics with those of the node and passes each decision to the delegate. */
    static MeshMetrics of(DecisionLog delegate, NodeMetrics metrics) {
        Objects.requireNonNull(delegate, "delegate is null");
        Objects.requireNonNull(metrics, "metrics is null");
        return new MeshMetrics(delegate, metrics);
    }

    @Override
    public void record(Decision decision) {
        String kind = decision.getClass().getSimpleName();
        switch (decision) {
            case Decision.Placed _ -> count(kind, "");
            case Decision.Guarded guarded -> {
                count(kind, outcome(guarded.reply()));
                count(guarded.share());
                slotWait.observe(seconds(guarded.stages().slotWait()));
                readDelay.observe(seconds(guarded.stages().readDelay()));
            }
            case Decision.Withheld withheld -> {
                count(kind, withheld.reason());
                entryRefusals
                        .labelValues(withheld.reason(), shareLabel(withheld.isOverShare()))
                        .inc();
            }
            case Decision.AttemptFailed failed -> {
                count(kind, outcome(failed.reply()));
                failedAttemptLatency.observe(seconds(failed.duration()));
            }
            case Decision.Suspected suspected -> count(kind, String.valueOf(suspected.level()));
            case Decision.SuspectTried tried -> count(kind, String.valueOf(tried.level()));
            case Decision.SuspectCleared cleared -> count(kind, String.valueOf(cleared.level()));
            case Decision.Quarantined quarantined ->
                count(kind, String.valueOf(quarantined.verdict().level()));
            case Decision.Answered answered -> {
                count(kind, String.valueOf(answered.status()));
                if (answered.attempts() == 0) {
                    ownResponses
                            .labelValues(String.valueOf(answered.status()), answered.reason())
                            .inc();
                }
                responseLatency.observe(seconds(answered.duration()));
                readDelay.observe(seconds(answered.readDelay()));
            }
        }
        delegate.record(decision);
    }

    private void count(String kind, String outcome) {
        decisions.labelValues(kind, outcome).inc();
    }

    private void count(SlotShare share) {
        String decision = share.refusal().map(SlotDecision.Reason::name).orElse("GRANTED");
        String label = share.organisation().isEmpty() ? "none" : shareLabel(share.isOverShare());
        slotDecisions.labelValues(decision, label).inc();
    }

    private static String shareLabel(boolean isOverShare) {
        return isOverShare ? "over" : "within";
    }

    private static String outcome(GuardReply reply) {
        return switch (reply) {
            case GuardReply.Ran ran -> "ran " + ran.response().status();
            case GuardReply.NotRun notRun when notRun.reason().equals(RATE_LIMITED) -> "rate limited";
            case GuardReply.NotRun notRun -> notRun.isRejectedByTarget() ? "turned away" : "not run";
            case GuardReply.Unknown _ -> "unknown";
            case GuardReply.Quarantined _ -> "quarantined";
            case GuardReply.Abandoned _ -> "abandoned";
        };
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOSECONDS_PER_SECOND;
    }

    private static Histogram histogram(NodeMetrics metrics, String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .withoutExemplars()
                .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                .register(metrics.registry());
    }
}
