package org.oleanderturn.node;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.oleanderturn.mesh.LimitDecision;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.traffic.RequestLimitCoordinator;

/**
 * Counts the decisions on limits of organisations, and writes a line for each refusal.
 *
 * <p>Invariants: never blocks; writes at most {@value #LINES_PER_SECOND} lines in a second, and the number of the others
 * with the next one. Thread safe.
 */
final class RequestLimitObserver {
    /** An organisation at ten times its limit would otherwise fill the log. */
    private static final int LINES_PER_SECOND = 10;

    private static final long MILLISECONDS_PER_SECOND = 1_000;

    private final NodeId node;
    private final LogWriter writer;
    private final LongSupplier milliseconds;
    private final LongAdder granted = new LongAdder();
    private final LongAdder exceeded = new LongAdder();
    private final LongAdder undetermined = new LongAdder();
    private final LongAdder borrowed = new LongAdder();
    private final LongAdder messages = new LongAdder();
    private final AtomicLong second = new AtomicLong();
    private final AtomicInteger lines = new AtomicInteger();
    private final LongAdder suppressed = new LongAdder();

    /**
     * Creates the observer of a node.
     *
     * @param milliseconds the time in milliseconds since the epoch
     */
    RequestLimitObserver(NodeId node, LogWriter writer, LongSupplier milliseconds) {
        this.node = Objects.requireNonNull(node, "node is null");
        this.writer = Objects.requireNonNull(writer, "writer is null");
        this.milliseconds = Objects.requireNonNull(milliseconds, "milliseconds is null");
    }

    // -- metrics

    /** Registers the counters and the gauges of what the node believes. */
    void register(NodeMetrics metrics, RequestLimitCoordinator coordinator) {
        metrics.counters(
                "oleanderturn_limit_decisions_total",
                "Requests of organisations with a limit, by decision.",
                "decision",
                () -> Map.of("granted", granted.sum(), "exceeded", exceeded.sum(), "undetermined", undetermined.sum()));
        metrics.counter(
                "oleanderturn_limit_tokens_borrowed_total",
                "Tokens that this node borrowed from other holders for requests that waited.",
                borrowed::sum);
        metrics.counter(
                "oleanderturn_limit_messages_total",
                "Requests for tokens that this node sent to other nodes.",
                messages::sum);
        metrics.gauge(
                "oleanderturn_limit_share",
                "Share of each limit that this node generates as a holder.",
                coordinator::heldShare);
        metrics.gauge("oleanderturn_limit_members", "Nodes that the limits are divided by.", coordinator::members);
    }

    // -- events

    void recordMessage() {
        messages.increment();
    }

    void recordBorrowed(int tokens) {
        borrowed.add(tokens);
    }

    /** Records a decision on a request of an organisation that has a limit. */
    void record(OrganisationName organisation, LimitDecision decision, RequestLimitCoordinator coordinator) {
        switch (decision) {
            case LimitDecision.Granted _ -> granted.increment();
            case LimitDecision.Exceeded refusal -> {
                exceeded.increment();
                write(organisation, "exceeded", refusal.retryAfter(), coordinator);
            }
            case LimitDecision.Undetermined refusal -> {
                undetermined.increment();
                write(organisation, "undetermined", refusal.retryAfter(), coordinator);
            }
        }
    }

    private void write(
            OrganisationName organisation, String decision, Duration retryAfter, RequestLimitCoordinator coordinator) {
        long now = milliseconds.getAsLong();
        long known = second.get();
        if (known != now / MILLISECONDS_PER_SECOND && second.compareAndSet(known, now / MILLISECONDS_PER_SECOND)) {
            lines.set(0);
        }
        if (lines.incrementAndGet() > LINES_PER_SECOND) {
            suppressed.increment();
            return;
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("time", now);
        fields.put("node", node.value());
        fields.put("event", "LimitRefused");
        fields.put("organisation", organisation.value());
        fields.put("decision", decision);
        fields.put("retryAfterMilliseconds", retryAfter.toMillis());
        fields.put("holder", coordinator.holder().value());
        fields.put("members", coordinator.members());
        fields.put("heldShare", coordinator.heldShare());
        coordinator.hindrance().ifPresent(hindrance -> fields.put("hindrance", hindrance.name()));
        fields.put("suppressed", suppressed.sumThenReset());
        writer.offer(Codec.json().encodeText(fields));
    }
}
