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
    private static final int LATENCY_LEAST_SAMPLES = 5;
    private static final double LATENCY_LEAST_EXCESS_NANOSECONDS = 5e6;
    private static final int LARGEST_LEVEL = 16;

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
        Map<NodeId, Ejection> ejected = group.ejected().get();
        if (ejected.isEmpty()) {
            return false;
        }
        Ejection ejection = ejected.get(upstream.endpoint().node());
        if (ejection == null || ejection.isRestored()) {
            return false;
        }
        return ejection.isOut(now) || upstream.outstanding() > 0;
    }

    private boolean isLagging(UpstreamGroup group, double latency) {
        double median = group.typicalLatency();
        return settings.latencyRatio() > 0
                && latency > median * settings.latencyRatio()
                && latency - median > LATENCY_LEAST_EXCESS_NANOSECONDS;
    }

    // -- commands

    /** Weighs an upstream after one of its attempts has ended as a success or a failure. */
    void weigh(UpstreamGroup group, Upstream upstream, boolean isSuccess, long latency, long now) {
        Ejection ejection = group.ejected().get().get(upstream.endpoint().node());
        if (ejection != null && !ejection.isRestored()) {
            if (!ejection.isOut(now)) {
                settleTrial(group, upstream, isSuccess && !isLagging(group, (double) latency), now);
            }
            return;
        }
        if (settings.strategy().isFailing(upstream.observation())) {
            eject(group, upstream, now);
        }
    }

    /** Weighs every upstream of a group against the median latency of its peers. */
    void weighLatency(UpstreamGroup group, long now) {
        double[] latencies = Arrays.stream(group.upstreams())
                .filter(upstream -> upstream.observation().samples() > 0)
                .mapToDouble(upstream -> upstream.observation().latency())
                .sorted()
                .toArray();
        if (latencies.length == 0) {
            return;
        }
        group.learnTypicalLatency(latencies[(latencies.length - 1) / 2]);
        for (Upstream upstream : group.upstreams()) {
            Observation seen = upstream.observation();
            if (seen.samples() >= LATENCY_LEAST_SAMPLES && isLagging(group, seen.latency())) {
                eject(group, upstream, now);
            }
        }
    }

    private void settleTrial(UpstreamGroup group, Upstream upstream, boolean isSuccess, long now) {
        NodeId node = upstream.endpoint().node();
        swap(group, held -> {
            Ejection ejection = held.get(node);
            if (ejection == null || ejection.isRestored() || ejection.isOut(now)) {
                return Optional.empty();
            }
            return Optional.of(with(held, node, isSuccess ? ejection.restore() : ejection.again(now, settings)));
        });
        upstream.forget(now);
    }

    private void eject(UpstreamGroup group, Upstream upstream, long now) {
        NodeId node = upstream.endpoint().node();
        boolean isEjected = swap(group, held -> {
            Ejection former = held.get(node);
            if (former != null && !former.isRestored()) {
                return Optional.empty();
            }
            if (out(group, held) >= largest(group.upstreams().length)) {
                return Optional.empty();
            }
            Ejection next = former == null ? Ejection.first(now, settings) : former.again(now, settings);
            return Optional.of(with(held, node, next));
        });
        if (isEjected) {
            upstream.forget(now);
        }
    }

    private long out(UpstreamGroup group, Map<NodeId, Ejection> held) {
        return Arrays.stream(group.upstreams())
                .map(upstream -> held.get(upstream.endpoint().node()))
                .filter(ejection -> ejection != null && !ejection.isRestored())
                .count();
    }

    private int largest(int endpoints) {
        int share = Math.max(1, endpoints * settings.largestSharePercent() / PERCENT);
        return settings.largestSharePercent() == 0 ? 0 : Math.min(share, endpoints - 1);
    }

    private static Map<NodeId, Ejection> with(Map<NodeId, Ejection> held, NodeId node, Ejection ejection) {
        Map<NodeId, Ejection> next = new HashMap<>(held);
        next.put(node, ejection);
        return Map.copyOf(next);
    }

    private static boolean swap(UpstreamGroup group, Change change) {
        AtomicReference<Map<NodeId, Ejection>> reference = group.ejected();
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
    record Ejection(long fromNanoseconds, long untilNanoseconds, int level, boolean isRestored) {

        static Ejection first(long now, EjectionSettings settings) {
            return new Ejection(now, now + settings.base().toNanos(), 1, false);
        }

        Ejection again(long now, EjectionSettings settings) {
            boolean isFresh = now - untilNanoseconds > settings.longest().toNanos();
            int next = isFresh ? 1 : Math.min(LARGEST_LEVEL, level + 1);
            Duration length = settings.base().multipliedBy(1L << (next - 1));
            Duration bounded = length.compareTo(settings.longest()) > 0 ? settings.longest() : length;
            return new Ejection(now, now + bounded.toNanos(), next, false);
        }

        Ejection restore() {
            return new Ejection(fromNanoseconds, untilNanoseconds, level, true);
        }

        boolean isOut(long now) {
            return untilNanoseconds - now > 0;
        }
    }
}
