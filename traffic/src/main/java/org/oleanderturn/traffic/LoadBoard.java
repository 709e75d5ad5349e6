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
public final class LoadBoard {
    private final LongSupplier nanoseconds;
    private final ConcurrentHashMap<NodeId, AtomicReference<Standing>> standings = new ConcurrentHashMap<>();

    private LoadBoard(LongSupplier nanoseconds) {
        this.nanoseconds = nanoseconds;
    }

    /** Returns a board without reports. */
    public static LoadBoard of(LongSupplier nanoseconds) {
        return new LoadBoard(Objects.requireNonNull(nanoseconds, "nanoseconds is null"));
    }

    /**
     * What is known of one node's target.
     *
     * @param report its last report, if there was one
     * @param reportedNanoseconds when the report came
     * @param sentSince requests sent there since the report
     * @param outstanding requests sent there that are not answered
     * @param avoidedUntilNanoseconds until when nothing should be sent there after a failure
     */
    public record Standing(
            Optional<LoadReport> report,
            long reportedNanoseconds,
            int sentSince,
            int outstanding,
            long avoidedUntilNanoseconds) {

        private static Standing unknown(long now) {
            return new Standing(Optional.empty(), now, 0, 0, now);
        }
    }

    // -- queries

    /** Returns what is known of a node's target. */
    public Standing standing(NodeId node) {
        return reference(node).get();
    }

    // -- commands

    /** Notes a report. */
    public void report(NodeId node, LoadReport report) {
        long now = nanoseconds.getAsLong();
        reference(node)
                .updateAndGet(known -> new Standing(
                        Optional.of(report), now, 0, known.outstanding(), known.avoidedUntilNanoseconds()));
    }

    /** Notes that a request is sent to a node. */
    public void sent(NodeId node) {
        reference(node)
                .updateAndGet(known -> new Standing(
                        known.report(),
                        known.reportedNanoseconds(),
                        known.sentSince() + 1,
                        known.outstanding() + 1,
                        known.avoidedUntilNanoseconds()));
    }

    /** Notes that a request sent to a node has ended. */
    public void ended(NodeId node) {
        reference(node)
                .updateAndGet(known -> new Standing(
                        known.report(),
                        known.reportedNanoseconds(),
                        known.sentSince(),
                        Math.max(0, known.outstanding() - 1),
                        known.avoidedUntilNanoseconds()));
    }

    /** Avoids a node for the given time. */
    public void avoid(NodeId node, long spanNanoseconds) {
        long until = nanoseconds.getAsLong() + spanNanoseconds;
        reference(node)
                .updateAndGet(known -> new Standing(
                        known.report(), known.reportedNanoseconds(), known.sentSince(), known.outstanding(), until));
    }

    /** Forgets a node that is gone; should it come back, it is unknown. */
    public void forget(NodeId node) {
        standings.remove(node);
    }

    private AtomicReference<Standing> reference(NodeId node) {
        return standings.computeIfAbsent(node, _ -> new AtomicReference<>(Standing.unknown(nanoseconds.getAsLong())));
    }
}
