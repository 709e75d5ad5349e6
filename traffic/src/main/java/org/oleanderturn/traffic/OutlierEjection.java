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
 * Takes upstreams that fail or lag behind their peers out of the choice for a while.
 *
 * <p>Invariants: an ejection never takes more than the stated share of a service's endpoints out, nor the last one; when
 * the table shrinks to ejected endpoints the balancer chooses among them all the same. After its time an ejected endpoint
 * is on trial until one request succeeds, and gets the next request only when it has none (threads that choose at the same
 * moment may each send one). Each ejection that follows soon is twice as long. Thread safe: one immutable map for a
 * service, swapped by compare-and-set.
 */
public final class OutlierEjection {
    private static final int PERCENT = 100;
    private static final int MINIMUM_LATENCY_SAMPLES = 5;
    private static final double MINIMUM_LATENCY_EXCESS_NANOSECONDS = 5e6;
    private static final int MAXIMUM_REPETITIONS = 16;

    private final EjectionSettings settings;

    private OutlierEjection(EjectionSettings settings) {
        this.settings = settings;
    }

    /** Returns the ejection with the given settings. */
    public static OutlierEjection of(EjectionSettings settings) {
        Objects.requireNonNull(settings, "settings is null");
        return new OutlierEjection(settings);
    }

    // -- queries

    boolean isEjected(UpstreamGroup group, Upstream upstream, long now) {
        Map<NodeId, Ejection> ejected = group.ejections().get();
        if (ejected.isEmpty()) {
            return false;
        }
        Ejection ejection = ejected.get(upstream.endpoint().node());
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

    /** Weighs an upstream after one of its attempts has ended as a success or a failure. */
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

    /** Weighs every upstream of a group against the median latency of its peers. */
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
            UpstreamMetrics seen = upstream.metrics();
            if (seen.latencySamples() >= MINIMUM_LATENCY_SAMPLES
                    && isLatencyOutlier(group, seen.averageLatencyNanoseconds())) {
                eject(group, upstream, now);
            }
        }
    }

    private void endProbation(UpstreamGroup group, Upstream upstream, boolean isSuccess, long now) {
        NodeId node = upstream.endpoint().node();
        updateEjections(group, held -> {
            Ejection ejection = held.get(node);
            if (ejection == null || ejection.isRestored() || ejection.isActive(now)) {
                return Optional.empty();
            }
            return Optional.of(with(held, node, isSuccess ? ejection.restored() : ejection.repeated(now, settings)));
        });
        upstream.resetMetrics(now);
    }

    private void eject(UpstreamGroup group, Upstream upstream, long now) {
        NodeId node = upstream.endpoint().node();
        boolean isEjected = updateEjections(group, held -> {
            Ejection former = held.get(node);
            if (former != null && !former.isRestored()) {
                return Optional.empty();
            }
            if (countEjected(group, held) >= maximumEjected(group.upstreams().length)) {
                return Optional.empty();
            }
            Ejection next = former == null ? Ejection.first(now, settings) : former.repeated(now, settings);
            return Optional.of(with(held, node, next));
        });
        if (isEjected) {
            upstream.resetMetrics(now);
        }
    }

    private long countEjected(UpstreamGroup group, Map<NodeId, Ejection> held) {
        return Arrays.stream(group.upstreams())
                .map(upstream -> held.get(upstream.endpoint().node()))
                .filter(ejection -> ejection != null && !ejection.isRestored())
                .count();
    }

    private int maximumEjected(int endpoints) {
        int share = Math.max(1, endpoints * settings.maximumEjectionPercent() / PERCENT);
        return settings.maximumEjectionPercent() == 0 ? 0 : Math.min(share, endpoints - 1);
    }

    private static Map<NodeId, Ejection> with(Map<NodeId, Ejection> held, NodeId node, Ejection ejection) {
        Map<NodeId, Ejection> next = new HashMap<>(held);
        next.put(node, ejection);
        return Map.copyOf(next);
    }

    private static boolean updateEjections(UpstreamGroup group, Change change) {
        AtomicReference<Map<NodeId, Ejection>> reference = group.ejections();
        while (true) {
            Map<NodeId, Ejection> held = reference.get();
            Optional<Map<NodeId, Ejection>> next = change.apply(held);
            if (next.isEmpty()) {
                return false;
            }
            if (reference.compareAndSet(held, next.get())) {
                return true;
            }
        }
    }

    /** Computes the next map, or none when nothing is to change. */
    @FunctionalInterface
    private interface Change {
        Optional<Map<NodeId, Ejection>> apply(Map<NodeId, Ejection> held);
    }

    /** One endpoint's ejection, kept after it for a while so that the next one is longer. Immutable and thread safe. */
    record Ejection(long fromNanoseconds, long untilNanoseconds, int repetitions, boolean isRestored) {

        static Ejection first(long now, EjectionSettings settings) {
            return new Ejection(now, now + settings.baseDuration().toNanos(), 1, false);
        }

        Ejection repeated(long now, EjectionSettings settings) {
            boolean isFresh =
                    now - untilNanoseconds > settings.maximumDuration().toNanos();
            int next = isFresh ? 1 : Math.min(MAXIMUM_REPETITIONS, repetitions + 1);
            Duration length = settings.baseDuration().multipliedBy(1L << (next - 1));
            Duration bounded = length.compareTo(settings.maximumDuration()) > 0 ? settings.maximumDuration() : length;
            return new Ejection(now, now + bounded.toNanos(), next, false);
        }

        Ejection restored() {
            return new Ejection(fromNanoseconds, untilNanoseconds, repetitions, true);
        }

        boolean isActive(long now) {
            return untilNanoseconds - now > 0;
        }
    }
}
