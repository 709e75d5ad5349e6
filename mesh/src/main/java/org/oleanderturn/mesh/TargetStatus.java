package org.oleanderturn.mesh;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.SoftwareVersion;

/**
 * What a node knows of its local target.
 *
 * <p>Invariant: the target is never open for a process that has left. Immutable and thread safe.
 *
 * @param report the newest report, if there was one
 * @param reportedNanoseconds when that report arrived, by the node's monotonic clock
 * @param left the processes that have left: they deregistered or reported that they are leaving
 * @param isDown whether nothing listened at the target's address since the report, or the report is too old
 * @param isDrained whether the node sends the target no new requests, as it stops or an operator drained it
 */
public record TargetStatus(
        Optional<TargetReport> report,
        long reportedNanoseconds,
        Set<TargetStart> left,
        boolean isDown,
        boolean isDrained) {
    private static final TargetStatus UNKNOWN = new TargetStatus(Optional.empty(), 0, Set.of(), false, false);

    /** Copies the set; throws a {@link NullPointerException} when a component is null. */
    public TargetStatus {
        Objects.requireNonNull(report, "report is null");
        left = Set.copyOf(left);
    }

    static TargetStatus unknown() {
        return UNKNOWN;
    }

    // -- queries

    /** Returns whether the target accepts requests. */
    public boolean isOpen() {
        return !isDrained && !isDown && report.isPresent() && !isLeaving(report.get());
    }

    /** Returns whether the process that reported last has left. */
    boolean hasLeft() {
        return report.filter(this::isLeaving).isPresent();
    }

    /** Returns the state that is announced to other nodes. */
    public EndpointState state() {
        if (isDrained || hasLeft()) {
            return EndpointState.DRAINING;
        }
        return isOpen() ? EndpointState.READY : EndpointState.STARTING;
    }

    /** Returns the version of the target's software that was reported last. */
    public Optional<SoftwareVersion> version() {
        return report.flatMap(TargetReport::version);
    }

    /** Returns whether another process has reported since, and the given one had not announced that it leaves. */
    boolean isReplaced(TargetStart start) {
        return !left.contains(start)
                && report.map(TargetReport::start)
                        .filter(current -> !current.equals(start))
                        .isPresent();
    }

    private boolean isLeaving(TargetReport known) {
        return known.isLeaving() || left.contains(known.start());
    }

    // -- core operations

    /** Returns this status with a report applied; unchanged when the report is not newer than the known one. */
    TargetStatus withReport(TargetReport next, long nowNanoseconds) {
        if (report.isPresent() && !isNewer(next, report.get())) {
            return this;
        }
        TargetStatus updated = next.isLeaving() ? withDeparture(next.start()) : this;
        return new TargetStatus(Optional.of(next), nowNanoseconds, updated.left, false, isDrained);
    }

    /** Adds a process to those that left; if its start time is not stated, the one that reported last under the instance. */
    TargetStatus withDeparture(TargetCall.Deregistration deregistration) {
        if (deregistration.bornMilliseconds().isPresent()) {
            return withDeparture(new TargetStart(
                    deregistration.instance(), deregistration.bornMilliseconds().getAsLong()));
        }
        return report.map(TargetReport::start)
                .filter(start -> start.instance().equals(deregistration.instance()))
                .map(this::withDeparture)
                .orElseGet(() -> withDeparture(new TargetStart(deregistration.instance(), TargetStart.UNSTATED)));
    }

    TargetStatus withDeparture(TargetStart start) {
        Set<TargetStart> departed = new HashSet<>(left);
        departed.add(start);
        return new TargetStatus(report, reportedNanoseconds, departed, isDown, isDrained);
    }

    TargetStatus withDown() {
        return new TargetStatus(report, reportedNanoseconds, left, true, isDrained);
    }

    TargetStatus withDrained(boolean isNowDrained) {
        return new TargetStatus(report, reportedNanoseconds, left, isDown, isNowDrained);
    }

    private static boolean isNewer(TargetReport next, TargetReport known) {
        if (next.start().equals(known.start())) {
            return next.sequence() > known.sequence();
        }
        return !known.start().isAfter(next.start());
    }
}
