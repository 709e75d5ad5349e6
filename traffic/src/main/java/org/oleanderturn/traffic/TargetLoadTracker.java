package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
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

    /**
     * A request sent this long before a report arrives may not be counted in it: the round trip between the users'
     * regions is 24 ms.
     */
    private static final long UNCOUNTED_NANOSECONDS = Duration.ofMillis(25).toNanos();

    /** Sends older than this no longer correct a report; an even older report is not trusted in any case. */
    private static final long SENT_MEMORY_NANOSECONDS = Duration.ofSeconds(2).toNanos();

    /** Bounds the memory for each target; more sends than this within the memory exceed the slots of any target. */
    private static final int REMEMBERED_SENDS = 64;

    private static final Comparator<AgedReport> OLDEST_FIRST =
            Comparator.comparingLong(AgedReport::ageNanoseconds).reversed();

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
     * @param measured the newest report by the time of its measurement, which another node may have passed on; empty
     *     before the first
     * @param measuredNanoseconds when that report was measured, as far as known, on the tracker's clock
     * @param sends when the last requests were sent there, in order, on the tracker's clock
     */
    public record TargetLoad(
            Optional<LoadReport> report,
            long reportedNanoseconds,
            int sentSinceReport,
            int outstanding,
            long avoidedUntilNanoseconds,
            Optional<LoadReport> measured,
            long measuredNanoseconds,
            List<Long> sends) {

        private static TargetLoad unknown(long now) {
            return new TargetLoad(Optional.empty(), now, 0, 0, now, Optional.empty(), now, List.of());
        }

        /**
         * Returns how many requests were sent that the newest report may not count, because they met it on the way. Those that
         * have ended load the target no longer, so there are at most as many as are outstanding.
         */
        public int sentUncounted() {
            int count = 0;
            for (long sent : sends) {
                count += sent - measuredNanoseconds > -UNCOUNTED_NANOSECONDS ? 1 : 0;
            }
            return Math.min(count, outstanding);
        }

        private TargetLoad withReport(LoadReport next, long now) {
            return new TargetLoad(
                    Optional.of(next), now, 0, outstanding, avoidedUntilNanoseconds, Optional.of(next), now, sends);
        }

        private TargetLoad withMeasured(LoadReport next, long measuredAt) {
            return new TargetLoad(
                    report,
                    reportedNanoseconds,
                    sentSinceReport,
                    outstanding,
                    avoidedUntilNanoseconds,
                    Optional.of(next),
                    measuredAt,
                    sends);
        }

        private TargetLoad withSent(long now) {
            return new TargetLoad(
                    report,
                    reportedNanoseconds,
                    sentSinceReport + 1,
                    outstanding + 1,
                    avoidedUntilNanoseconds,
                    measured,
                    measuredNanoseconds,
                    remembered(now));
        }

        private List<Long> remembered(long now) {
            List<Long> recent = new ArrayList<>(sends.size() + 1);
            for (long sent : sends.subList(Math.max(0, sends.size() - REMEMBERED_SENDS + 1), sends.size())) {
                if (now - sent < SENT_MEMORY_NANOSECONDS) {
                    recent.add(sent);
                }
            }
            recent.add(now);
            return Collections.unmodifiableList(recent);
        }

        private TargetLoad withEnded() {
            return new TargetLoad(
                    report,
                    reportedNanoseconds,
                    sentSinceReport,
                    Math.max(0, outstanding - 1),
                    avoidedUntilNanoseconds,
                    measured,
                    measuredNanoseconds,
                    sends);
        }

        private TargetLoad withAvoidance(long until) {
            return new TargetLoad(
                    report,
                    reportedNanoseconds,
                    sentSinceReport,
                    outstanding,
                    until,
                    measured,
                    measuredNanoseconds,
                    sends);
        }
    }

    // -- queries

    /** Returns the load of a node's target; without a report if the node is not known. */
    public TargetLoad load(NodeId node) {
        return reference(node).get();
    }

    /**
     * Returns whether a recent report of a node's target, its own or a newer one that was passed on, leaves a slot free;
     * requests sent there since count as running.
     */
    public boolean hasFreeSlot(NodeId node) {
        TargetLoad load = load(node);
        long now = nanoseconds.getAsLong();
        boolean isReportFree = now - load.reportedNanoseconds() < RECENT.toNanos()
                && load.report()
                        .filter(report -> report.running() + load.sentSinceReport() < report.slots())
                        .isPresent();
        boolean isPassedOn = load.measuredNanoseconds() - load.reportedNanoseconds() > 0;
        return isReportFree
                || (isPassedOn
                        && now - load.measuredNanoseconds() < RECENT.toNanos()
                        && load.measured()
                                .filter(report -> report.running() + load.sentUncounted() < report.slots())
                                .isPresent());
    }

    /** Returns the reports of some nodes that were measured last, at most so many, the newest first. */
    public List<AgedReport> newest(Collection<NodeId> nodes, int count) {
        long now = nanoseconds.getAsLong();
        PriorityQueue<AgedReport> newest = new PriorityQueue<>(OLDEST_FIRST);
        for (NodeId node : nodes) {
            AtomicReference<TargetLoad> reference = loads.get(node);
            if (reference == null || reference.get().measured().isEmpty()) {
                continue;
            }
            TargetLoad load = reference.get();
            long age = now - load.measuredNanoseconds();
            if (newest.size() < count || age < newest.element().ageNanoseconds()) {
                load.measured().ifPresent(report -> newest.add(new AgedReport(node, report, age)));
            }
            if (newest.size() > count) {
                newest.remove();
            }
        }
        return newest.stream().sorted(OLDEST_FIRST.reversed()).toList();
    }

    // -- commands

    /** Records a report that the node itself sent, and resets the number of requests sent since. */
    public void recordReport(NodeId node, LoadReport report) {
        long now = nanoseconds.getAsLong();
        reference(node).updateAndGet(current -> current.withReport(report, now));
    }

    /**
     * Records a report that another node passed on, if it is newer than the known one. It changes only the measured
     * report, and none of a node that has left, which others may still pass on.
     *
     * @param ageNanoseconds how long ago the target's own node measured it
     */
    public void recordPassedOn(NodeId node, LoadReport report, long ageNanoseconds) {
        long measuredAt = nanoseconds.getAsLong() - ageNanoseconds;
        AtomicReference<TargetLoad> known = loads.get(node);
        if (known == null) {
            return;
        }
        known.updateAndGet(current -> current.measured().isEmpty() || measuredAt - current.measuredNanoseconds() > 0
                ? current.withMeasured(report, measuredAt)
                : current);
    }

    /** Records that a request is sent to a node. */
    public void recordSent(NodeId node) {
        long now = nanoseconds.getAsLong();
        reference(node).updateAndGet(current -> current.withSent(now));
    }

    /** Records that a request sent to a node has ended; of a node that has left, nothing is remembered again. */
    public void recordEnded(NodeId node) {
        AtomicReference<TargetLoad> known = loads.get(node);
        if (known != null) {
            known.updateAndGet(TargetLoad::withEnded);
        }
    }

    /** Marks a node as avoided for the given time from now. */
    public void avoid(NodeId node, long durationNanoseconds) {
        long until = nanoseconds.getAsLong() + durationNanoseconds;
        reference(node).updateAndGet(current -> current.withAvoidance(until));
    }

    /** Discards all data about a node that has left. */
    public void remove(NodeId node) {
        loads.remove(node);
    }

    private AtomicReference<TargetLoad> reference(NodeId node) {
        return loads.computeIfAbsent(node, _ -> new AtomicReference<>(TargetLoad.unknown(nanoseconds.getAsLong())));
    }
}
