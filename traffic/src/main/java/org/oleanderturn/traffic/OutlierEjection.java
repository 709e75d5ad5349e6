package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.oleanderturn.model.NodeId;

/**
 * Temporarily ejects upstreams that fail too often or are much slower than their peers.
 *
 * <p>Invariants: no more than the configured share of a service's endpoints is ejected, and never the last one; if an
 * update of the routing table leaves only ejected endpoints, the balancer uses them all the same. When an ejection
 * expires, the endpoint is on probation: it gets one request at a time until one succeeds (threads that choose at the
 * same moment may each send one). Each ejection that soon follows another lasts twice as long. Thread safe: the
 * ejections of a service are an immutable map that is replaced by compare-and-set.
 */
public final class OutlierEjection {
    private static final int PERCENT = 100;
    private static final int MINIMUM_LATENCY_SAMPLES = 5;
    private static final double MINIMUM_LATENCY_EXCESS_NANOSECONDS = 5e6;
    private static final int MAXIMUM_CONSECUTIVE_EJECTIONS = 16;

    private final EjectionSettings settings;

    private OutlierEjection(EjectionSettings settings) {
        this.settings = settings;
    }

    /** Returns outlier ejection with the given settings. */
    public static OutlierEjection of(EjectionSettings settings) {
        Objects.requireNonNull(settings, "settings is null");
        return new OutlierEjection(settings);
    }

    // -- queries

    boolean isEjected(UpstreamGroup group, Upstream upstream, long now) {
        Map<NodeId, Ejection> ejections = group.ejections().get();
        if (ejections.isEmpty()) {
            return false;
        }
        Ejection ejection = ejections.get(upstream.endpoint().node());
        if (ejection == null || ejection.isRestored()) {
            return false;
        }
        return ejection.isActive(now) || upstream.outstanding() > 0;
    }

    private boolean isLatencyOutlier(UpstreamGroup group, double latency) {
        double median = group.medianLatency();
        return settings.latencyRatio() > 0
                && latency > median * settings.latencyRatio()
                && latency - median > MINIMUM_LATENCY_EXCESS_NANOSECONDS;
    }

    // -- commands

    /** Evaluates an upstream after one of its attempts succeeded or failed. */
    void evaluate(UpstreamGroup group, Upstream upstream, boolean isSuccess, long latency, long now) {
        Ejection ejection = group.ejections().get().get(upstream.endpoint().node());
        if (ejection != null && !ejection.isRestored()) {
            if (!ejection.isActive(now)) {
                endProbation(group, upstream, isSuccess && !isLatencyOutlier(group, (double) latency), now);
            }
            return;
        }
        if (settings.strategy().isFailing(upstream.metrics())) {
            eject(group, upstream, now);
        }
    }

    /** Updates the median latency of a group and ejects its latency outliers. */
    void evaluateLatencies(UpstreamGroup group, long now) {
        double[] latencies = Arrays.stream(group.upstreams())
                .filter(upstream -> upstream.metrics().latencySamples() > 0)
                .mapToDouble(upstream -> upstream.metrics().averageLatencyNanoseconds())
                .sorted()
                .toArray();
        if (latencies.length == 0) {
            return;
        }
        group.updateMedianLatency(latencies[(latencies.length - 1) / 2]);
        for (Upstream upstream : group.upstreams()) {
            UpstreamMetrics metrics = upstream.metrics();
            if (metrics.latencySamples() >= MINIMUM_LATENCY_SAMPLES
                    && isLatencyOutlier(group, metrics.averageLatencyNanoseconds())) {
                eject(group, upstream, now);
            }
        }
    }

    private void endProbation(UpstreamGroup group, Upstream upstream, boolean isSuccess, long now) {
        NodeId node = upstream.endpoint().node();
        updateEjections(group, current -> {
            Ejection ejection = current.get(node);
            if (ejection == null || ejection.isRestored() || ejection.isActive(now)) {
                return Optional.empty();
            }
            return Optional.of(
                    with(current, node, isSuccess ? ejection.restored() : ejection.following(now, settings)));
        });
        upstream.resetMetrics(now);
    }

    private void eject(UpstreamGroup group, Upstream upstream, long now) {
        NodeId node = upstream.endpoint().node();
        boolean isEjected = updateEjections(group, current -> {
            Ejection previous = current.get(node);
            if (previous != null && !previous.isRestored()) {
                return Optional.empty();
            }
            if (countEjected(group, current) >= maximumEjected(group.upstreams().length)) {
                return Optional.empty();
            }
            Ejection next = previous == null ? Ejection.first(now, settings) : previous.following(now, settings);
            return Optional.of(with(current, node, next));
        });
        if (isEjected) {
            upstream.resetMetrics(now);
        }
    }

    private long countEjected(UpstreamGroup group, Map<NodeId, Ejection> current) {
        return Arrays.stream(group.upstreams())
                .map(upstream -> current.get(upstream.endpoint().node()))
                .filter(ejection -> ejection != null && !ejection.isRestored())
                .count();
    }

    private int maximumEjected(int endpoints) {
        int allowed = Math.max(1, endpoints * settings.maximumEjectionPercent() / PERCENT);
        return settings.maximumEjectionPercent() == 0 ? 0 : Math.min(allowed, endpoints - 1);
    }

    private static Map<NodeId, Ejection> with(Map<NodeId, Ejection> current, NodeId node, Ejection ejection) {
        Map<NodeId, Ejection> next = new HashMap<>(current);
        next.put(node, ejection);
        return Map.copyOf(next);
    }

    private static boolean updateEjections(UpstreamGroup group, EjectionUpdate update) {
        AtomicReference<Map<NodeId, Ejection>> reference = group.ejections();
        while (true) {
            Map<NodeId, Ejection> current = reference.get();
            Optional<Map<NodeId, Ejection>> next = update.apply(current);
            if (next.isEmpty()) {
                return false;
            }
            if (reference.compareAndSet(current, next.get())) {
                return true;
            }
        }
    }

    /** Computes the next map; empty if nothing changes. */
    @FunctionalInterface
    private interface EjectionUpdate {
        Optional<Map<NodeId, Ejection>> apply(Map<NodeId, Ejection> current);
    }

    /**
     * An ejection of one endpoint; kept for a while after its end to lengthen the next one. Immutable and thread
     * safe.
     *
     * @param fromNanoseconds when it began
     * @param untilNanoseconds when it expires; the endpoint is on probation from then until it is restored
     * @param consecutiveEjections number of this ejection among those that followed each other soon, from 1
     * @param isRestored whether the endpoint succeeded on probation
     */
    record Ejection(long fromNanoseconds, long untilNanoseconds, int consecutiveEjections, boolean isRestored) {

        static Ejection first(long now, EjectionSettings settings) {
            return new Ejection(now, now + settings.baseDuration().toNanos(), 1, false);
        }

        Ejection following(long now, EjectionSettings settings) {
            boolean isForgotten =
                    now - untilNanoseconds > settings.maximumDuration().toNanos();
            int next = isForgotten ? 1 : Math.min(MAXIMUM_CONSECUTIVE_EJECTIONS, consecutiveEjections + 1);
            Duration duration = settings.baseDuration().multipliedBy(1L << (next - 1));
            Duration bounded =
                    duration.compareTo(settings.maximumDuration()) > 0 ? settings.maximumDuration() : duration;
            return new Ejection(now, now + bounded.toNanos(), next, false);
        }

        Ejection restored() {
            return new Ejection(fromNanoseconds, untilNanoseconds, consecutiveEjections, true);
        }

        boolean isActive(long now) {
            return untilNanoseconds - now > 0;
        }
    }
}
