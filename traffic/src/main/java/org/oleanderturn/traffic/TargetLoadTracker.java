package org.oleanderturn.traffic;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.oleanderturn.model.NodeId;

/**
 * What an entry knows of the load of other nodes' targets: their last report, and what it sent there itself since.
 *
 * <p>Invariant: a report replaces an older one whole. Thread safe.
 */
public final class TargetLoadTracker {
    private final LongSupplier nanoseconds;
    private final ConcurrentHashMap<NodeId, AtomicReference<TargetLoad>> loads = new ConcurrentHashMap<>();

    private TargetLoadTracker(LongSupplier nanoseconds) {
        this.nanoseconds = nanoseconds;
    }

    /** Returns a board without reports. */
    public static TargetLoadTracker of(LongSupplier nanoseconds) {
        return new TargetLoadTracker(Objects.requireNonNull(nanoseconds, "nanoseconds is null"));
    }

    /**
     * What is known of one node's target.
     *
     * @param report its last report, if there was one
     * @param reportedNanoseconds when the report came
     * @param sentSinceReport requests sent there since the report
     * @param outstanding requests sent there that are not answered
     * @param avoidedUntilNanoseconds until when nothing should be sent there after a failure
     */
    public record TargetLoad(
            Optional<LoadReport> report,
            long reportedNanoseconds,
            int sentSinceReport,
            int outstanding,
            long avoidedUntilNanoseconds) {

        private static TargetLoad unknown(long now) {
            return new TargetLoad(Optional.empty(), now, 0, 0, now);
        }
    }

    // -- queries

    /** Returns what is known of a node's target. */
    public TargetLoad load(NodeId node) {
        return reference(node).get();
    }

    // -- commands

    /** Notes a report. */
    public void recordReport(NodeId node, LoadReport report) {
        long now = nanoseconds.getAsLong();
        reference(node)
                .updateAndGet(known -> new TargetLoad(
                        Optional.of(report), now, 0, known.outstanding(), known.avoidedUntilNanoseconds()));
    }

    /** Notes that a request is sent to a node. */
    public void recordSent(NodeId node) {
        reference(node)
                .updateAndGet(known -> new TargetLoad(
                        known.report(),
                        known.reportedNanoseconds(),
                        known.sentSinceReport() + 1,
                        known.outstanding() + 1,
                        known.avoidedUntilNanoseconds()));
    }

    /** Notes that a request sent to a node has ended. */
    public void recordEnded(NodeId node) {
        reference(node)
                .updateAndGet(known -> new TargetLoad(
                        known.report(),
                        known.reportedNanoseconds(),
                        known.sentSinceReport(),
                        Math.max(0, known.outstanding() - 1),
                        known.avoidedUntilNanoseconds()));
    }

    /** Avoids a node for the given time. */
    public void avoid(NodeId node, long spanNanoseconds) {
        long until = nanoseconds.getAsLong() + spanNanoseconds;
        reference(node)
                .updateAndGet(known -> new TargetLoad(
                        known.report(),
                        known.reportedNanoseconds(),
                        known.sentSinceReport(),
                        known.outstanding(),
                        until));
    }

    /** Forgets a node that is gone; should it come back, it is unknown. */
    public void remove(NodeId node) {
        loads.remove(node);
    }

    private AtomicReference<TargetLoad> reference(NodeId node) {
        return loads.computeIfAbsent(node, _ -> new AtomicReference<>(TargetLoad.unknown(nanoseconds.getAsLong())));
    }
}
