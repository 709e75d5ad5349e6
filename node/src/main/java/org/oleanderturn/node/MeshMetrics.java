package org.oleanderturn.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.mesh.Decision;
import org.oleanderturn.mesh.DecisionLog;
import org.oleanderturn.mesh.GuardReply;

/**
 * Counts decisions and measures their times on their way to the log.
 *
 * <p>Invariant: labels are kinds of outcomes, never ids, so that the number of series is bounded. Thread safe.
 */
final class MeshMetrics implements DecisionLog {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double[] BOUNDS = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

    private final DecisionLog log;
    private final Counter decisions;
    private final Histogram answered;
    private final Histogram attempted;
    private final Histogram queued;

    private MeshMetrics(DecisionLog log, NodeMetrics metrics) {
        this.log = log;
        this.decisions = Counter.builder()
                .name("oleanderturn_decisions_total")
                .help("Decisions on requests by kind and outcome.")
                .labelNames("decision", "outcome")
                .register(metrics.registry());
        this.answered = histogram(metrics, "oleanderturn_answer_seconds", "Seconds from a request to its answer.");
        this.attempted =
                histogram(metrics, "oleanderturn_failed_attempt_seconds", "Seconds that a failed attempt took.");
        this.queued = histogram(metrics, "oleanderturn_slot_wait_seconds", "Seconds that a request waited for a slot.");
    }

    /** Returns metrics before a log, registered beside a node's others. */
    static MeshMetrics of(DecisionLog log, NodeMetrics metrics) {
        Objects.requireNonNull(log, "log is null");
        Objects.requireNonNull(metrics, "metrics is null");
        return new MeshMetrics(log, metrics);
    }

    @Override
    public void record(Decision decision) {
        String kind = decision.getClass().getSimpleName();
        switch (decision) {
            case Decision.Placed _ -> count(kind, "");
            case Decision.Guarded guarded -> {
                count(kind, outcome(guarded.reply()));
                queued.observe(seconds(guarded.slotWait()));
            }
            case Decision.AttemptFailed failed -> {
                count(kind, outcome(failed.reply()));
                attempted.observe(seconds(failed.duration()));
            }
            case Decision.Answered answer -> {
                count(kind, String.valueOf(answer.status()));
                answered.observe(seconds(answer.duration()));
            }
        }
        log.record(decision);
    }

    private void count(String kind, String outcome) {
        decisions.labelValues(kind, outcome).inc();
    }

    private static String outcome(GuardReply reply) {
        return switch (reply) {
            case GuardReply.Ran ran -> "ran " + ran.answer().status();
            case GuardReply.NotRun notRun -> notRun.isRejectedByTarget() ? "turned away" : "not run";
            case GuardReply.Unknown _ -> "unknown";
            case GuardReply.Abandoned _ -> "abandoned";
        };
    }

    private static double seconds(Duration span) {
        return span.toNanos() / NANOSECONDS_PER_SECOND;
    }

    private static Histogram histogram(NodeMetrics metrics, String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(BOUNDS)
                .register(metrics.registry());
    }
}
