package org.oleanderturn.mesh;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.oleanderturn.model.EndpointState;

/**
 * What a node believes of its local target.
 *
 * <p>Invariant: a start among those that left is never open. Immutable and thread safe.
 *
 * @param report the newest report
 * @param reportedNanoseconds when it came
 * @param left the starts that said they leave
 * @param isDown whether nobody listened at the target's address since the report
 * @param isDrained whether the node was told to keep work from the target
 */
public record TargetStatus(
        Optional<TargetReport> report,
        long reportedNanoseconds,
        Set<TargetStart> left,
        boolean isDown,
        boolean isDrained) {
    private static final TargetStatus UNKNOWN = new TargetStatus(Optional.empty(), 0, Set.of(), false, false);

    /** Checks that every part is there and copies the starts. */
    public TargetStatus {
        Objects.requireNonNull(report, "report is null");
        left = Set.copyOf(left);
    }

    static TargetStatus unknown() {
        return UNKNOWN;
    }

    // -- queries

    /** Returns whether the target takes work. */
    public boolean isOpen() {
        return !isDrained && !isDown && report.isPresent() && !isLeaving(report.get());
    }

    /** Returns the state that other nodes are told. */
    public EndpointState state() {
        if (isDrained || report.filter(this::isLeaving).isPresent()) {
            return EndpointState.DRAINING;
        }
        return isOpen() ? EndpointState.READY : EndpointState.STARTING;
    }

    private boolean isLeaving(TargetReport known) {
        return known.isLeaving() || left.contains(known.start());
    }

    // -- core operations

    TargetStatus withReport(TargetReport next, long nowNanoseconds) {
        if (report.isPresent() && !isNewer(next, report.get())) {
            return this;
        }
        TargetStatus noted = next.isLeaving() ? left(next.start()) : this;
        return new TargetStatus(Optional.of(next), nowNanoseconds, noted.left, false, isDrained);
    }

    /** Notes a start as left; without the moment of its start, the one that reported last under the instance. */
    TargetStatus left(TargetCall.Deregistration leave) {
        if (leave.bornMilliseconds().isPresent()) {
            return left(
                    new TargetStart(leave.instance(), leave.bornMilliseconds().getAsLong()));
        }
        return report.map(TargetReport::start)
                .filter(start -> start.instance().equals(leave.instance()))
                .map(this::left)
                .orElseGet(() -> left(new TargetStart(leave.instance(), TargetStart.UNSTATED)));
    }

    TargetStatus left(TargetStart start) {
        Set<TargetStart> more = new HashSet<>(left);
        more.add(start);
        return new TargetStatus(report, reportedNanoseconds, more, isDown, isDrained);
    }

    TargetStatus withDown() {
        return new TargetStatus(report, reportedNanoseconds, left, true, isDrained);
    }

    TargetStatus withDrained(boolean next) {
        return new TargetStatus(report, reportedNanoseconds, left, isDown, next);
    }

    private static boolean isNewer(TargetReport next, TargetReport known) {
        if (next.start().equals(known.start())) {
            return next.sequence() > known.sequence();
        }
        return !known.start().isAfter(next.start());
    }
}
