package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.oleanderturn.model.NodeId;

/**
 * Tracks the load of other nodes' targets as an entry sees it: the last report of each and the requests sent there
 * since.
 *
 * <p>Invariant: a report replaces the previous one as a whole. Thread safe.
 */
public final class TargetLoadTracker {
    /** A report of this age still tells whether there is room; a run takes about as long. */
    private static final Duration RECENT = Duration.ofMillis(250);

    private final LongSupplier nanoseconds;
    private final ConcurrentHashMap<NodeId, AtomicReference<TargetLoad>> loads = new ConcurrentHashMap<>();

    private TargetLoadTracker(LongSupplier nanoseconds) {
        this.nanoseconds = nanoseconds;
    }

    /** Returns a tracker without reports; the clock is in nanoseconds. */
    public static TargetLoadTracker of(LongSupplier nanoseconds) {
        return new TargetLoadTracker(Objects.requireNonNull(nanoseconds, "nanoseconds is null"));
    }

    /**
     * Load of one node's target. Immutable and thread safe.
     *
     * @param report the last report; empty before the first
     * @param reportedNanoseconds when the report arrived, on the tracker's clock; before the first report, when the
     *     node was first seen
     * @param sentSinceReport requests sent there since the report
     * @param outstanding requests sent there that have not ended
     * @param avoidedUntilNanoseconds until when the target is avoided after a failure, on the tracker's clock
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

    /** Returns the load of a node's target; without a report if the node is not known. */
    public TargetLoad load(NodeId node) {
        return reference(node).get();
    }

    /** Returns whether a recent report of a node's target leaves a slot free, requests sent there since counted as running. */
    public boolean hasFreeSlot(NodeId node) {
        TargetLoad load = load(node);
        boolean isRecent = nanoseconds.getAsLong() - load.reportedNanoseconds() < RECENT.toNanos();
        return isRecent
                && load.report()
                        .filter(report -> report.running() + load.sentSinceReport() < report.slots())
                        .isPresent();
    }

    // -- commands

    /** Records a report and resets the number of requests sent since. */
    public void recordReport(NodeId node, LoadReport report) {
        long now = nanoseconds.getAsLong();
        reference(node)
                .updateAndGet(current -> new TargetLoad(
                        Optional.of(report), now, 0, current.outstanding(), current.avoidedUntilNanoseconds()));
    }

    /** Records that a request is sent to a node. */
    public void recordSent(NodeId node) {
        reference(node)
                .updateAndGet(current -> new TargetLoad(
                        current.report(),
                        current.reportedNanoseconds(),
                        current.sentSinceReport() + 1,
                        current.outstanding() + 1,
                        current.avoidedUntilNanoseconds()));
    }

    /** Records that a request sent to a node has ended. */
    public void recordEnded(NodeId node) {
        reference(node)
                .updateAndGet(current -> new TargetLoad(
                        current.report(),
                        current.reportedNanoseconds(),
                        current.sentSinceReport(),
                        Math.max(0, current.outstanding() - 1),
                        current.avoidedUntilNanoseconds()));
    }

    /** Marks a node as avoided for the given time from now. */
    public void avoid(NodeId node, long durationNanoseconds) {
        long until = nanoseconds.getAsLong() + durationNanoseconds;
        reference(node)
                .updateAndGet(current -> new TargetLoad(
                        current.report(),
                        current.reportedNanoseconds(),
                        current.sentSinceReport(),
                        current.outstanding(),
                        until));
    }

    /** Discards all data about a node that has left. */
    public void remove(NodeId node) {
        loads.remove(node);
    }

    private AtomicReference<TargetLoad> reference(NodeId node) {
        return loads.computeIfAbsent(node, _ -> new AtomicReference<>(TargetLoad.unknown(nanoseconds.getAsLong())));
    }
}
